// Package exchange forwards one caller's request to backend servers and
// returns the response: it retries failed attempts, splits prefill and decode
// between engines and resumes event streams. Bodies and events are opaque to
// it, apart from event IDs.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/buffer"
	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/isolation"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/fairshare"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefillqueue"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
)

// Options configures a [Forwarder].
type Options struct {
	// Zone is this entry's availability zone.
	Zone string
	// View returns the newest list of engines.
	View    func() *fleet.View
	Tracker *fleet.Tracker
	Outlier *outlier.Set
	// Notices holds what servers announced in their responses; the Sender posts
	// to it. If it is nil, New creates an empty board.
	Notices *notice.Board
	// Prefixes records which engines hold shared prefixes of prompts. If it
	// is nil, New creates an empty directory.
	Prefixes *prefixdir.Directory
	// Isolation finds out whether this entry reaches no server at all. If it is nil, every
	// failure counts against its server.
	Isolation *isolation.Detector
	// Quarantine holds the requests and prompt parts that no server may get. If it is
	// nil, New creates an empty one.
	Quarantine *quarantine.Guard
	// Origins knows which software version began each stream. If it is nil, New
	// creates one that knows the streams of this process.
	Origins Origins
	// Uses records what workspaces asked for and were granted. If it is nil, New creates an
	// empty record.
	Uses *fairshare.Uses
	// Pace counts the streams. If it is nil, New creates a counter.
	Pace *fleet.PaceCounter
	// Demand counts what callers ask of services with a variable number of servers. If it
	// is nil, nothing is counted.
	Demand *fleet.DemandCounter
	// Budget returns this entry's account of a service's retry budget.
	Budget func(service string) *retry.Account
	// Buffers bounds what is kept of responses, in sum. If it is nil, New creates a pool
	// of buffer.DefaultBytes.
	Buffers *buffer.Pool
	// Usage counts the requests of workspaces that servers began. It may be nil.
	Usage Usage
	// Costs learns what requests cost and how fast servers are, and placement follows it. If
	// it is nil, placement follows fixed scores.
	Costs *cost.Model
	// BoundMemory is set if engines end when their requests together need more than their KV
	// caches hold.
	BoundMemory bool
	// Random returns a random integer in [0, n).
	Random func(n int) int
	Log    hclog.Logger
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	options Options
	// costsFollowed is set once a request has followed Options.Costs.
	costsFollowed atomic.Bool
	prefills      *prefillqueue.Queue
	returns       *returnWatch
	// crashWatch holds suspicions of crashes, and suspicions logs those that don't become
	// evidence. contacts finds silent servers. crashChecks holds one element for each first
	// check in progress, and each one of a silent server.
	crashWatch  *crashWatch
	contacts    *contacts
	suspicions  *suspicionLog
	crashChecks chan struct{}
	// newWaiting holds, by service, the number of requests that have not begun and wait for a
	// server as *atomic.Int64.
	newWaiting sync.Map
	// kvTokens holds, by service, the size of an engine's KV cache as int, if that bounds what
	// engines get.
	kvTokens sync.Map
	// memoryUses holds, by memoryKey, what was placed lately as *placement.MemoryUse.
	memoryUses sync.Map
	// memoryPlacing is held while a request is added to the load of the engine that has room
	// for it.
	memoryPlacing sync.Mutex
	// ending is done once End has been called.
	ending context.Context
	end    context.CancelFunc
}

// New returns a [Forwarder] with an empty prefill queue.
func New(o Options) *Forwarder {
	if o.Prefixes == nil {
		o.Prefixes = prefixdir.New()
	}
	if o.Pace == nil {
		o.Pace = fleet.NewPaceCounter()
	}
	if o.Origins == nil {
		o.Origins = newLocalOrigins()
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewGuard(clock.NewRuntime())
	}
	if o.Buffers == nil {
		o.Buffers = buffer.NewPool(buffer.DefaultBytes)
	}
	if o.Notices == nil {
		o.Notices = notice.NewBoard(clock.NewRuntime())
	}
	c := &Forwarder{options: o, returns: newReturnWatch(), suspicions: &suspicionLog{log: o.Log}, crashChecks: make(chan struct{}, maxCrashChecks)}
	c.crashWatch = &crashWatch{forwarder: c, servers: make(map[string]*watchedServer)}
	c.contacts = newContacts(c)
	c.ending, c.end = context.WithCancel(context.Background())
	o.Isolation.OnReturn(c.serversReturned)
	c.prefills = prefillqueue.New(prefillqueue.Options{Engines: c.prefillBacklog, Tracker: o.Tracker, Uses: o.Uses})
	return c
}

