package adminhttp

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// maxConcurrentStateReads bounds the engine states that one request reads
// concurrently.
const maxConcurrentStateReads = 32

// EngineView gives what a control replica knows about engines in addition to
// the replicated state.
type EngineView interface {
	// State requests an engine's state from the engine.
	State(ctx context.Context, baseURL string) (backend.EngineState, error)
	// Waiting returns what the engine's outstanding order waits for; it is
	// empty on a replica that is not the leader.
	Waiting(engine string) string
	// ClosedToNewWork reports whether entries have stopped sending new work to the
	// draining engine. The engine may still have work from before.
	ClosedToNewWork(engine string) bool
}

// DrainState is the progress of draining an engine.
type DrainState string

const (
	// NotDraining means that the engine takes new work.
	NotDraining DrainState = "no"
	// Draining means that the engine is being drained but still has work or may
	// still get some.
	Draining DrainState = "draining"
	// Drained means that the engine has no work and gets none.
	Drained DrainState = "drained"
)

// EngineStatus describes one engine.
type EngineStatus struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	URL   string `json:"url"`
	Zone  string `json:"zone"`
	// Authority is the side that the settings give authority over the engine.
	// Holder is the side that may send it orders now; it is empty before the
	// first handover.
	Authority settings.OrderAuthority `json:"authority"`
	Holder    settings.OrderAuthority `json:"holder"`
	// WantedRole is the role that the settings pin; if it is empty, the planner
	// chooses the role.
	WantedRole settings.Role `json:"wanted_role,omitempty"`
	Drain      DrainState    `json:"drain"`
	// State is the state that the engine reports. If it could not be read, it is
	// nil and StateError holds the reason.
	State      *backend.EngineState `json:"state,omitempty"`
	StateError string               `json:"state_error,omitempty"`
	// Outstanding is the order without a final result yet, and Waiting is what
	// it waits for.
	Outstanding *orderbook.Order `json:"outstanding,omitempty"`
	Waiting     string           `json:"waiting,omitempty"`
	// History holds the newest orders with a final result, oldest first.
	History []orderbook.Record `json:"history"`
}

// EnginesAnswer lists engines, sorted by name.
type EnginesAnswer struct {
	Engines []EngineStatus `json:"engines"`
}

// RegisterEngines adds the API's engine endpoints to mux.
func (s *Server) RegisterEngines(mux *http.ServeMux, view EngineView) {
	mux.HandleFunc("GET /v1/engines", s.authenticated(func(w http.ResponseWriter, r *http.Request, _ operator) error {
		return writeJSON(w, http.StatusOK, EnginesAnswer{Engines: listEngines(r.Context(), s.Store.Orders(), view)})
	}))
}

func listEngines(ctx context.Context, orders store.OrdersView, view EngineView) []EngineStatus {
	engines := []EngineStatus{}
	for model, deployment := range orders.Settings.Models {
		for name, engine := range deployment.Engines {
			engines = append(engines, describeEngine(orders, model, name, engine))
		}
	}
	slices.SortFunc(engines, func(a, b EngineStatus) int { return strings.Compare(a.Name, b.Name) })
	var group errgroup.Group
	group.SetLimit(maxConcurrentStateReads)
	for i := range engines {
		group.Go(func() error {
			addLiveState(ctx, &engines[i], view)
			return nil
		})
	}
	_ = group.Wait()
	return engines
}

func describeEngine(orders store.OrdersView, model, name string, engine settings.Engine) EngineStatus {
	status := EngineStatus{
		Name:       name,
		Model:      model,
		URL:        engine.URL,
		Zone:       engine.Zone,
		Authority:  engine.Authority,
		Holder:     orders.Book.Holders[name].Side,
		WantedRole: engine.Role,
		Drain:      NotDraining,
		History:    orders.Book.History[name],
	}
	if engine.Drain {
		status.Drain = Draining
	}
	if o, ok := orders.Book.Outstanding[name]; ok {
		status.Outstanding = &o
	}
	return status
}

// addLiveState adds what is not part of the replicated state. An engine counts
// as drained only if its state was read after entries stopped sending it work.
func addLiveState(ctx context.Context, status *EngineStatus, view EngineView) {
	noNewWork := view.ClosedToNewWork(status.Name)
	status.Waiting = view.Waiting(status.Name)
	state, err := view.State(ctx, status.URL)
	if err != nil {
		status.StateError = err.Error()
		return
	}
	status.State = &state
	if status.Drain == Draining && noNewWork && state.Queued+state.Running == 0 {
		status.Drain = Drained
	}
}

// Engines returns the engines as seen by the first replica that responds.
func (c *Client) Engines(ctx context.Context) (EnginesAnswer, error) {
	var answer EnginesAnswer
	err := c.get(ctx, "/v1/engines", &answer)
	return answer, err
}
