package controlrole

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// fullDiskSchedules is the number of schedules for each size of the group.
var fullDiskSchedules = flag.Uint64("fulldisk.schedules", 2, "schedules of TestGroupSurvivesFullDisksInTurn, for each size of the group")

const (
	fullDisksEach = 20
	// Segments and snapshots change often, so that disks are full in the middle.
	modelSegmentBytes = 2000
	modelCommandBytes = 300
	// maxFullTime is the longest time for which a disk is full.
	maxFullTime = 5 * time.Second
)

// fullDiskModel is a lossModel in which disks are full one after another, never two at
// once. Replicas that stop are opened again, as RunSeeded does.
type fullDiskModel struct {
	*lossModel
	stopped chan struct{}
}

func newFullDiskModel(t *testing.T, machines, voters int, seed uint64) *fullDiskModel {
	m := &fullDiskModel{lossModel: newLossModel(t, machines, voters, seed, modelSegmentBytes), stopped: make(chan struct{})}
	m.padding = strings.Repeat("x", modelCommandBytes)
	go m.reopen()
	return m
}

// reopen opens the replicas that have stopped until the model ends.
func (m *fullDiskModel) reopen() {
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(reopenDelay):
		}
		for i := range m.group.Size() {
			if !m.group.Running(i) {
				_ = m.group.TryRestart(i) // it may still have no room
			}
		}
	}
}

// change reserves keys whose commands are as large as changes of a configuration.
func (m *fullDiskModel) change(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		m.reserve()
		if leader := m.group.CurrentLeader(); leader >= 0 && m.rand.IntN(20) == 0 {
			m.note("transfer leadership from %d", leader)
			m.group.Node(leader).TransferLeadership(context.Background())
		}
	}
}

func (m *fullDiskModel) run() {
	for range fullDisksEach {
		i := m.machines[m.rand.IntN(len(m.machines))]
		if leader := m.group.CurrentLeader(); leader >= 0 && m.rand.IntN(3) == 0 {
			i = leader
		}
		m.note("disk of %d is full", i)
		m.group.Disk(i).SetFull(true)
		if m.rand.IntN(4) == 0 {
			m.note("kill %d", i)
			m.group.Kill(i)
		}
		m.change(m.pause(maxFullTime))
		m.group.Disk(i).SetFull(false)
		m.note("disk of %d has room", i)
		m.change(m.pause(time.Second))
	}
}

// checkChangesAreAcknowledged requires that a change is acknowledged within
// recoveryTimeout, and again after it.
func (m *fullDiskModel) checkChangesAreAcknowledged() {
	for range 2 {
		before := m.acknowledged
		for end := time.Now().Add(recoveryTimeout); m.acknowledged == before; time.Sleep(100 * time.Millisecond) {
			m.reserve()
			if time.Now().After(end) {
				m.t.Fatalf("no change is acknowledged %v after the last disk had room\n%q", recoveryTimeout, m.events)
			}
		}
		time.Sleep(recoveryTimeout)
	}
}

// TestGroupSurvivesFullDisksInTurn guards against a group that acknowledges no change any more
// after the disks of its machines were full one after another.
func TestGroupSurvivesFullDisksInTurn(t *testing.T) {
	for _, size := range []struct{ machines, voters int }{{3, 3}, {5, 3}, {5, 5}} {
		for seed := range *fullDiskSchedules {
			t.Run(fmt.Sprintf("%d machines, %d voters, seed %d", size.machines, size.voters, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newFullDiskModel(t, size.machines, size.voters, seed)
					m.run()
					m.checkChangesAreAcknowledged()
					m.checkAcknowledged()
					close(m.stopped)
				})
			})
		}
	}
}
