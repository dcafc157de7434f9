package fleet_test

import (
	"strings"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

func TestCheck(t *testing.T) {
	sound := fleet.Engine{ID: "a", Service: "s", Address: "10.0.0.1:8080", Zone: "z", Slots: 64}
	for name, c := range map[string]struct {
		change func(e *fleet.Engine)
		sound  bool
	}{
		"unchanged":           {func(*fleet.Engine) {}, true},
		"no zone, no slots":   {func(e *fleet.Engine) { e.Zone, e.Slots = "", 0 }, true},
		"IPv6":                {func(e *fleet.Engine) { e.Address = "[fd00::1]:8080" }, true},
		"last port":           {func(e *fleet.Engine) { e.Address = "10.0.0.1:65535" }, true},
		"other letters":       {func(e *fleet.Engine) { e.ID = "é-1" }, true},
		"no ID":               {func(e *fleet.Engine) { e.ID = "" }, false},
		"no service":          {func(e *fleet.Engine) { e.Service = "" }, false},
		"line break":          {func(e *fleet.Engine) { e.Zone = "z\n" }, false},
		"no UTF-8":            {func(e *fleet.Engine) { e.Service = "\xff" }, false},
		"long ID":             {func(e *fleet.Engine) { e.ID = strings.Repeat("x", 257) }, false},
		"port out of range":   {func(e *fleet.Engine) { e.Address = "10.0.0.1:65536" }, false},
		"port 0":              {func(e *fleet.Engine) { e.Address = "10.0.0.1:0" }, false},
		"host name":           {func(e *fleet.Engine) { e.Address = "localhost:8080" }, false},
		"unspecified address": {func(e *fleet.Engine) { e.Address = "[::ffff:0.0.0.0]:8080" }, false},
		"multicast address":   {func(e *fleet.Engine) { e.Address = "[ff02::1]:8080" }, false},
		"long address":        {func(e *fleet.Engine) { e.Address = strings.Repeat("1", 1<<20) }, false},
		"negative slots":      {func(e *fleet.Engine) { e.Slots = -1 }, false},
		"too many slots":      {func(e *fleet.Engine) { e.Slots = 1<<20 + 1 }, false},
	} {
		e := sound
		c.change(&e)
		if err := e.Check(); (err == nil) != c.sound || err != nil && len(err.Error()) > 512 {
			t.Errorf("%s: got error %.600v, want none: %t", name, err, c.sound)
		}
	}
}