// End ends all exchanges at once, as at their deadlines: requests whose responses have
// not begun can still be answered by the caller of Run.
func (c *Forwarder) End() { c.end() }

// Ending returns a context that ends once End has been called.
func (c *Forwarder) Ending() context.Context { return c.ending }

// Ended reports whether End has been called.
func (c *Forwarder) Ended() bool { return c.ending.Err() != nil }

// prefillBacklog sums up the pending prompt tokens at the healthy prefill
// engines of a service, of the software versions that can also decode, and the streams at
// the healthy engines that decode.
func (c *Forwarder) prefillBacklog(service string) prefillqueue.Engines {
	decode := placement.Candidates(c.options.View().Engines(service), c.options.Tracker.Load, placement.AcceptsWork, placement.CanDecode)
	found := c.healthyEngines(service, placement.InPhase(fleet.Prefill), placement.OfVersionAmong(decode))
	out := prefillqueue.Engines{Count: len(found)}
	for i, e := range found {
		out.Tokens += e.Load.PromptTokens
		if i == 0 || e.Load.PromptTokens < out.MinTokens {
			out.MinTokens = e.Load.PromptTokens
		}
	}
	for _, e := range c.healthyEngines(service, placement.CanDecode) {
		if e.Slots > 0 {
			out.Slots += e.Slots
			out.Decoding++
			out.Streams += e.Load.Streams
		}
	}
	out.Memory = c.engineMemory(service, found)
	return out
}

const (
	// maxBodyBytes limits the body of a plain response: twice the largest
	// request.
	maxBodyBytes = 8 << 20
	// maxRefusedSends is how many sends a request may make beyond the
	// attempts of its route, to replace those that a server did not run. No
	// prefill call follows more than this many failed attempts that may have
	// reached a server.
	maxRefusedSends = 2
	// maxUnsentAttempts is how many attempts that reached no server are
	// retried. Each costs only a round trip, and while many servers are missing,
	// several such attempts in a row are likely. A stream that a server has begun may also
	// return to servers that are back; other requests make no more sends than this in all.
	maxUnsentAttempts = 6
	// attemptTimeoutObjectives is the time after which another server is looked for
	// in place of a silent one, for a safe call, as a multiple of the route's
	// objective. Nine in ten responses come within one objective.
	attemptTimeoutObjectives = 3
	// A refused caller is told to retry after baseRetryAfter plus a random
	// part of retryAfterJitter: a missing server is found or replaced within
	// a second, and the jitter keeps callers from returning all at once.
	baseRetryAfter   = 300 * time.Millisecond
	retryAfterJitter = 700 * time.Millisecond
	// versionRetryAfter replaces baseRetryAfter where all servers, or those of a version, are down,
	// unless that leaves less than a part of the remaining time; callers wait for at most
	// a third of it.
	versionRetryAfter      = 2 * time.Second
	remainingPerRetryAfter = 4
)

// Run forwards a request until it is answered, refused or given up, and logs
// the outcome. ctx must end when the caller disconnects.
func (c *Forwarder) Run(ctx context.Context, r *Request, sender Sender, sink Sink) Outcome {
	if !r.Counted {
		c.options.Budget(r.Service.Name).Request()
	}
	c.learnMemory(r)
	x := &exchange{
		Forwarder: c, request: r, sender: sender, sink: sink, started: time.Now(), lastEventID: r.LastEventID,
		sharedParts: r.Prompt.SharedParts(),
	}
	x.countDemand()
	x.setPolicy()
	deadlineCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	stopEnd := context.AfterFunc(c.ending, cancel)
	defer stopEnd()
	outcome := x.attemptUntilDone(deadlineCtx)
	x.discardNext()
	x.endReservation()
	if x.endStream != nil {
		x.endStream()
	}
	x.returnPaidRetries()
	x.release(x.kvSource)
	defer x.holdFailure(nil)
	if outcome.Result != Delivered && x.heldFailure != nil && !x.streamBegun && ctx.Err() == nil {
		outcome = Outcome{Result: Delivered, Err: errors.Join(outcome.Err, x.writeResponse(x.heldFailure.Response, x.heldFailure.body))}
	}
	outcome.Attempts, outcome.TimeToFirstByte, outcome.LongestGap = x.sends, x.timeToFirstByte, x.longestGap
	outcome.Events = x.events
	if outcome.Result != Delivered {
		outcome.Result = x.classify(ctx, deadlineCtx, outcome.Result)
	}
	if outcome.Result == Refused {
		outcome.Err = x.markUnreachable(outcome.Err)
		outcome.RetryAfter = x.retryAfter(outcome.Err)
	}
	outcome.PredictedFirst = x.predictedFirst
	x.recordPace()
	x.learnOutput(outcome)
	x.logOutcome(outcome)
	return outcome
}

