package experiment

import (
	"fmt"
	"os"
	"testing"
)

func TestDbg(t *testing.T) {
	d := ReseatWorks()
	if os.Getenv("D") == "tui" {
		d = TuiLane()
	}
	c := cellNamed(t, os.Getenv("C"))
	arr := draw(d, &c, 1)
	p := Lagoonshift
	inner := p.roles
	p.roles = func(d *Deployment) rolePolicy { return &dbgRoles{rolePolicy: inner(d)} }
	r := run(d, &c, &p, arr, 1)
	fmt.Printf("%+v\n", r)
}

type dbgRoles struct {
	rolePolicy
	n int
}

func (x *dbgRoles) plan(s *simulation) {
	x.rolePolicy.plan(s)
	x.n++
	if x.n%60 != 0 {
		return
	}
	n := s.entries[0]
	v := n.tracker.Snapshot().Model(modelName)
	fmt.Printf("t=%.0f cap=%.1f press %.2f", s.clock.now, v.Capacity, v.Pressure())
	for k, x := range n.controller.Demand()[modelName].Classes {
		fmt.Printf(" %d:%.1f/s p%.0f o%.0f", k, x.Requests, x.PromptTokens, x.OutputTokens)
	}
	fmt.Println()
	for i := range v.Engines {
		e := &v.Engines[i]
		rep := s.engines[i].model.Report("")
		fmt.Printf("  %s q%d r%d p%d | %.1f %.0f own %.0f slow %.2f\n", e.Role[:1], rep.Queued, rep.Running, rep.QueuedPromptTokens, e.Load().Requests, e.Load().PromptTokens, e.Load().Requests-e.Foreign.Requests, e.Slowdown)
	}
}
