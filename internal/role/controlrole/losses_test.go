package controlrole

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakegroup"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// lossSchedules is the number of schedules for each size of the group.
var lossSchedules = flag.Uint64("losses.schedules", 25, "schedules of TestGroupSurvivesSuccessiveLosses, for each size of the group")

const (
	lossesEach = 10
	// modelCatchUp is SeededOptions.CatchUp of the model.
	modelCatchUp = 4 * time.Second
	// recoveryTimeout is the time within which the group must serve again after its
	// last loss.
	recoveryTimeout = 15 * time.Second
	// maxDowntime is the longest time for which a machine is down or frozen.
	maxDowntime = 4 * time.Second
)

// lossModel runs a group of control replicas that loses machines and disks at
// random, but never more than its tolerance at the same time. A machine counts as
// lost while it is down and for modelCatchUp after it is back; one that is removed,
// for modelCatchUp after its removal and its successor's start. If the successor has
// had that time before a removal by signal, the removal is no loss.
type lossModel struct {
	t     *testing.T
	group *fakegroup.Group
	rand  *rand.Rand
	// tolerance is the number of machines that may be lost at the same time.
	tolerance int
	// machines holds the numbers of the replicas that are not removed.
	machines []int
	// lostUntil holds the end of the losses, by replica.
	lostUntil map[int]time.Time
	// acknowledged is the number of keys whose reservation was acknowledged.
	acknowledged int
	// padding makes the commands larger.
	padding string
	// events describes what happened, for the message of a failure.
	events []string
}

func newLossModel(t *testing.T, machines, voters int, seed uint64, segmentBytes int) *lossModel {
	m := &lossModel{
		t: t,
		group: fakegroup.New(t, fakegroup.Options{
			Replicas:     machines,
			Voters:       voters,
			Seed:         seed,
			Timing:       seededTiming(modelCatchUp),
			Compaction:   raft.Compaction{LogBytes: 6000, TrailingEntries: 5},
			RejoinAfter:  modelCatchUp / rejoinsPerCatchUp,
			SegmentBytes: segmentBytes,
		}),
		rand:      rand.New(rand.NewPCG(seed, uint64(voters))),
		tolerance: (voters - 1) / 2,
		lostUntil: make(map[int]time.Time),
	}
	for i := range machines {
		m.machines = append(m.machines, i)
	}
	return m
}

func (m *lossModel) note(format string, args ...any) {
	m.events = append(m.events, fmt.Sprintf("%s %s", time.Now().Format("05.000"), fmt.Sprintf(format, args...)))
}

// lost returns the number of machines that count as lost.
func (m *lossModel) lost() int {
	count := 0
	for _, until := range m.lostUntil {
		if time.Now().Before(until) {
			count++
		}
	}
	return count
}

func (m *lossModel) pause(limit time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(limit)))
}

// victim returns a machine that doesn't count as lost, often the leader.
func (m *lossModel) victim() int {
	leader := m.group.CurrentLeader()
	var candidates []int
	for _, i := range m.machines {
		if time.Now().Before(m.lostUntil[i]) {
			continue
		}
		if i == leader && m.rand.IntN(2) == 0 {
			return i
		}
		candidates = append(candidates, i)
	}
	return candidates[m.rand.IntN(len(candidates))]
}

// lose starts one loss and returns a function that ends it.
func (m *lossModel) lose() (restore func()) {
	i := m.victim()
	m.lostUntil[i] = time.Now().Add(time.Hour)
	backIn := func(how string, back func()) func() {
		m.note("%s %d", how, i)
		return func() {
			m.note("%d is back", i)
			back()
			m.lostUntil[i] = time.Now().Add(modelCatchUp)
		}
	}
	switch m.rand.IntN(6) {
	case 0:
		m.group.Kill(i)
		return backIn("kill", func() { m.group.Restart(i) })
	case 1:
		m.group.StopGracefully(i)
		return backIn("stop", func() { m.group.Restart(i) })
	case 2:
		m.group.LoseDisk(i)
		return backIn("wipe", func() { m.group.Restart(i) })
	case 3:
		m.group.Freeze(i)
		return backIn("freeze", func() { m.group.Thaw(i) })
	default:
		return m.replace(i)
	}
}

