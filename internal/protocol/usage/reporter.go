package usage

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/duty"
	"github.com/lagoonshift/lagoonshift/internal/state/usagelog"
)

const (
	// Matter names the reports of usage among the matters of the duty holder. All windows
	// are one matter.
	Matter = "usage"
	// decisionDelay is the time from the end of a window until it is decided. Entries that
	// were out of contact for less have reported by then, and if the leader ends right
	// before the send, its successor is in time: it takes 2 s to be elected and 3.3 s to
	// wait for the end of the leader's calls, of 10 s.
	decisionDelay = 4 * time.Second
	// longestDelay replaces decisionDelay while entries that were there lately are out of
	// contact: their counts are often back before the report is due. A leader that ends in
	// that time may leave its successor too little.
	longestDelay = 7500 * time.Millisecond
	// maxMissing is the number of windows, up to the newest one due, that are decided if
	// they are missing: those of which entries keep the counts.
	maxMissing = 12
	// After a failed call the next one waits firstPause, and twice as long after each
	// further one, up to maxPause; the next decision after a failed one waits at most
	// maxDecisionPause. With a call of 1.5 s and the longest pause, a report is still sent
	// once in the 6 s between its decision and the time at which it is due.
	firstPause       = 250 * time.Millisecond
	maxPause         = 3 * time.Second
	maxDecisionPause = time.Second
	// maxAttempted bounds the reports of which failed sends are counted. Reports that have
	// left the history are among them.
	maxAttempted = 256
	// commitTimeout bounds the commit of one command: an election and a slow disk.
	commitTimeout = 2 * time.Second
)

// ErrRefused means that the receiver of a report refused it because it has seen a newer
// holder.
var ErrRefused = errors.New("usage: report refused because of a newer holder")

// History is the replicated log as far as it concerns reports.
type History interface {
	// Usage returns the decisions that this replica has applied.
	Usage() *usagelog.Log
	// CommitUsage commits a command and returns once this replica has applied it.
	CommitUsage(ctx context.Context, c usagelog.Command) (usagelog.Result, error)
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	// Window is the length of a window, and Due the time from its end until its report must
	// have arrived.
	Window, Due time.Duration
	// MinInterval is the least time between two calls.
	MinInterval time.Duration
	// Now returns the true time; ok is false while it isn't known.
	Now     func() (t time.Time, ok bool)
	Counts  *Aggregator
	History History
	Holder  *duty.Holder
	// Encode returns the report of a window as it is sent.
	Encode func(window uint64, counts map[string]uint64) ([]byte, error)
	// Send sends a report. The error matches ErrRefused if it was refused because of a
	// newer holder.
	Send  func(ctx context.Context, p duty.Permit, report []byte) error
	Clock clock.Clock
	Log   hclog.Logger
}

// Reporter decides and sends the reports of usage while its replica holds the duties. Its
// methods except Stats must not be called concurrently.
type Reporter struct {
	options ReporterOptions
	stats   stats
	// delivered holds the windows whose reports were accepted, until the log has that.
	delivered map[uint64]bool
	// attempts counts the failed sends of each report.
	attempts map[uint64]int
	// sends and decisions say when the next call and the next commit may be made.
	sends, decisions backoff
	// state and decisionError are what was last logged of what the reporter does, and of
	// why a window isn't decided; an upgrade may take long.
	state, decisionError string
}

// NewReporter returns a reporter. Its Step method must be called a few times a second.
func NewReporter(o ReporterOptions) *Reporter {
	return &Reporter{options: o, delivered: make(map[uint64]bool), attempts: make(map[uint64]int)}
}

// Step decides the windows that are due, records reports that were accepted, and makes at
// most one call.
func (r *Reporter) Step(ctx context.Context) {
	// Asked for each time, since the quiet period of a new holder begins with the first call.
	_, err := r.options.Holder.Permit(Matter)
	if errors.Is(err, duty.ErrNotHolder) {
		// What was accepted stays known: if this replica holds the duties again, it
		// doesn't repeat the call.
		r.note("not the holder")
		return
	}
	r.decideDue(ctx)
	r.recordDelivered(ctx)
	switch {
	case errors.Is(err, duty.ErrQuiet):
		r.note("waiting for the end of earlier calls")
	case errors.Is(err, duty.ErrFenced):
		r.note("stopped: a newer holder has been seen")
	case err == nil:
		r.note("reporting")
		r.sendOldest(ctx)
	}
}

// note logs a change of what the reporter does.
func (r *Reporter) note(state string) {
	if state != r.state {
		r.options.Log.Info("usage reports", "state", state, "undelivered", len(r.options.History.Usage().Undelivered()))
		r.state = state
	}
}

// decideDue decides the windows that are due and not yet decided, oldest first.
func (r *Reporter) decideDue(ctx context.Context) {
	now, ok := r.options.Now()
	if !ok || !r.options.Counts.Complete() || !r.decisions.over(r.options.Clock) {
		return
	}
	newest, ok := newestDue(now, r.options.Window)
	if !ok {
		return
	}
	for window := r.firstWanted(newest, now); window <= newest; window++ {
		if r.options.History.Usage().Decided(window) {
			continue
		}
		sinceEnd := now.Sub(EndOf(window, r.options.Window))
		unheard := r.options.Counts.Unheard(sinceEnd)
		if unheard > 0 && sinceEnd < longestDelay {
			return
		}
		if err := r.decide(ctx, window, unheard); err != nil {
			r.stats.decisionsFailed.Add(1)
			r.decisions.failed(r.options.Clock, maxDecisionPause)
			if text := err.Error(); text != r.decisionError {
				r.decisionError = text
				r.options.Log.Warn("usage window not decided; trying again", "window", window, "error", err)
			}
			return
		}
	}
	r.decisions, r.decisionError = backoff{}, ""
}

