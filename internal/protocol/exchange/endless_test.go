package exchange_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/exchange"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// endlessBody sends a byte sequence without end and counts the bytes that were read from
// all bodies that are not closed yet.
type endlessBody struct {
	unit string
	open *atomic.Int64
	read int64
	once sync.Once
}

func (b *endlessBody) Read(p []byte) (int, error) {
	time.Sleep(time.Microsecond) // others read meanwhile
	n := 0
	for n < len(p) {
		n += copy(p[n:], b.unit)
	}
	b.read += int64(n)
	b.open.Add(int64(n))
	return n, nil
}

func (b *endlessBody) Close() error {
	b.once.Do(func() { b.open.Add(-b.read) })
	return nil
}

// endlessSender answers with bodies without end, or with a sound response of 100 KiB if
// its ID is "sound".
type endlessSender struct {
	*fixture
	id   string
	body string
	// events makes the response an event stream.
	events bool
	status int
	open   *atomic.Int64
}

func (s *endlessSender) Send(context.Context, exchange.Attempt) (*exchange.Response, error) {
	r := &exchange.Response{Success: s.status == 200, Status: s.status, EventStream: s.events, Body: &endlessBody{unit: s.body, open: s.open}}
	if s.id == "sound" {
		r.Success, r.Status, r.EventStream = true, 200, false
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 100<<10)))
	}
	return r, nil
}

// TestEndlessResponsesAreBoundedInSum guards against running out of memory while many
// servers send bytes without end, and checks that sound responses still pass.
func TestEndlessResponsesAreBoundedInSum(t *testing.T) {
	const responses, bound = 100, 32 << 20
	for name, c := range map[string]endlessSender{
		"plain":          {body: "x", status: 200},
		"error response": {body: "x", status: 500},
		"event":          {body: "data: x\n", status: 200, events: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var open, most atomic.Int64
				w := newFixture()
				var all sync.WaitGroup
				for i := range responses + 1 {
					all.Go(func() {
						s := c
						s.fixture, s.open = w, &open
						if i == responses {
							time.Sleep(50 * time.Microsecond) // the others take what they can
							s.id = "sound"
						}
						request := callRequest(route.Unsafe, 1)
						if c.events {
							request = streamRequest(false, 10)
						}
						request.ID, request.Deadline = s.id, time.Now().Add(5*time.Second)
						o := w.carrier.Run(t.Context(), request, &s, &discardingSink{})
						if i == responses && o.Result != exchange.Delivered {
							t.Errorf("sound response: got %+v, want it delivered", o)
						}
					})
				}
				done := make(chan struct{})
				go func() { all.Wait(); close(done) }()
				for waiting := true; waiting; {
					select {
					case <-done:
						waiting = false
					case <-time.After(time.Microsecond):
						most.Store(max(most.Load(), open.Load()))
					}
				}
				if most.Load() > bound {
					t.Errorf("%d bytes of %d responses were held at once, want at most %d", most.Load(), responses, bound)
				}
			})
		})
	}
}

// discardingSink discards responses.
type discardingSink struct{}

func (discardingSink) WriteResponse(*exchange.Response, []byte) error { return nil }
func (discardingSink) BeginStream(*exchange.Response) error           { return nil }
func (discardingSink) WriteEvents([]byte) error                       { return nil }
