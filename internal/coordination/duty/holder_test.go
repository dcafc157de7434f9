package duty

import (
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

// fakeReplica is a replica's clock and authority as a test sets them.
type fakeReplica struct {
	now       clock.Instant
	authority replog.Authority
	leads     bool
}

func (f *fakeReplica) Now() clock.Instant { return f.now }
func (f *fakeReplica) Wall() time.Time    { return time.Time{} }

func newTestHolder() (*fakeReplica, *Holder) {
	f := &fakeReplica{now: clock.Instant(time.Hour)}
	return f, NewHolder(Options{
		Authority:   func() (replog.Authority, bool) { return f.authority, f.leads },
		QuietPeriod: 3 * time.Second,
		Clock:       f,
		Log:         hclog.NewNullLogger(),
	})
}

// lead gives the replica authority in a term from now on.
func (f *fakeReplica) lead(term uint64) {
	f.leads = true
	f.authority = replog.Authority{Term: term, Until: f.now.Add(500 * time.Millisecond)}
}

// TestPermits follows a replica that leads, loses its lease and leads again. It guards
// against calls within the quiet period, without a lease, and with another token or end than
// those of the lease.
func TestPermits(t *testing.T) {
	f, h := newTestHolder()
	check := func(when string, want error) {
		t.Helper()
		p, err := h.Permit("m")
		if !errors.Is(err, want) || err == nil && (p.Token != f.authority.Term || p.Until != f.authority.Until) {
			t.Errorf("%s: got permit %+v and error %v, want error %v under %+v", when, p, err, want, f.authority)
		}
	}
	check("before it leads", ErrNotHolder)
	f.lead(4)
	check("as it begins to lead", ErrQuiet)
	f.now += clock.Instant(3299 * time.Millisecond)
	f.lead(4)
	check("just before the end of the quiet period", ErrQuiet)
	f.now += clock.Instant(time.Millisecond)
	f.lead(4)
	check("after the quiet period", nil)
	f.leads = false
	check("without a lease", ErrNotHolder)
	f.now += clock.Instant(time.Second)
	f.lead(4)
	check("with its lease renewed in the same term", nil)
	f.lead(6)
	check("as it begins to lead again, after another", ErrQuiet)
	f.now += clock.Instant(3300 * time.Millisecond)
	f.lead(6)
	check("after the second quiet period", nil)
}

// TestRefusedMatter guards against further calls on a matter after a refusal, against a
// refusal that stops other matters, and against one that outlives its term.
func TestRefusedMatter(t *testing.T) {
	f, h := newTestHolder()
	f.lead(4)
	_, _ = h.Permit("a")
	f.now += clock.Instant(4 * time.Second)
	f.lead(4)
	h.Refused("a", 4)
	if _, err := h.Permit("a"); !errors.Is(err, ErrFenced) {
		t.Errorf("permit after a refusal: error %v, want ErrFenced", err)
	}
	if _, err := h.Permit("b"); err != nil {
		t.Errorf("permit on another matter: error %v, want none", err)
	}
	f.lead(5)
	_, _ = h.Permit("a")
	f.now += clock.Instant(4 * time.Second)
	f.lead(5)
	if _, err := h.Permit("a"); err != nil {
		t.Errorf("permit in the next term: error %v, want none", err)
	}
	h.Refused("a", 4) // the late answer to a call of the earlier term
	if _, err := h.Permit("a"); err != nil {
		t.Errorf("permit after the refusal of an earlier token: error %v, want none", err)
	}
}
