package peergrpc

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func fromEvidence(evidence []quarantine.Evidence) []*peerpb.PartEvidence {
	out := make([]*peerpb.PartEvidence, 0, len(evidence))
	for _, e := range evidence {
		out = append(out, &peerpb.PartEvidence{
			Kind:    uint32(e.Kind),
			Service: e.Service,
			Engine:  e.Engine,
			Request: e.Request,
			Begun:   e.Begun,
			Parts:   e.Parts,
			AgeMs:   toMillis(e.Age),
			LeftMs:  toMillis(e.Left),
			Content: e.Fingerprint.Content,
			Caller:  e.Fingerprint.Caller,
		})
	}
	return out
}

func toEvidence(evidence []*peerpb.PartEvidence) []quarantine.Evidence {
	out := make([]quarantine.Evidence, 0, len(evidence))
	for _, e := range evidence {
		out = append(out, quarantine.Evidence{
			Kind:    quarantine.Kind(e.GetKind()),
			Service: e.GetService(),
			Engine:  e.GetEngine(),
			Request: e.GetRequest(),
			Begun:   e.GetBegun(),
			Parts:   e.GetParts(),
			Age:     fromMillis(e.GetAgeMs()),
			Left:    fromMillis(e.GetLeftMs()),

			Fingerprint: quarantine.Fingerprint{Content: e.GetContent(), Caller: e.GetCaller()},
		})
	}
	return out
}

func fromQuarantined(parts []quarantine.Quarantined) []*peerpb.QuarantinedPart {
	out := make([]*peerpb.QuarantinedPart, 0, len(parts))
	for _, q := range parts {
		out = append(out, &peerpb.QuarantinedPart{Part: q.Part, LeftMs: toMillis(q.Left)})
	}
	return out
}

// toPartLists returns the lists of an update, or nil if it has none.
func toPartLists(m *peerpb.FleetUpdate) *quarantine.PartLists {
	if !m.GetHasPartLists() {
		return nil
	}
	out := &quarantine.PartLists{Suspected: m.GetSuspectedParts()}
	for _, q := range m.GetQuarantinedParts() {
		out.Quarantined = append(out.Quarantined, quarantine.Quarantined{Part: q.GetPart(), Left: fromMillis(q.GetLeftMs())})
	}
	return out
}

func toMillis(d time.Duration) uint64 {
	return uint64(max(0, d.Milliseconds()))
}

// maxMillis bounds durations from other processes, so that they can't overflow.
const maxMillis = uint64(time.Duration(1<<62) / time.Millisecond)

func fromMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, maxMillis)) * time.Millisecond
}
