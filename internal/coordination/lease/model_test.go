package lease

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// modelLease is the length of a lease in ticks of the model.
const modelLease = 4

// logEntry is an entry of a replica's log: a voter set, a settings command or,
// if neither is set, the empty entry with which a leader starts its term.
type logEntry struct {
	term     uint64
	settings bool
	voters   []uint64
}

// modelReplica is a replica of a group that follows the rules of Raft.
type modelReplica struct {
	id   uint64
	term uint64
	log  []logEntry
	// leaderTerm is the term in which the replica leads, or zero.
	leaderTerm uint64
	commit     int
	// match holds the length of the leader's log that each replica is known to
	// have.
	match map[uint64]int
}

// model is a group with one lease-holding entry. It does not model messages:
// an action between two replicas takes effect at both or at none.
type model struct {
	replicas map[uint64]*modelReplica
	now      clock.Instant
	// committedAt holds the time at which each settings command was committed,
	// by log index.
	committedAt map[int]clock.Instant
	// inForce, until, start and answers belong to the entry.
	inForce  int
	until    clock.Instant
	start    clock.Instant
	answers  []Answer
	evaluate func([]Answer, uint64) RoundResult
	// leaseFromAnswer injects the fault that the lease counts from the last
	// answer.
	leaseFromAnswer bool
}

const modelReplicas = 6

func newModel(evaluate func([]Answer, uint64) RoundResult, voters ...uint64) *model {
	m := &model{replicas: make(map[uint64]*modelReplica), committedAt: make(map[int]clock.Instant), evaluate: evaluate}
	for id := uint64(1); id <= modelReplicas; id++ {
		r := &modelReplica{id: id, commit: 1}
		if slices.Contains(voters, id) {
			r.log = []logEntry{{voters: voters}}
		}
		m.replicas[id] = r
	}
	return m
}

// voters returns the newest voter set in the log and its one-based index, or
// zero if there is none.
func (r *modelReplica) voters() (voters []uint64, index int) {
	for i, e := range slices.Backward(r.log) {
		if e.voters != nil {
			return e.voters, i + 1
		}
	}
	return nil, 0
}

func (r *modelReplica) newestSettings() int {
	for i, e := range slices.Backward(r.log) {
		if e.settings {
			return i + 1
		}
	}
	return 0
}

func (r *modelReplica) lastTerm() uint64 {
	if len(r.log) == 0 {
		return 0
	}
	return r.log[len(r.log)-1].term
}

func (r *modelReplica) observe(term uint64) {
	if term > r.term {
		r.term, r.leaderTerm = term, 0
	}
}

// elect makes a replica a candidate in a new term; only the replicas in reach
// receive its vote requests.
func (m *model) elect(id uint64, reach []uint64) {
	candidate := m.replicas[id]
	voters, _ := candidate.voters()
	term := uint64(0)
	for _, r := range m.replicas {
		term = max(term, r.term)
	}
	term++
	candidate.observe(term)
	votes := 0
	for _, other := range reach {
		r := m.replicas[other]
		r.observe(term)
		upToDate := candidate.lastTerm() > r.lastTerm() || candidate.lastTerm() == r.lastTerm() && len(candidate.log) >= len(r.log)
		if slices.Contains(voters, other) && upToDate {
			votes++
		}
	}
	if votes <= len(voters)/2 {
		return
	}
	candidate.leaderTerm = term
	candidate.match = make(map[uint64]int)
	candidate.log = append(slices.Clone(candidate.log), logEntry{term: term})
	m.advance(candidate)
}

// append adds an entry to the log of replica id if it is a leader.
func (m *model) append(id uint64, e logEntry) {
	leader := m.replicas[id]
	if leader.leaderTerm == 0 {
		return
	}
	e.term = leader.leaderTerm
	leader.log = append(slices.Clone(leader.log), e)
	m.advance(leader)
}

// changeVoters adds or removes one voter. As Raft requires, the previous voter
// set and an entry of the leader's term must be committed.
func (m *model) changeVoters(id, changed uint64) {
	leader := m.replicas[id]
	voters, index := leader.voters()
	if leader.leaderTerm == 0 || index > leader.commit || leader.log[leader.commit-1].term != leader.leaderTerm {
		return
	}
	next := slices.DeleteFunc(slices.Clone(voters), func(v uint64) bool { return v == changed })
	if len(next) == len(voters) {
		next = append(next, changed)
	}
	if len(next) > 0 {
		m.append(id, logEntry{voters: next})
	}
}

// replicate copies the leader's log, up to the given length, to another
// replica.
func (m *model) replicate(from, to uint64, length int) {
	leader, r := m.replicas[from], m.replicas[to]
	if leader.leaderTerm == 0 || r.term > leader.leaderTerm || from == to {
		return
	}
	r.observe(leader.leaderTerm)
	length = min(length, len(leader.log))
	for i := range length {
		if i < len(r.log) && r.log[i].term == leader.log[i].term {
			continue
		}
		r.log = slices.Clone(leader.log[:length])
		break
	}
	leader.match[to] = max(leader.match[to], length)
	m.advance(leader)
}

