// Package memlog is an in-memory replicated log with a single replica, for tests
// only.
package memlog

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
)

const (
	replicaID         = 1
	authorityDuration = time.Second
)

// Log is a replog.Log with one replica that is always the leader.
type Log struct {
	stateMachine replog.StateMachine
	clock        clock.Clock
	// isSettings reports whether a command changes settings.
	isSettings func(command []byte) bool

	mu            sync.Mutex // guards the fields below and calls to stateMachine
	index         uint64
	settingsIndex uint64
}

// New returns an empty log that applies its commands to stateMachine. The
// function isSettings reports whether a command changes settings.
func New(stateMachine replog.StateMachine, c clock.Clock, isSettings func([]byte) bool) *Log {
	return &Log{stateMachine: stateMachine, clock: c, isSettings: isSettings}
}

// Submit implements replog.Log.
func (l *Log) Submit(_ context.Context, command []byte) (replog.Applied, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	if l.isSettings(command) {
		l.settingsIndex = l.index
	}
	return replog.Applied{Index: l.index, Result: l.stateMachine.Apply(l.index, command)}, nil
}

// ReadBarrier implements replog.Log.
func (l *Log) ReadBarrier(context.Context) error {
	return nil
}

// View implements replog.Log.
func (l *Log) View() replog.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return replog.View{
		ReplicaID:        replicaID,
		ClusterID:        "memlog",
		Term:             1,
		LeaderID:         replicaID,
		Voters:           []uint64{replicaID},
		LogSettingsIndex: l.settingsIndex,
		CommitIndex:      l.index,
		AppliedIndex:     l.index,
	}
}

// Authority implements replog.Log.
func (l *Log) Authority() (replog.Authority, bool) {
	return replog.Authority{Term: 1, Until: l.clock.Now().Add(authorityDuration)}, true
}
