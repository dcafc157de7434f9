package experiment

import (
	"errors"

	"github.com/lagoonshift/lagoonshift/internal/fake/enginemodel"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/admission"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
)

type admissionController = admission.Controller

// request is one request in progress.
type request struct {
	arrival  *arrival
	entry    *entry
	class    *Class
	routing  routing.Request
	job      *enginemodel.Job
	engine   *engine
	inFlight *routing.InFlightRequest
	tries    int
	ended    bool
}

func (s *simulation) arrive(a *arrival) {
	class := &s.deployment.Classes[a.class]
	r := &request{arrival: a, entry: s.entries[a.entry%len(s.entries)], class: class}
	r.routing = routing.Request{
		Model: modelName, Team: teamName, Class: class.Name, Customer: engineName(a.customer),
		PromptTokens: a.promptTokens, OutputTokens: class.MaxOutput, PrefixHashes: a.prefixHashes,
		Priority: class.Priority, Worth: class.Worth, ExpectedWait: speed.Seconds(class.Wait),
		Zone: zoneName(a.entry % s.deployment.Zones),
	}
	s.result.offer(a)
	s.dispatch(r)
}

// dispatch picks an engine and submits the request to it. It tries up to
// maxAttempts engines.
func (s *simulation) dispatch(r *request) {
	for ; r.tries < maxAttempts; r.tries++ {
		choice, err := r.entry.picker.Pick(r.entry.tracker.Snapshot(), &r.routing)
		r.routing.Retry = true
		if err != nil {
			s.refuse(r, err)
			return
		}
		e := s.engines[s.indexOf[choice.Engine.Name]]
		s.advance(e)
		if s.submit(r, e) {
			r.tries++
			return
		}
		r.entry.tracker.MarkUnreachable(e.name)
		r.routing.Exclude = append(r.routing.Exclude, e.name)
	}
	s.refuse(r, routing.ErrNoEngine)
}

func (s *simulation) submit(r *request, e *engine) bool {
	job := &enginemodel.Job{
		Prompt: r.arrival.promptTokens, Output: r.arrival.outputTokens, Priority: r.class.Priority, Prefix: r.arrival.prefixHashes,
		OnFirst: func(float64) { r.inFlight.RecordFirstToken() },
		OnDone:  func(now float64) { s.complete(r, now) },
		OnFail:  func(now float64) { s.retry(r, now) },
	}
	r.inFlight = r.entry.tracker.Start(e.name, &r.routing)
	r.job, r.engine = job, e
	if !e.model.Submit(job) {
		r.inFlight.Done()
		return false
	}
	s.schedule(e)
	if r.tries == 0 {
		s.queue.at(r.arrival.at+r.class.Wait, func() { s.cancelLate(r) })
	}
	return true
}

func (s *simulation) complete(r *request, now float64) {
	r.inFlight.RecordCompletion(r.arrival.outputTokens)
	r.inFlight.Done()
	r.ended = true
	s.result.answer(r.arrival, now)
}

// retry dispatches a request whose engine failed to another one.
func (s *simulation) retry(r *request, now float64) {
	r.inFlight.Done()
	r.entry.tracker.MarkUnreachable(r.engine.name)
	r.routing.Exclude = append(r.routing.Exclude, r.engine.name)
	r.routing.ExpectedWait = speed.Seconds(r.arrival.at + r.class.Wait - now)
	s.queue.at(now, func() {
		if !r.ended {
			s.dispatch(r)
		}
	})
}

// cancelLate cancels a request whose expected wait is over.
func (s *simulation) cancelLate(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	s.advance(r.engine)
	r.engine.model.Cancel(r.job)
	s.schedule(r.engine)
	r.inFlight.Done()
	s.result.late(r.arrival)
}

func (s *simulation) refuse(r *request, err error) {
	r.ended = true
	var overloaded *routing.OverloadedError
	if errors.As(err, &overloaded) {
		s.result.RetryAfter += overloaded.RetryAfter.Seconds()
	}
	s.result.refuse(r.arrival, s.clock.now)
}
