package controlrole

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/guard"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/order"
	"github.com/lagoonshift/lagoonshift/internal/protocol/reconcile"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/backendhttp"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

const (
	// dispatchSlack is the longest time between an entry's choice of an engine
	// and the moment at which the engine counts the request.
	dispatchSlack = time.Second
	// idleTimeout bounds the wait for an engine's running work to finish.
	idleTimeout = 2 * time.Minute
	// resendInterval is the delay before an order is sent again.
	resendInterval = time.Second
)

// engineOrders is the part of a control process that sends orders to engines.
type engineOrders struct {
	client     *backendhttp.OrderClient
	demand     *reconcile.DemandReceiver
	reconciler *reconcile.Reconciler
}

func newEngineOrders(replica string, l replog.Log, s *store.Store, logger hclog.Logger) (*engineOrders, error) {
	kernel, err := guard.NewKernelTimer()
	if err != nil {
		return nil, err
	}
	e := &engineOrders{client: backendhttp.NewOrderClient(kernel), demand: &reconcile.DemandReceiver{Collector: roleplan.NewCollector(), Clock: clock.Boot{}}}
	e.reconciler = reconcile.New(reconcile.Options{
		Replica: replica,
		Log:     l,
		Store:   s,
		Clock:   clock.Boot{},
		Engines: e.client,
		Planner: roleplan.NewGoodput(roleplan.DefaultGoodput()),
		Demand:  e.demand.Collector,
		Limits: order.Limits{
			MaxDeliveryDelay: backendhttp.MaxOrderDeliveryDelay,
			CloseDelay:       peergrpc.LeaseDuration + inforce.DriftMargin + dispatchSlack,
			IdleTimeout:      idleTimeout,
			ResendInterval:   resendInterval,
		},
		NewID:  rand.Text,
		Logger: logger.Named("orders"),
	})
	return e, nil
}

// State implements adminhttp.EngineView.
func (e *engineOrders) State(ctx context.Context, baseURL string) (backend.EngineState, error) {
	return e.client.State(ctx, baseURL)
}

// Waiting implements adminhttp.EngineView.
func (e *engineOrders) Waiting(engine string) string {
	return e.reconciler.Waiting(engine)
}

// ClosedToNewWork implements adminhttp.EngineView.
func (e *engineOrders) ClosedToNewWork(engine string) bool {
	return e.reconciler.Drains().Closed(engine)
}
