package phaseplan

import (
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// TestUnreachableDecodeEnginesAreSubstituted guards against a version whose decode engines have all ended, and whose streams nobody continues until the list shows it.
func TestUnreachableDecodeEnginesAreSubstituted(t *testing.T) {
	engines := []fleet.Engine{
		{ID: "d1", Version: "v1", Phase: fleet.Decode},
		{ID: "p1", Version: "v1", Phase: fleet.Prefill},
		{ID: "d2", Version: "v2", Phase: fleet.Decode},
		{ID: "e2", Version: "v2", Phase: fleet.Decode},
		{ID: "p2", Version: "v2", Phase: fleet.Prefill},
		{ID: "q2", Version: "v2", Phase: fleet.Prefill},
	}
	for name, c := range map[string]struct {
		missing  []string
		changing string
		want     string
	}{
		"all reachable":                  {nil, "", ""},
		"one of two missing":             {[]string{"d2"}, "", ""},
		"both missing":                   {[]string{"d2", "e2"}, "", "p2"},
		"both missing, one busy or gone": {[]string{"d2", "e2", "p2"}, "", ""},
		"a substitute changes already":   {[]string{"d2", "e2"}, "q2", ""},
		"last prefill engine stays":      {[]string{"d1"}, "", ""},
	} {
		load := func(id string) (l fleet.Load) {
			for _, missing := range c.missing {
				if missing == id {
					l.MissingEntries = 1
				}
			}
			return l
		}
		got := substitutes(engines, load, func(e fleet.Engine) bool { return e.ID == c.changing })
		id := ""
		for _, change := range got {
			if id += change.Engine.ID; change.Phase != fleet.Decode {
				t.Errorf("%s: engine %s changes to %v, want decode", name, change.Engine.ID, change.Phase)
			}
		}
		if id != c.want {
			t.Errorf("%s: engines %q change, want %q", name, id, c.want)
		}
	}
}