// tightGapFraction is the fraction of the longest pause allowed from which a
// stream counts as tight.
const tightGapFraction = 0.6

// recordPace counts a stream that has sent events.
func (x *exchange) recordPace() {
	if !x.streamBegun || x.timeToFirstByte == 0 {
		return
	}
	r, p := x.request.Route, fleet.Pace{Ended: 1}
	if r.EventGap > 0 && float64(x.longestGap) > tightGapFraction*float64(r.EventGap) {
		p.Tight = 1
	}
	if r.Objective > 0 && x.timeToFirstByte > r.Objective {
		p.Late = 1
	}
	x.options.Pace.Record(x.request.Service.Name, p)
}

// retryAfter returns when a caller refused because of err should try again: after the
// quarantine of its prompt, or, if all servers asked for a pause, after the first of these
// ends. Servers of a version that are all down take seconds to be back and listed. The
// callers that overloaded engines have no room for are spread over as long again.
func (x *exchange) retryAfter(err error) time.Duration {
	wait := max(baseRetryAfter, x.quarantineLeft, x.roomAfter)
	if errors.Is(err, ErrVersionGone) || errors.Is(err, errAllGone) {
		wait = max(wait, min(versionRetryAfter, x.remaining()/remainingPerRetryAfter))
	}
	if pause, ok := x.options.Notices.EarliestReturn(x.capableServers()); ok {
		wait = max(wait, pause)
	}
	return wait + time.Duration(x.options.Random(int(max(retryAfterJitter, x.roomAfter))))
}

// exchange is the state of one request.
type exchange struct {
	*Forwarder
	request *Request
	sender  Sender
	sink    Sink
	started time.Time
	// policy chooses servers, and costs are what it follows, or nil.
	policy placement.Policy
	costs  *cost.Model

	// sends counts sends of the request; runs counts those that a server may
	// have run.
	sends, runs int
	// unsentAttempts counts sends and prefill calls that reached no server;
	// unsentSends counts only the sends.
	unsentAttempts, unsentSends int
	// failedEngines holds the IDs of the engines that failed the request, and
	// silentEngine that of the engine which is to be replaced.
	failedEngines []string
	silentEngine  string
	// unreached holds those of the failed engines that no attempt reached, and returned
	// the ID of one that accepts connections again and gets the next attempt.
	unreached []string
	returned  string
	// notReplaced is the newest engine that was silent and could not be replaced.
	notReplaced string
	// next is the attempt that has begun in place of a silent one, and paidRetries
	// holds retries that have been taken for calls that are still to be placed.
	next        *startedAttempt
	paidRetries []retry.Retry
	// usageCounted is set once the request has been counted as begun.
	usageCounted atomic.Bool
	// streamBegun is set once the headers of an event stream have been
	// written to the caller.
	streamBegun bool
	// origin is the software version that began the stream.
	origin streamOrigin
	// lastEventID is the ID of the last event written to the caller.
	lastEventID  string
	prefillCalls int
	// sharedParts are the IDs of the prompt's shared parts.
	sharedParts []string
	// crashedEngine is set if an engine ended as it began to answer, and crashes
	// counts the servers that ended before they answered.
	crashedEngine bool
	crashes       int
	// suspected are the servers that broke the request off and aren't known to have ended.
	suspected []suspectedServer
	// quarantineLeft is how much longer the request or a part of its prompt is in
	// quarantine.
	quarantineLeft time.Duration
	// slot holds the reservation of a slot for the next stream, or is nil.
	slot *prefillqueue.Grant
	// queued is set once the request has been in the prefill queue.
	queued bool
	// memoryWait is how long the request has waited for room in KV caches, and lacksMemory is
	// set once it has waited in vain.
	memoryWait  time.Duration
	lacksMemory bool
	// endStream ends the count of the request's stream, or is nil.
	endStream func()
	// roomAfter is how long it takes until overloaded engines have room.
	roomAfter time.Duration
	// kvSource is the KV cache of the prefilled prompt while no decode engine
	// has been asked to fetch it.
	kvSource *KVSource
	// heldFailure is the newest error response of a server, or nil.
	heldFailure     *heldResponse
	timeToFirstByte time.Duration
	// predictedFirst is the first prediction of timeToFirstByte, zero if there is none, and
	// sentAt when the newest attempt was sent.
	predictedFirst time.Duration
	sentAt         time.Time
	// untilClose is set if the newest response had neither a length nor chunks.
	untilClose bool
	// unfinishedBytes is what the newest stream sent after its last complete
	// event.
	unfinishedBytes int
	// events counts the events written to the caller.
	events int
	// lastWrite is when events were last written to the caller.
	lastWrite  time.Time
	longestGap time.Duration
}