// replace removes a machine for good, with or without a signal, before or after
// its successor starts.
func (m *lossModel) replace(i int) (restore func()) {
	successor := -1
	var joined time.Time
	if m.rand.IntN(2) == 0 {
		successor, joined = m.addMachine(), time.Now()
		m.note("%d joins, successor of %d", successor, i)
		time.Sleep(m.pause(2 * modelCatchUp))
	}
	if m.rand.IntN(2) == 0 {
		m.note("remove %d by signal", i)
		m.group.StopGracefully(i)
		if successor >= 0 && time.Since(joined) >= modelCatchUp {
			m.forget(i)
			delete(m.lostUntil, i)
			return func() {}
		}
	} else {
		m.note("remove %d", i)
		m.group.Kill(i)
	}
	removed := time.Now()
	m.forget(i)
	return func() {
		if successor < 0 {
			successor = m.addMachine()
			m.note("%d joins, successor of %d", successor, i)
			removed = time.Now()
		}
		m.lostUntil[i] = removed.Add(modelCatchUp)
	}
}

func (m *lossModel) addMachine() int {
	i := m.group.Add()
	m.machines = append(m.machines, i)
	return i
}

// forget removes a machine that is gone for good.
func (m *lossModel) forget(i int) {
	m.machines = slices.DeleteFunc(m.machines, func(other int) bool { return other == i })
}

// reserve reserves the next key at a random machine. The key counts only if the
// reservation is acknowledged.
func (m *lossModel) reserve() {
	i := m.machines[m.rand.IntN(len(m.machines))]
	if !m.group.Running(i) {
		return
	}
	command := store.Command{Reserve: &ledger.Reserve{Key: ledger.Key{IdempotencyKey: fmt.Sprint(m.acknowledged)}, Attempt: "a" + m.padding}}
	encoded, err := command.Encode()
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(m.t.Context(), time.Second)
	defer cancel()
	if _, err := m.group.Submit(ctx, i, encoded); err == nil {
		m.acknowledged++
	} else if !errors.Is(err, replog.ErrNotLeader) && !errors.Is(err, replog.ErrOutcomeUnknown) && !errors.Is(err, replog.ErrStopped) {
		m.t.Fatal(err)
	}
}

// run lets the group lose machines; with two in a row where its tolerance
// permits it.
func (m *lossModel) run() {
	for range lossesEach {
		for m.lost() >= m.tolerance {
			time.Sleep(100 * time.Millisecond)
			m.reserve()
		}
		if m.rand.IntN(3) == 0 {
			time.Sleep(m.pause(2 * modelCatchUp))
		}
		if leader := m.group.CurrentLeader(); leader >= 0 && m.rand.IntN(4) == 0 {
			m.note("transfer leadership from %d", leader)
			m.group.Node(leader).TransferLeadership(context.Background())
		}
		m.reserve()
		restores := []func(){m.lose()}
		for m.lost() < m.tolerance && m.rand.IntN(2) == 0 {
			time.Sleep(m.pause(time.Second))
			restores = append(restores, m.lose())
		}
		m.reserve()
		time.Sleep(m.pause(maxDowntime))
		for _, restore := range restores {
			restore()
			m.reserve()
		}
	}
}

// loseDisksAtOnce kills all machines while as many as still may be lost lose
// their disks, right after a change.
func (m *lossModel) loseDisksAtOnce() {
	m.reserve()
	for range m.tolerance - m.lost() {
		i := m.victim()
		m.lostUntil[i] = time.Now().Add(time.Hour)
		m.note("wipe %d beside the kill of all", i)
		m.group.LoseDisk(i)
	}
	for _, i := range m.machines {
		m.group.Kill(i)
	}
	for _, i := range m.machines {
		m.group.Restart(i)
	}
}

// checkAcknowledged requires that every machine reads all acknowledged keys
// within recoveryTimeout.
func (m *lossModel) checkAcknowledged() {
	ctx, cancel := context.WithTimeout(m.t.Context(), recoveryTimeout)
	defer cancel()
	for _, i := range m.machines {
		err := m.group.Log(i).ReadBarrier(ctx)
		if err != nil {
			m.t.Fatalf("machine %d serves no read: %v\n%q", i, err, m.events)
		}
		m.group.Store(i).View(func(_ *settings.Tree, l *ledger.Ledger) {
			for k := range m.acknowledged {
				if _, ok := l.Lookup(ledger.Key{IdempotencyKey: fmt.Sprint(k)}); !ok {
					m.t.Fatalf("machine %d lacks acknowledged key %d of %d\n%q", i, k, m.acknowledged, m.events)
				}
			}
		})
	}
}

// TestGroupSurvivesSuccessiveLosses guards against a group that stays without a
// quorum because a removed machine still has its vote when the next one is lost.
func TestGroupSurvivesSuccessiveLosses(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range *lossSchedules {
			t.Run(fmt.Sprintf("%d voters, seed %d", voters, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newLossModel(t, voters, voters, seed, 0)
					m.run()
					m.loseDisksAtOnce()
					m.checkAcknowledged()
				})
			})
		}
	}
}
