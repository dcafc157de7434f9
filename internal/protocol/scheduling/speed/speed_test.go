package speed

import (
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

func TestFromModelKeepsDefaultsForOtherRoles(t *testing.T) {
	model := settings.Model{Speeds: map[settings.Role]settings.Speed{settings.RoleDecode: {
		PrefillRate: 5000, StepBase: strictjson.Duration(20 * time.Millisecond),
		StepPerSequence: strictjson.Duration(time.Millisecond), MaxSequences: 10, PrefillShare: 0.4,
	}}}
	table := FromModel(&model)
	if table.Prefill != Default.Prefill || table.Mixed != Default.Mixed {
		t.Error("a role without speeds in the settings differs from the default")
	}
	want := Speed{PrefillRate: 5000, StepBase: 0.02, StepPerSequence: 0.001, MaxSequences: 10, PrefillShare: 0.4}
	if table.Decode != want {
		t.Errorf("decode %+v, want %+v", table.Decode, want)
	}
	if Default.Decode == want {
		t.Error("FromModel changed the default table")
	}
}

func TestRolesAreCheapestForTheirWork(t *testing.T) {
	if Default.Prefill.Cost(5000, 2) >= Default.Decode.Cost(5000, 2) {
		t.Error("a long prompt is not cheaper in the prefill role than in the decode role")
	}
	if Default.Decode.Cost(100, 500) >= Default.Prefill.Cost(100, 500) {
		t.Error("a long answer is not cheaper in the decode role than in the prefill role")
	}
}