// classify returns the final result of an exchange that was not delivered. It
// returns Refused only if no server can have run the request.
func (x *exchange) classify(caller, deadline context.Context, failure Result) Result {
	switch {
	case caller.Err() != nil:
		return CallerGone
	case x.streamBegun:
		return Truncated
	case x.runs == 0:
		return Refused
	case deadline.Err() != nil:
		return TimedOut
	}
	return failure
}

var (
	errNoServer      = errors.New("no server takes the request")
	errAllGone       = fmt.Errorf("%w: none is reachable", errNoServer)
	errIsolated      = fmt.Errorf("%w from this entry", errAllGone)
	errRetryBudget   = errors.New("the retry budget is used up")
	errPlainResponse = errors.New("server sent a plain response where an event stream was to resume")
)

// attemptUntilDone makes attempts until the caller has its response or no
// further attempt is allowed.
func (x *exchange) attemptUntilDone(ctx context.Context) Outcome {
	if err := x.findOrigin(ctx); err != nil {
		return Outcome{Result: Failed, Err: err}
	}
	var last error
	for ctx.Err() == nil {
		if x.next == nil && x.sends > 0 && !x.mayRetry() {
			break
		}
		done, err := x.attempt(ctx)
		if done {
			return Outcome{Result: Delivered, Err: err}
		}
		if endsAttempts(err) {
			err = errors.Join(last, err)
		}
		last = err
		if endsAttempts(err) {
			break
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return Outcome{Result: Failed, Err: last}
}

// endsAttempts reports whether no attempt can follow one that failed with err.
func endsAttempts(err error) bool {
	return errors.Is(err, errNoServer) || errors.Is(err, errCallerWrite) || errors.Is(err, errRetryBudget) || errors.Is(err, ErrQuarantined) || errors.Is(err, ErrOverloaded) || errors.Is(err, ErrStopping)
}

// mayRetry reports whether the limits on attempts allow another send.
func (x *exchange) mayRetry() bool {
	limit := max(1, x.request.Route.MaxAttempts)
	x.countLateCrashes()
	if x.crashedEngine || x.crashes >= maxCrashes {
		return false
	}
	if x.runs > 0 && (!x.request.Route.Repeatable() || x.runs >= limit) {
		return false
	}
	if !x.origin.known && x.unsentSends > maxUnsentAttempts {
		return false
	}
	return x.arrivedSends() < limit+maxRefusedSends && x.unsentAttempts <= maxUnsentAttempts
}

// arrivedSends returns the number of sends that may have reached a server.
func (x *exchange) arrivedSends() int {
	return x.sends - x.unsentSends
}

func (x *exchange) remaining() time.Duration {
	return time.Until(x.request.Deadline)
}

// logPlaced logs the choice of an engine with the load it was based on.
func (x *exchange) logPlaced(step string, c placement.Candidate, more ...any) {
	x.options.Log.Info("request placed", append([]any{
		"request", x.request.ID, "route", x.request.Route.Name, "workspace", x.request.Workspace, "version", x.request.Version, "step", step,
		"engine", c.ID, "software", c.Version, "zone", c.Zone, "load_tokens", c.Load.PromptTokens, "load_streams", c.Load.Streams,
		"load_calls", c.Load.Calls, "load_age_ms", x.options.Tracker.Age().Milliseconds(), "sends", x.sends,
	}, more...)...)
}

// fingerprint returns the request's fingerprint, or an empty one.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.request.Fingerprint == nil {
		return quarantine.Fingerprint{}
	}
	return x.request.Fingerprint()
}

func (x *exchange) logOutcome(o Outcome) {
	x.options.Log.Info("request ended", "request", x.request.ID, "route", x.request.Route.Name, "workspace", x.request.Workspace, "result", o.Result.String(),
		"sends", x.sends, "runs", x.runs, "first_ms", o.TimeToFirstByte.Milliseconds(), "gap_ms", o.LongestGap.Milliseconds(), "ms", time.Since(x.started).Milliseconds(),
		"last_event", x.lastEventID, "events", x.events, "resumes", x.request.Resumes, "began_at", x.origin.version, "written", x.timeToFirstByte > 0, "until_close", x.untilClose, "unfinished_bytes", x.unfinishedBytes, "error", o.Err)
}

// ServerError is the error for a backend server's response without success.
type ServerError struct {
	Status int
	Engine string
}

// Error implements error.
func (e *ServerError) Error() string {
	return "server " + e.Engine + " returned an error response"
}