// advance moves the leader's commit index as far as a majority allows.
func (m *model) advance(leader *modelReplica) {
	voters, _ := leader.voters()
	leader.match[leader.id] = len(leader.log)
	for length := len(leader.log); length > leader.commit; length-- {
		have := 0
		for _, v := range voters {
			if leader.match[v] >= length {
				have++
			}
		}
		if have <= len(voters)/2 || leader.log[length-1].term != leader.leaderTerm {
			continue
		}
		m.commit(leader, length)
		return
	}
}

func (m *model) commit(leader *modelReplica, length int) {
	leader.commit = length
	for i, e := range leader.log[:length] {
		if _, known := m.committedAt[i+1]; e.settings && !known {
			m.committedAt[i+1] = m.now
		}
	}
}

// beginRenewal starts a renewal round.
func (m *model) beginRenewal() {
	m.start, m.answers = m.now, nil
}

// collectAnswer adds the answer of replica id to the round.
func (m *model) collectAnswer(id uint64) {
	r := m.replicas[id]
	voters, index := r.voters()
	m.answers = append(m.answers, Answer{
		Replica:          id,
		LogSettingsIndex: uint64(r.newestSettings()),
		Voters:           voters,
		VotersIndex:      uint64(index),
		Duration:         modelLease,
	})
}

// finishRenewal evaluates the answers and extends the lease if it is granted.
func (m *model) finishRenewal() {
	if m.leaseFromAnswer {
		m.start = m.now
	}
	if result := m.evaluate(m.answers, uint64(m.inForce)); result.Granted {
		m.until = max(m.until, m.start.Add(result.Duration))
	}
	m.answers = nil
}

// fetch puts the newest committed settings in force at the entry.
func (m *model) fetch() {
	for index := range m.committedAt {
		m.inForce = max(m.inForce, index)
	}
}

// check returns an error if the entry may take work on settings older than a
// change that was committed more than a lease duration ago.
func (m *model) check() error {
	if !m.now.Before(m.until) {
		return nil
	}
	for index, at := range m.committedAt {
		if index > m.inForce && m.now.Sub(at) > modelLease {
			return fmt.Errorf("at time %d the entry takes work with settings version %d, although version %d was committed at time %d", m.now, m.inForce, index, at)
		}
	}
	return nil
}

// subsets holds every subset of the replicas.
var subsets = func() [][]uint64 {
	var out [][]uint64
	for mask := range 1 << modelReplicas {
		var set []uint64
		for i := range modelReplicas {
			if mask&(1<<i) != 0 {
				set = append(set, uint64(i+1))
			}
		}
		out = append(out, set)
	}
	return out
}()

// leaders returns the replicas that consider themselves leaders.
func (m *model) leaders() []uint64 {
	var out []uint64
	for id := uint64(1); id <= modelReplicas; id++ {
		if m.replicas[id].leaderTerm != 0 {
			out = append(out, id)
		}
	}
	return out
}

var modelActions = []string{
	"elect", "append", "append", "voters", "voters", "replicate", "replicate", "replicate", "replicate",
	"begin", "ask", "ask", "finish", "fetch", "pass", "pass", "renew", "renew",
}

// runAction draws and runs one action.
func (m *model) runAction(t *rapid.T) {
	action := rapid.SampledFrom(modelActions).Draw(t, "action")
	set := rapid.SampledFrom(subsets).Draw(t, "replicas")
	leaders := m.leaders()
	if action == "elect" || len(leaders) == 0 {
		if len(set) > 0 {
			m.elect(rapid.SampledFrom(set).Draw(t, "candidate"), set)
		}
		return
	}
	leader := rapid.SampledFrom(leaders).Draw(t, "leader")
	switch action {
	case "append":
		m.append(leader, logEntry{settings: true})
	case "voters":
		m.changeVoters(leader, rapid.SampledFrom([]uint64{1, 2, 3, 4, 5, 6}).Draw(t, "voter"))
	case "replicate":
		length := len(m.replicas[leader].log) - rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "missing")
		for _, to := range set {
			m.replicate(leader, to, max(1, length))
		}
	case "begin":
		m.beginRenewal()
	case "ask":
		for _, id := range set {
			m.collectAnswer(id)
		}
	case "finish":
		m.finishRenewal()
	case "fetch":
		m.fetch()
	case "pass":
		m.now = m.now.Add(modelLease / 2)
	case "renew":
		m.renew(set...)
	}
}

