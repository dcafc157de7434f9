package operatorcli

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/fake/memlog"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/adminhttp"
)

// control is a control process with its administration API, on an in-memory log.
type control struct {
	t       *testing.T
	log     *memlog.Log
	state   *store.Store
	tracker *inforce.Tracker
	clock   *fixedClock
	url     string
}

type fixedClock struct {
	now clock.Instant
}

func (c *fixedClock) Now() clock.Instant { return c.now }

func (c *fixedClock) Wall() time.Time { return time.UnixMilli(1_000) }

func (c *control) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	applied, err := c.log.Submit(ctx, encoded)
	if err != nil {
		return store.Result{}, err
	}
	c.state.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		c.tracker.Applied(tree.Version, tree.Configuration().Members)
	})
	return store.DecodeResult(applied.Result)
}

func newControl(t *testing.T) *control {
	c := &control{t: t, state: store.New(), clock: &fixedClock{}}
	c.log = memlog.New(c.state, c.clock, store.IsSettingsCommand)
	c.tracker = inforce.New(inforce.Options{Clock: c.clock, Lease: time.Second})
	c.submit(&store.Command{Bootstrap: &settings.Bootstrap{RootTokenSHA256: settings.HashToken("root"), Zones: []string{"a"}}})
	mux := http.NewServeMux()
	adminhttp.New(adminhttp.Options{Log: c.log, Store: c.state, Control: c, Tracker: c.tracker, Clock: c.clock}).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.url = server.URL
	return c
}

func (c *control) submit(command *store.Command) {
	if _, err := c.Submit(c.t.Context(), command); err != nil {
		c.t.Fatal(err)
	}
}

func (c *control) client(token string) *adminhttp.Client {
	// Nothing listens at the first address, as if a control VM were down.
	return adminhttp.NewClient(adminhttp.ClientOptions{BaseURLs: []string{"http://127.0.0.1:1", c.url}, Token: token})
}

// apply applies the content as a settings file.
func (c *control) apply(content string, change func(*ApplyOptions)) (string, error) {
	file := filepath.Join(c.t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	var out bytes.Buffer
	o := ApplyOptions{Client: c.client("root"), Out: &out, File: file, Timeout: time.Minute}
	if change != nil {
		change(&o)
	}
	err := Apply(c.t.Context(), o)
	return out.String(), err
}

func wantError(t *testing.T, err error, text string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), text) {
		t.Errorf("error = %v, want it to contain %q", err, text)
	}
}

const firstSettings = `{
  // The model.
  "models/m": {"role_price": 1, "engines": {}},
  "teams/t": {"classes": {"c": {"model": "m", "expected_wait": "1s", "worth": 1}}},
}`

func TestApplyAndPrint(t *testing.T) {
	c := newControl(t)
	c.clock.now = c.clock.now.Add(time.Minute)
	out, err := c.apply(firstSettings, func(o *ApplyOptions) { o.Wait = true })
	if err != nil || !strings.Contains(out, "settings version 2 is in force everywhere") {
		t.Fatalf("apply = %q, %v", out, err)
	}
	if out, err := c.apply(firstSettings, nil); err != nil || !strings.Contains(out, "nothing to change") {
		t.Errorf("second apply = %q, %v", out, err)
	}
	var printed bytes.Buffer
	if err := Get(t.Context(), c.client("root"), &printed); err != nil {
		t.Fatal(err)
	}
	if _, err := c.apply(strings.Replace(firstSettings, `"worth": 1`, `"worth": 2`, 1), nil); err != nil {
		t.Fatal(err)
	}
	_, err = c.apply(strings.Replace(printed.String(), `"worth": 1`, `"worth": 3`, 1), nil)
	wantError(t, err, "conflict: ")
	wantError(t, err, "/teams/t changed after the file was printed; now at version 3")
	var history bytes.Buffer
	if err := History(t.Context(), c.client("root"), &history, "teams/t", 10); err != nil || strings.Count(history.String(), "root") != 2 {
		t.Errorf("history = %q, %v, want two changes", history.String(), err)
	}
}

func TestApplyPruneAndDryRun(t *testing.T) {
	c := newControl(t)
	if _, err := c.apply(firstSettings, nil); err != nil {
		t.Fatal(err)
	}
	smaller := `{"models/m": {"role_price": 1, "engines": {}}}`
	prune := func(o *ApplyOptions) { o.Prune, o.DryRun = true, true }
	if out, err := c.apply(smaller, prune); err != nil || out != "teams/t: remove\n" {
		t.Errorf("dry run = %q, %v", out, err)
	}
	if out, err := c.apply(smaller, func(o *ApplyOptions) { o.Prune = true }); err != nil || !strings.Contains(out, "version 3") {
		t.Errorf("prune = %q, %v", out, err)
	}
}