// newestDue returns the newest window to be decided; ok is false if there is none.
func newestDue(now time.Time, length time.Duration) (window uint64, ok bool) {
	current := WindowOf(now.Add(-decisionDelay), length)
	return current - min(current, 1), current > 0
}

// firstWanted returns the first window to be decided if it is missing. In a new deployment
// that is the one in which this replica started, or the first one with counts.
func (r *Reporter) firstWanted(newest uint64, now time.Time) uint64 {
	first := newest - min(newest, maxMissing-1)
	if !r.options.History.Usage().Empty() {
		return first
	}
	begin := WindowOf(now.Add(-r.options.Counts.Age()), r.options.Window)
	if counted, ok := r.options.Counts.Oldest(); ok {
		begin = min(begin, counted)
	}
	return max(first, begin)
}

// decide commits the report of a window. What another holder has decided before stays.
// unheard is the number of entries whose counts may be missing.
func (r *Reporter) decide(ctx context.Context, window uint64, unheard int) error {
	counts := r.options.Counts.Decided(window)
	report, err := r.options.Encode(window, counts)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := r.options.History.CommitUsage(ctx, usagelog.Command{Decide: &usagelog.Decide{Window: window, Report: report}})
	if err != nil {
		return err
	}
	requests := uint64(0)
	for _, n := range counts {
		requests += n
	}
	if result.Accepted {
		r.stats.decided.Add(1)
	}
	r.options.Log.Info("usage window decided", "window", window, "accepted", result.Accepted, "workspaces", len(counts), "requests", requests,
		"entries_unheard", unheard)
	for _, lost := range result.Lost {
		r.stats.lost.Add(1)
		r.options.Log.Error("usage report given up: the history is full", "window", lost)
	}
	return nil
}

// recordDelivered commits that reports were accepted.
func (r *Reporter) recordDelivered(ctx context.Context) {
	for window := range r.delivered {
		if !r.decisions.over(r.options.Clock) {
			return
		}
		if d, found := r.options.History.Usage().Find(window); !found || d.Delivered {
			delete(r.delivered, window)
			continue
		}
		commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := r.options.History.CommitUsage(commitCtx, usagelog.Command{Delivered: &usagelog.Delivered{Window: window}})
		cancel()
		if err != nil {
			r.decisions.failed(r.options.Clock, maxDecisionPause)
			r.options.Log.Warn("delivery of usage report not recorded; trying again", "window", window, "error", err)
			return
		}
		delete(r.delivered, window)
	}
}

// sendOldest sends one report that isn't known to be delivered: of those that failed the
// fewest times, the oldest, so that one that is never accepted doesn't hold up the others.
func (r *Reporter) sendOldest(ctx context.Context) {
	next, found := r.nextReport()
	if !found || !r.sends.over(r.options.Clock) {
		return
	}
	// Commits may have taken long since the last check.
	permit, err := r.options.Holder.Permit(Matter)
	if err != nil {
		return
	}
	began := r.options.Clock.Now()
	if err := r.options.Send(ctx, permit, next.Report); err != nil {
		r.sendFailed(next.Window, permit, err)
		return
	}
	now := r.options.Clock.Now()
	age := time.Duration(0)
	if t, ok := r.options.Now(); ok {
		age = t.Sub(EndOf(next.Window, r.options.Window))
	}
	r.stats.sent.Add(1)
	if age > r.options.Due {
		r.stats.late.Add(1)
	}
	r.options.Log.Info("usage report delivered", "window", next.Window, "token", permit.Token, "age_ms", age.Milliseconds(),
		"ms", now.Sub(began).Milliseconds(), "attempts", r.attempts[next.Window]+1, "bytes", len(next.Report))
	delete(r.attempts, next.Window)
	r.delivered[next.Window] = true
	r.sends = backoff{until: now.Add(r.options.MinInterval)}
	r.recordDelivered(ctx)
}

// nextReport returns the decision whose report is sent next.
func (r *Reporter) nextReport() (next usagelog.Decision, found bool) {
	undelivered := r.options.History.Usage().Undelivered()
	r.stats.undelivered.Store(int64(len(undelivered)))
	for _, d := range undelivered {
		if !r.delivered[d.Window] && (!found || r.attempts[d.Window] < r.attempts[next.Window]) {
			next, found = d, true
		}
	}
	return next, found
}

// sendFailed records a failed call.
func (r *Reporter) sendFailed(window uint64, p duty.Permit, err error) {
	r.stats.failed.Add(1)
	if errors.Is(err, ErrRefused) {
		r.options.Holder.Refused(Matter, p.Token)
	}
	if len(r.attempts) >= maxAttempted {
		clear(r.attempts)
	}
	r.attempts[window]++
	r.sends.failed(r.options.Clock, maxPause)
	r.options.Log.Warn("usage report not delivered", "window", window, "token", p.Token, "attempts", r.attempts[window],
		"pause_ms", r.sends.pause.Milliseconds(), "error", err)
}

// backoff delays what failed, each time for twice as long.
type backoff struct {
	until clock.Instant
	pause time.Duration
}

// over reports whether the delay is over.
func (b *backoff) over(c clock.Clock) bool { return !c.Now().Before(b.until) }

func (b *backoff) failed(c clock.Clock, longest time.Duration) {
	b.pause = min(max(firstPause, 2*b.pause), longest)
	b.until = c.Now().Add(b.pause)
}
