package controlrole

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/protocol/usage"
	"github.com/lagoonshift/lagoonshift/internal/protocol/walltime"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/state/usagelog"
)

// silentLearnerTimeout is the time after which a learner that has never sent anything no
// longer keeps commands out of the log. Nothing removes such a learner if its VM never
// returns.
const silentLearnerTimeout = 10 * time.Second

// errNotApplied means that a replica of the group may be unable to apply a command.
var errNotApplied = errors.New("not all replicas are known to apply the command")

// applierGate decides whether commands that earlier builds don't know may be appended to
// the log.
type applierGate struct {
	clock clock.Clock
	// self is this replica's ID.
	self uint64
	// applies reports whether a replica applies the commands; heard is false if it has not
	// sent anything to this process.
	applies func(id uint64) (applies, heard bool)

	mu sync.Mutex // guards the field below
	// silentSince holds when a learner that has sent nothing was first seen.
	silentSince map[uint64]clock.Instant
}

// appliers returns the IDs of the members that apply the commands. It fails unless all do:
// a member counts if it states so in its newest message or, where this process has not heard
// from it, if it was among the appliers of an earlier command.
func (g *applierGate) appliers(members raft.Members, earlier []uint64) ([]uint64, error) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []uint64
	silent := make(map[uint64]clock.Instant)
	for _, m := range members {
		applies, heard := g.applies(m.ID)
		if m.ID == g.self || applies || !heard && slices.Contains(earlier, m.ID) {
			out = append(out, m.ID)
			continue
		}
		since, seen := g.silentSince[m.ID]
		if !seen {
			since = now
		}
		silent[m.ID] = since
		if heard || m.Voter || now.Sub(since) < silentLearnerTimeout {
			g.silentSince = silent
			return nil, fmt.Errorf("%w: replica %016x at %s (voter %t, heard of %t)", errNotApplied, m.ID, m.Address, m.Voter, heard)
		}
	}
	g.silentSince = silent
	return out, nil
}

// newApplierGate returns the gate for the commands on the usage log.
func newApplierGate(r *replica) *applierGate {
	return &applierGate{
		clock:   clock.Boot{},
		self:    r.identity.ReplicaID,
		applies: func(id uint64) (applies, heard bool) { return r.transport.Applies(id, store.UsageCommands) },
	}
}

// usageState is the usage state of a control process. It outlives a replica that is
// reopened.
type usageState struct {
	time   *walltime.Estimator
	counts *usage.Aggregator
}

func newUsageState(window time.Duration) *usageState {
	s := &usageState{time: walltime.NewEstimator(clock.Boot{})}
	if window > 0 {
		s.counts = usage.NewAggregator(clock.Boot{}, window, s.time.Now)
	}
	return s
}

// UsageCounts returns the sums of what entries counted, or nil if SeededOptions.UsageWindow
// is zero.
func (s *Seeded) UsageCounts() *usage.Aggregator {
	return s.usage.counts
}

// TrueTime returns the estimate of the true time.
func (s *Seeded) TrueTime() *walltime.Estimator {
	return s.usage.time
}

// Usage implements usage.History.
func (s *Seeded) Usage() *usagelog.Log {
	return s.state.Usage()
}

// CommitUsage implements usage.History. It fails unless this replica leads and all replicas
// apply the command.
func (s *Seeded) CommitUsage(ctx context.Context, c usagelog.Command) (usagelog.Result, error) {
	members, err := s.replica.node.Members(ctx)
	if err != nil {
		return usagelog.Result{}, fmt.Errorf("commit usage: %w", err)
	}
	appliers, err := s.gate.appliers(members, s.state.Usage().Appliers)
	if err != nil {
		return usagelog.Result{}, fmt.Errorf("commit usage: %w", err)
	}
	if c.Decide != nil {
		decide := *c.Decide
		decide.Appliers = appliers
		c.Decide = &decide
	}
	command := store.Command{Usage: &c}
	encoded, err := command.Encode()
	if err != nil {
		return usagelog.Result{}, err
	}
	// Not forwarded: the gate of another replica would have to decide.
	applied, err := s.replica.node.Submit(ctx, encoded)
	if err != nil {
		return usagelog.Result{}, fmt.Errorf("commit usage: %w", err)
	}
	result, err := store.DecodeResult(applied.Result)
	if err != nil {
		return usagelog.Result{}, err
	}
	if result.Usage == nil {
		return usagelog.Result{}, errors.New("commit usage: no result")
	}
	return *result.Usage, nil
}
