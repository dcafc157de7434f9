package experiment

import (
	"fmt"
	"os"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
)

func TestDbg(t *testing.T) {
	d := ReseatWorks()
	if os.Getenv("D") == "tui" {
		d = TuiLane()
	}
	var c Cell
	for _, x := range Cells() {
		if x.Name == os.Getenv("C") {
			c = x
		}
	}
	arr := draw(d, &c, 1)
	fmt.Println("arrivals", len(arr), "bound", Bound(d, &c, arr))
	p := Lagoonshift
	var s2 *simulation
	seen := map[string]int{}
	dbgRefuse = func(r *request, err error) {
		_, err2 := routing.NewPredictive(1).Pick(r.entry.tracker.Snapshot(), &r.routing)
		seen[fmt.Sprintf("%s predicted=%v", r.class.Name, err2 != nil)]++
		if r.class.Name == "triage" && len(seen) > 0 && seen["triage predicted=false"]%400 == 0 {
			v := r.entry.tracker.Snapshot().Model(modelName)
			if s2 == nil { return }
			fmt.Println("REF", s2.clock.now, v.Capacity, r.entry.controller.String())
		}
	}
	debug = func(s *simulation) {
		s2 = s
		n := s.entries[0]
		v := n.tracker.Snapshot().Model(modelName)
		fmt.Printf("t=%.0f cap=%.1f ", s.clock.now, v.Capacity)
		for k, x := range n.controller.Demand()[modelName].Classes {
			fmt.Printf(" %d:%.1f/s p%.0f o%.0f", k, x.Requests, x.PromptTokens, x.OutputTokens)
		}
		fmt.Println()
		for i := range v.Engines {
			e := &v.Engines[i]
			rep := s.engines[i].model.Report("")
			fmt.Printf("  %s q%d r%d p%d hit %.2f busy %.2f | %.1f %.0f slow %.2f\n", e.Role[:1], rep.Queued, rep.Running, rep.QueuedPromptTokens, float64(s.engines[i].model.Cached)/float64(s.engines[i].model.Prompted+1), s.engines[i].model.Busy/s.clock.now, e.Load().Requests, e.Load().PromptTokens, e.Slowdown)
		}
	}
	r := run(d, &c, &p, arr, 1)
	fmt.Printf("%+v\n", r)
	fmt.Println(seen)
}
