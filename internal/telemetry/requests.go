package telemetry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxCustomers is the number of customers that get their own histogram. All others
// share one series, so that memory use stays bounded.
const maxCustomers = 4096

// maxWorkspaces is the number of workspaces that get their own series. All others share
// one, so that memory use stays bounded: a deployment may have 10,000 workspaces, and an
// entry 144 MB.
const maxWorkspaces = 256

// otherWorkspaces is the value of the workspace tag of the shared series.
const otherWorkspaces = "other"

// otherCustomers is the value of the customer tag of the shared series.
const otherCustomers = "other"

// durationBuckets holds the upper bounds of the buckets of all duration histograms.
var durationBuckets = tally.DurationBuckets{
	1 * time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	74 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	380 * time.Millisecond,
	500 * time.Millisecond,
	1 * time.Second,
	2 * time.Second,
	5 * time.Second,
	10 * time.Second,
	20 * time.Second,
	50 * time.Second,
	100 * time.Second,
}

// Requests holds the request metrics by team and class, by customer, and by workspace. It is
// safe for concurrent use.
type Requests struct {
	scope         tally.Scope
	classes       sync.Map // classKey to *ClassSeries
	predictions   sync.Map // service name to *PredictionSeries
	customers     sync.Map // customer name to tally.Histogram
	customerCount atomic.Int64

	workspaces sync.Map // workspace name to *WorkspaceSeries
	// mu guards the creation of series of workspaces; workspaceCount is their number.
	mu             sync.Mutex
	workspaceCount int
}

// WorkspaceSeries holds the metrics of one workspace.
type WorkspaceSeries struct {
	// Requests counts the admitted requests, and Refused those of them that were refused,
	// failed or cut.
	Requests, Refused tally.Counter
	// FirstToken is the time from arrival to the first byte of the response's body.
	FirstToken tally.Histogram
}

func newWorkspaceSeries(scope tally.Scope) *WorkspaceSeries {
	return &WorkspaceSeries{
		Requests:   scope.Counter("workspace_requests"),
		Refused:    scope.Counter("workspace_refused"),
		FirstToken: scope.Histogram("workspace_first_token", durationBuckets),
	}
}

// noWorkspace takes what concerns requests without a workspace and drops it.
var noWorkspace = newWorkspaceSeries(tally.NoopScope)

// Workspace returns the metrics of a workspace, or those of all others together once
// maxWorkspaces have been seen. The name "" stands for requests without a workspace, of
// which nothing is kept.
func (r *Requests) Workspace(name string) *WorkspaceSeries {
	if name == "" {
		return noWorkspace
	}
	if series, ok := r.workspaces.Load(name); ok {
		return series.(*WorkspaceSeries)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workspaceCount >= maxWorkspaces {
		name = otherWorkspaces
	}
	if series, ok := r.workspaces.Load(name); ok {
		return series.(*WorkspaceSeries)
	}
	series := newWorkspaceSeries(r.scope.Tagged(map[string]string{"workspace": name}))
	r.workspaces.Store(name, series)
	r.workspaceCount++
	return series
}

type classKey struct {
	team  string
	class string
}

// ClassSeries holds the metrics of one class of one team.
type ClassSeries struct {
	// Queue is the time from the arrival of a request to its dispatch.
	Queue tally.Histogram
	// FirstToken is the time from arrival to the first token sent.
	FirstToken tally.Histogram
	// LongestGap and MeanGap are the longest and the mean time between
	// consecutive tokens of a complete response.
	LongestGap tally.Histogram
	MeanGap    tally.Histogram
	// Total is the time from arrival to the end of the response.
	Total tally.Histogram
	// Dropped counts messages from engines that were late, duplicate or from
	// another attempt. Resumed counts streams that were resumed on another
	// engine.
	Dropped tally.Counter
	Resumed tally.Counter

	scope tally.Scope
}

// NewRequests returns the request metrics under the given scope.
func NewRequests(scope tally.Scope) *Requests {
	return &Requests{scope: scope}
}

// Class returns the metrics of a class of a team. A caller can keep the result for
// the duration of a request.
func (r *Requests) Class(team, class string) *ClassSeries {
	key := classKey{team: team, class: class}
	if series, ok := r.classes.Load(key); ok {
		return series.(*ClassSeries)
	}
	scope := r.scope.Tagged(map[string]string{"team": team, "class": class})
	series, _ := r.classes.LoadOrStore(key, &ClassSeries{
		Queue:      scope.Histogram("request_queue", durationBuckets),
		FirstToken: scope.Histogram("request_first_token", durationBuckets),
		LongestGap: scope.Histogram("request_longest_token_gap", durationBuckets),
		MeanGap:    scope.Histogram("request_mean_token_gap", durationBuckets),
		Dropped:    scope.Counter("request_messages_dropped"),
		Resumed:    scope.Counter("request_streams_resumed"),
		Total:      scope.Histogram("request_whole", durationBuckets),
		scope:      scope,
	})
	return series.(*ClassSeries)
}

// PredictionSeries holds the metrics of how well placement predicts the first events of a
// service.
type PredictionSeries struct {
	// Predicted and Actual are the times from arrival to the first event, of the requests
	// that have a prediction.
	Predicted tally.Histogram
	Actual    tally.Histogram
	// Early and Late are the differences of those whose first event came before or after the
	// predicted time.
	Early tally.Histogram
	Late  tally.Histogram
}

// Predictions returns the metrics of a service's predictions.
func (r *Requests) Predictions(service string) *PredictionSeries {
	if series, ok := r.predictions.Load(service); ok {
		return series.(*PredictionSeries)
	}
	scope := r.scope.Tagged(map[string]string{"service": service})
	series, _ := r.predictions.LoadOrStore(service, &PredictionSeries{
		Predicted: scope.Histogram("placement_first_event_predicted", durationBuckets),
		Actual:    scope.Histogram("placement_first_event_actual", durationBuckets),
		Early:     scope.Histogram("placement_first_event_early", durationBuckets),
		Late:      scope.Histogram("placement_first_event_late", durationBuckets),
	})
	return series.(*PredictionSeries)
}

// Record adds the first event of a request.
func (s *PredictionSeries) Record(predicted, actual time.Duration) {
	s.Predicted.RecordDuration(predicted)
	s.Actual.RecordDuration(actual)
	if actual < predicted {
		s.Early.RecordDuration(predicted - actual)
		return
	}
	s.Late.RecordDuration(actual - predicted)
}

// Refused counts a refused request; kind is the kind of refusal.
func (s *ClassSeries) Refused(kind string) {
	s.scope.Tagged(map[string]string{"kind": kind}).Counter("request_refused").Inc(1)
}

// Forwarded counts that another entry was asked to take a request, by why and by what came
// of it.
func (s *ClassSeries) Forwarded(reason, result string) {
	s.scope.Tagged(map[string]string{"reason": reason, "result": result}).Counter("request_forwarded").Inc(1)
}

// Customer returns the histogram of the times from arrival to the end of the
// response for a customer.
func (r *Requests) Customer(name string) tally.Histogram {
	if histogram, ok := r.customers.Load(name); ok {
		return histogram.(tally.Histogram)
	}
	if r.customerCount.Load() >= maxCustomers {
		name = otherCustomers
	}
	scope := r.scope.Tagged(map[string]string{"customer": name})
	histogram, known := r.customers.LoadOrStore(name, scope.Histogram("customer_whole", durationBuckets))
	if !known {
		r.customerCount.Add(1)
	}
	return histogram.(tally.Histogram)
}
