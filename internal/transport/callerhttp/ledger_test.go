package callerhttp

import (
	"context"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// localLedger commits commands to a log in the test process.
type localLedger struct {
	log replog.Log
}

// Submit implements servicecall.Ledger.
func (l *localLedger) Submit(ctx context.Context, command *store.Command) (store.Result, error) {
	encoded, err := command.Encode()
	if err != nil {
		return store.Result{}, err
	}
	applied, err := l.log.Submit(ctx, encoded)
	if err != nil {
		return store.Result{}, err
	}
	return store.DecodeResult(applied.Result)
}
