package lease

import (
	"testing"
	"time"
)

func answer(replica, settings, votersIndex uint64, voters ...uint64) Answer {
	return Answer{
		Replica:          replica,
		LogSettingsIndex: settings,
		Voters:           voters,
		VotersIndex:      votersIndex,
		Duration:         3 * time.Second,
	}
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name    string
		answers []Answer
		granted bool
	}{
		{"no answer", nil, false},
		{"minority", []Answer{answer(1, 7, 1, 1, 2, 3)}, false},
		{"majority", []Answer{answer(1, 7, 1, 1, 2, 3), answer(2, 7, 1, 1, 2, 3)}, true},
		{"one replica has newer settings", []Answer{answer(1, 8, 1, 1, 2, 3), answer(2, 7, 1, 1, 2, 3)}, false},
		{"removed replica does not count", []Answer{answer(1, 7, 5, 1, 2, 4), answer(3, 7, 1, 1, 2, 3)}, false},
		{"newest configuration decides", []Answer{answer(1, 7, 5, 1, 2, 4), answer(4, 7, 5, 1, 2, 4)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Judge(test.answers, 7); got.Granted != test.granted {
				t.Errorf("Judge granted = %v, want %v", got.Granted, test.granted)
			}
		})
	}
}