// TestLeaseModel checks that no lease outlives a newer change by more than one
// lease duration. It draws random elections, commits and voter changes, and
// renewal rounds that collect their answers at any time in between.
func TestLeaseModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(Evaluate, 1, 2, 3)
		m.elect(1, []uint64{1, 2, 3})
		for range rapid.IntRange(50, 400).Draw(t, "actions") {
			m.runAction(t)
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// evaluateByNewestVoters is a wrong rule: it requires a majority of the voter
// set with the highest index only, which may never be committed.
func evaluateByNewestVoters(answers []Answer, inForce uint64) RoundResult {
	newest := Answer{}
	for _, a := range answers {
		if a.VotersIndex >= newest.VotersIndex {
			newest = a
		}
	}
	return evaluateByMajorityOf(newest.Voters, answers, inForce)
}

// evaluateByInitialVoters is a wrong rule: it requires a majority of the
// initial voter set only.
func evaluateByInitialVoters(answers []Answer, inForce uint64) RoundResult {
	return evaluateByMajorityOf([]uint64{1, 2, 3, 4}, answers, inForce)
}

// evaluateByMajorityOf grants the lease if no answer has an index above inForce
// and a majority of the voters answered.
func evaluateByMajorityOf(voters []uint64, answers []Answer, inForce uint64) RoundResult {
	granted := isMajority(answers, voters)
	for _, a := range answers {
		granted = granted && a.LogSettingsIndex <= inForce
	}
	return RoundResult{Granted: granted, Duration: modelLease}
}

// TestLeaseModelDetectsInjectedFaults runs scenarios in which a wrong rule lets
// an entry take work on old settings and the correct rule does not.
func TestLeaseModelDetectsInjectedFaults(t *testing.T) {
	tests := []struct {
		name            string
		evaluate        func([]Answer, uint64) RoundResult
		leaseFromAnswer bool
		run             func(*model)
	}{
		{"uncommitted voters", evaluateByNewestVoters, false, runUncommittedVoters},
		{"voters of an old configuration", evaluateByInitialVoters, false, runReplacedVoters},
		{"lease counted from the answer", Evaluate, true, runLateCommit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			faulty := newModel(test.evaluate, 1, 2, 3, 4)
			faulty.leaseFromAnswer = test.leaseFromAnswer
			test.run(faulty)
			if faulty.check() == nil {
				t.Error("checker missed the injected fault")
			}
			right := newModel(Evaluate, 1, 2, 3, 4)
			test.run(right)
			if err := right.check(); err != nil {
				t.Error(err)
			}
		})
	}
}

// runUncommittedVoters isolates a leader whose log adds a fifth voter that is
// never committed. The other replicas elect a new leader, remove the fourth
// voter and commit a change.
func runUncommittedVoters(m *model) {
	m.elect(1, []uint64{1, 2, 3, 4})
	m.replicate(1, 2, 2)
	m.replicate(1, 3, 2)
	m.replicate(1, 4, 2)
	m.changeVoters(1, 5)
	m.replicate(1, 5, 3)
	m.elect(2, []uint64{2, 3, 4})
	m.replicate(2, 3, 3)
	m.replicate(2, 4, 3)
	m.changeVoters(2, 4)
	m.replicate(2, 3, 4)
	m.append(2, logEntry{settings: true})
	m.replicate(2, 3, 5)
	m.now = m.now.Add(2 * modelLease)
	m.renew(1, 5, 4)
}

// runReplacedVoters replaces two of four voters. The removed voters still
// answer with the last voter set that they received.
func runReplacedVoters(m *model) {
	m.elect(1, []uint64{1, 2, 3, 4})
	for i, changed := range []uint64{5, 6, 3, 4} {
		for _, to := range []uint64{2, 5, 6} {
			m.replicate(1, to, 2+i)
		}
		m.replicate(1, 3, 2)
		m.changeVoters(1, changed)
	}
	for _, to := range []uint64{2, 5, 6} {
		m.replicate(1, to, 6)
	}
	m.append(1, logEntry{settings: true})
	m.replicate(1, 5, 7)
	m.replicate(1, 6, 7)
	m.now = m.now.Add(2 * modelLease)
	m.renew(2, 3, 4)
}

// runLateCommit commits a change after the answers were collected and before
// the round ends.
func runLateCommit(m *model) {
	m.elect(1, []uint64{1, 2, 3, 4})
	m.beginRenewal()
	m.collectAnswer(2)
	m.collectAnswer(3)
	m.collectAnswer(4)
	m.append(1, logEntry{settings: true})
	m.replicate(1, 2, 3)
	m.replicate(1, 3, 3)
	m.now = m.now.Add(modelLease / 2)
	m.finishRenewal()
	m.now = m.now.Add(modelLease/2 + 1)
}

// renew runs a renewal round in which the given replicas answer.
func (m *model) renew(replicas ...uint64) {
	m.beginRenewal()
	for _, id := range replicas {
		m.collectAnswer(id)
	}
	m.finishRenewal()
}
