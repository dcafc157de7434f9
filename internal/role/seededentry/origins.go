package seededentry

import (
	"context"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/origin"
)

// Origins records and finds the software versions that began streams.
type Origins struct {
	agent  *Agent
	memory *origin.Memory
	// recorded signals a record that the control replicas need; its capacity is 1.
	recorded chan struct{}
}

func newOrigins(a *Agent) *Origins {
	return &Origins{agent: a, memory: origin.NewMemory(a.options.Clock), recorded: make(chan struct{}, 1)}
}

// Began records that a server of the version began the stream of a caller's request.
func (o *Origins) Began(service, request, version string) {
	if o.memory.Record(service, request, version) {
		o.signal()
	}
}

// Find returns the version that began the stream of an earlier request; found is
// false if that can't be known. request is "" for a take-up that names none.
//
// What this entry saw itself is asked for first. Otherwise control replicas are
// asked, even if only one version is listed here: a new version may have begun
// streams at entries that had the list of engines earlier. That only one version is
// listed counts if a control replica vouches for it: the list here may be old, and
// there is no telling, since it is sent only when it changes.
func (o *Origins) Find(ctx context.Context, service, request string) (version string, found bool) {
	start := o.agent.options.Clock.Now()
	id := origin.StreamID(service, request)
	own := o.memory.Answer(service, id)
	answers, source := []origin.Answer{own}, "own"
	if !own.Recorded && !own.Conflicting {
		answers, source = append(answers, o.agent.watcher.StreamOrigin(ctx, service, id, own.Settled())...), "control"
	}
	answers[0].Covered = false
	version, found = origin.Resolve(answers...)
	if found {
		// The caller may have to take the stream up once more.
		o.Began(service, request, version)
	}
	o.agent.options.Log.Info("origin of a stream", "service", service, "resumes", request, "found", found, "version", version, "source", source,
		"answers", len(answers)-1, "settled", own.Settled(), "ms", o.agent.options.Clock.Now().Sub(start).Milliseconds())
	return version, found
}

// setEngines applies a new list of engines.
func (o *Origins) setEngines(engines []fleet.Engine) {
	for _, c := range o.memory.SetEngines(engines) {
		if c.Listed && c.Others > 0 {
			o.signal()
		}
	}
}

func (o *Origins) signal() {
	select {
	case o.recorded <- struct{}{}:
	default:
	}
}

// run reports new records at once, at most once in the interval at which the leader
// exchanges load figures.
func (o *Origins) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.recorded:
			o.agent.watcher.Wake()
			clock.Sleep(ctx, time.Duration(o.agent.reportInterval.Load()))
		}
	}
}
