package seededentry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/notice"
)

// TestIsolatedEntryReportsNoEngineAsFailing guards against engines that other entries leave out because one entry is cut off.
func TestIsolatedEntryReportsNoEngineAsFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cut atomic.Bool
		reach := func(_ context.Context, e fleet.Engine) error {
			if cut.Load() || e.ID == "ended" {
				return errors.New("connection refused")
			}
			return nil
		}
		c := clock.NewRuntime()
		a := New(Options{Name: "entry", Clock: c, Notices: notice.NewBoard(c), Log: hclog.NewNullLogger(), Reach: reach})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.isolation.Run(ctx) }()
		defer func() { cancel(); <-done }()
		engines := []fleet.Engine{{ID: "ended"}}
		for i := range 12 {
			engines = append(engines, fleet.Engine{ID: fmt.Sprint("e", i)})
		}
		a.setEngines("leader", fleet.List{Engines: engines})
		fail := func(e fleet.Engine) {
			a.Isolation().Failed(e)
			a.outlier.Unreachable(e.ID)
			for range 3 {
				a.outlier.Failure(e.ID)
			}
		}
		// reported returns the numbers of engines reported as failing and as missing.
		reported := func() (failing, missing int) {
			for _, l := range a.report("leader", false).Work.Engines {
				failing += l.FailingEntries
				missing += l.MissingEntries
			}
			return failing, missing
		}
		fail(engines[0])
		time.Sleep(100 * time.Millisecond)
		if failing, missing := reported(); failing != 1 || missing != 1 || a.Isolated() {
			t.Errorf("an engine that ended: %d reported as failing, %d as missing, isolated %t; want it in both", failing, missing, a.Isolated())
		}
		cut.Store(true)
		for _, e := range engines {
			fail(e)
		}
		if failing, missing := reported(); failing > 1 || missing > 1 {
			t.Errorf("as the cut begins: %d reported as failing, %d as missing; want only the engine that ended", failing, missing)
		}
		time.Sleep(500 * time.Millisecond)
		if failing, missing := reported(); failing > 0 || missing > 0 || !a.Isolated() {
			t.Errorf("cut off: %d reported as failing, %d as missing, isolated %t; want none", failing, missing, a.Isolated())
		}
		cut.Store(false)
		time.Sleep(500 * time.Millisecond)
		if failing, missing := reported(); failing > 1 || missing > 1 || a.Isolated() {
			t.Errorf("after the cut: %d reported as failing, %d as missing, isolated %t; want only the engine that ended", failing, missing, a.Isolated())
		}
	})
}
