package controlrole

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
)

type gateClock struct{ now clock.Instant }

func (c *gateClock) Now() clock.Instant { return c.now }
func (c *gateClock) Wall() time.Time    { return time.Time{} }

// TestApplierGate decides for groups with replicas of this and of the previous build. It
// guards against a command that reaches a replica which can't apply it, and against one that
// is kept out of the log for ever, by a voter or a learner that is gone.
func TestApplierGate(t *testing.T) {
	const self, current, old, unheard = 1, 2, 3, 4
	c := &gateClock{}
	gate := func() *applierGate {
		return &applierGate{clock: c, self: self, applies: func(id uint64) (applies, heard bool) { return id == current, id != unheard }}
	}
	voter := func(id uint64) raft.Member { return raft.Member{ID: id, Voter: true} }
	learner := func(id uint64) raft.Member { return raft.Member{ID: id} }
	for name, test := range map[string]struct {
		members raft.Members
		earlier []uint64
		want    []uint64
	}{
		"alone":                                {raft.Members{voter(self)}, nil, []uint64{self}},
		"all of this build":                    {raft.Members{voter(self), voter(current)}, nil, []uint64{self, current}},
		"a voter of the previous build":        {raft.Members{voter(self), voter(current), voter(old)}, nil, nil},
		"a learner of the previous build":      {raft.Members{voter(self), learner(old)}, nil, nil},
		"an earlier applier that went back":    {raft.Members{voter(self), voter(old)}, []uint64{self, old}, nil},
		"a voter that was not heard":           {raft.Members{voter(self), voter(unheard)}, nil, nil},
		"an earlier applier that wasn't heard": {raft.Members{voter(self), voter(unheard)}, []uint64{self, unheard}, []uint64{self, unheard}},
		"a learner that was not heard":         {raft.Members{voter(self), learner(unheard)}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := gate().appliers(test.members, test.earlier)
			if !slices.Equal(got, test.want) || (err == nil) != (test.want != nil) || err != nil && !errors.Is(err, errNotApplied) {
				t.Errorf("got %v and error %v, want %v", got, err, test.want)
			}
		})
	}
	g, members := gate(), raft.Members{voter(self), learner(unheard)}
	_, _ = g.appliers(members, nil)
	c.now += clock.Instant(silentLearnerTimeout)
	if got, err := g.appliers(members, nil); err != nil || !slices.Equal(got, []uint64{self}) {
		t.Errorf("with a learner that has been silent for long: got %v and error %v, want the replica itself", got, err)
	}
}