func TestWrongFileNamesLineAndPath(t *testing.T) {
	c := newControl(t)
	tests := []struct{ old, new, want string }{
		{`"worth"`, `"wroth"`, "settings.jsonc:4: /teams/t/classes/c/wroth: unknown field"},
		{`"worth": 1`, `"worth": 1, "worth": 2`, "settings.jsonc:4: /teams/t/classes/c/worth: field is given twice"},
		{`"role_price": 1`, `"role_price": "1"`, "settings.jsonc:3: /models/m/role_price: expected a number"},
		{`"models/m": {`, `"models/m": {{`, "settings.jsonc: "},
		{`"engines": {}`, `"engines": {"e": {"url": "http://127.0.0.1:1", "zone": "z", "authority": "lagoonshift"}}`, "settings.jsonc:3: /models/m/engines/e/zone: expected one of the deployment's zones a"},
	}
	for _, test := range tests {
		_, err := c.apply(strings.Replace(firstSettings, test.old, test.new, 1), nil)
		wantError(t, err, test.want)
		var file *FileError
		if !errors.As(err, &file) {
			t.Errorf("error %v is not a *FileError, so the exit code is wrong", err)
		}
	}
}

func TestWaitNamesLapsedEntries(t *testing.T) {
	c := newControl(t)
	c.submit(&store.Command{Register: &member.Register{Member: member.Member{Name: "entry-1", Incarnation: 1}}})
	c.submit(&store.Command{Register: &member.Register{Member: member.Member{Name: "entry-2", Incarnation: 2}}})
	c.clock.now = c.clock.now.Add(time.Minute)
	c.tracker.Renewed("entry-1", 1, 4)
	if _, err := c.apply(firstSettings, nil); err != nil {
		t.Fatal(err)
	}
	report, err := c.client("root").WaitInForce(t.Context(), 4, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	wantError(t, printReport(&out, &report), "version 4 is accepted but not in force everywhere yet; waiting for entry-2")
	if !strings.Contains(out.String(), "acknowledged by 1 entries: entry-1") {
		t.Errorf("report = %q", out.String())
	}
	c.clock.now = c.clock.now.Add(time.Minute)
	report, err = c.client("root").WaitInForce(t.Context(), 4, time.Minute)
	if err != nil || printReport(&out, &report) != nil || !strings.Contains(out.String(), "without an acknowledgement: entry-2") {
		t.Errorf("report = %q, %v, want entry-2 lapsed", out.String(), err)
	}
	var status bytes.Buffer
	if err := Status(t.Context(), c.client("root"), &status); err != nil || !strings.Contains(status.String(), "version 4: in force everywhere") || !strings.HasPrefix(status.String(), "no answer: ") {
		t.Errorf("status = %q, %v", status.String(), err)
	}
}

func TestOperatorsTokens(t *testing.T) {
	c := newControl(t)
	operator := `"operators/o": {"token_sha256": "` + settings.HashToken("o") + `", "subtrees": ["teams/t"]}`
	if _, err := c.apply(strings.Replace(firstSettings, "{", "{"+operator+",", 1), nil); err != nil {
		t.Fatal(err)
	}
	send := func(token string, request adminhttp.ChangeRequest) (adminhttp.ChangeAnswer, error) {
		return c.client(token).Change(t.Context(), request)
	}
	edits := []adminhttp.EditRequest{{Path: "models/m", BaseVersion: 2, Content: []byte(`{"role_price":2}`)}}
	if answer, err := send("o", adminhttp.ChangeRequest{Number: 1, Edits: edits}); err != nil || answer.Outcome != settings.Denied {
		t.Errorf("change of another subtree = %+v, %v, want denied", answer, err)
	}
	_, err := send("nobody", adminhttp.ChangeRequest{Number: 1, Edits: edits})
	wantError(t, err, "operator's token unknown")
	_, err = send("o", adminhttp.ChangeRequest{Edits: edits})
	wantError(t, err, "number: expected a positive number")
	for size, want := range map[int]string{1 << 20: "change too large", 2 << 20: "body too large"} {
		large := []adminhttp.EditRequest{{Path: "teams/t", Content: []byte(`"` + strings.Repeat("x", size) + `"`)}}
		_, err = send("o", adminhttp.ChangeRequest{Number: 2, Edits: large})
		wantError(t, err, want)
	}
	answer, err := c.client("o").Settings(t.Context())
	if _, own := answer.Subtrees["operators/o"]; err != nil || !own {
		t.Errorf("operator's own subtree not in the answer, error %v", err)
	}
	if _, other := answer.Subtrees["operators/root"]; other {
		t.Error("answer contains another operator's token hash")
	}
}

func TestConflictAndWinnerAreShown(t *testing.T) {
	c := newControl(t)
	if _, err := c.apply(firstSettings, func(o *ApplyOptions) { o.Number = 9 }); err != nil {
		t.Fatal(err)
	}
	second := strings.Replace(firstSettings, `"worth": 1`, `"worth": 2`, 1)
	_, err := c.apply(second, func(o *ApplyOptions) { o.Number = 9 })
	wantError(t, err, "number-taken: change number 9")
	wantError(t, err, "the number belongs to a change of 2 subtrees, the first of them models/m, that was answered accepted, version 2")
	edits := []adminhttp.EditRequest{{Path: "teams/t", BaseVersion: 1, Content: []byte(`{}`)}}
	answer, err := c.client("root").Change(t.Context(), adminhttp.ChangeRequest{Number: 10, Edits: edits})
	if err != nil || answer.Outcome != settings.Conflict || answer.Current == nil || answer.Current.Version != 2 {
		t.Errorf("answer = %+v, %v, want a conflict that shows version 2", answer, err)
	}
}
