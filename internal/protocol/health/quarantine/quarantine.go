// Package quarantine finds parts of prompts that crash the engines which begin to
// answer them, and single requests that crash the servers which run them, and keeps
// these from further servers. Entries
// report crashes and answers as evidence; control replicas evaluate it with a
// Detector and send the parts that they suspect or quarantine to all entries, each
// of which holds these lists in a Guard.
//
// No agreement is needed: a quarantine is a hint with an end, and an entry follows
// the lists of all replicas.
package quarantine

import (
	"time"
)

const (
	// Duration is how long a part stays in quarantine. Engines may be repaired
	// meanwhile.
	Duration = 10 * time.Minute
	// deepThreshold is the weight of crashes that puts a part in quarantine that was
	// the last shared one of the candidates' prompts. shallowThreshold is the same for
	// other parts: more requests share these, and a deeper part may be the cause.
	deepThreshold    = 2.0
	shallowThreshold = 3.0
	// waitingWeight is the weight of a crash without a request that the engine had
	// begun to answer. Sound requests wait at any engine that crashes, whereas few
	// are caught between headers and first event.
	waitingWeight = 1.0 / 3
	// requestThreshold is the number of crashes that puts a request in quarantine, or a
	// content if it has several callers; suspectedCrashes is the one from which entries
	// are asked whether it was answered.
	requestThreshold = 3
	suspectedCrashes = 2
	// A part is put in quarantine, whatever its crashes weigh, if it is in more than
	// crashThreshold separate ones and in coverageThreshold of the service's since its
	// first.
	crashThreshold    = 4.0
	coverageThreshold = 0.5
	// coveredSurprise is how surprising the crashes and answers must be for a sound
	// part, as the negative natural logarithm of a probability, and weighedSurprise the
	// same if the crashes weigh enough.
	coveredSurprise = 7.0
	weighedSurprise = 2.0
	// Fewer separate crashes suffice for a part that is regularly among the candidates: of
	// at least regularServers servers, in at least regularMoments separate crashes, which
	// became known at different moments, of regularShare of the service's servers since its
	// first crash, with a regularity of regularThreshold, a natural logarithm, and
	// regularMargin more than any other part.
	regularServers   = 7
	regularMoments   = 3
	regularShare     = 0.95
	regularThreshold = 2.0
	regularMargin    = 3.0
	// clearlyMore is by how many separate crashes one part must be ahead of a deeper
	// one to be the more likely cause.
	clearlyMore = 2
	// answerSlot is the time in which several answers of a service count as one, and
	// askDelay the time in which entries learn that a part is suspected.
	answerSlot = 10 * time.Millisecond
	askDelay   = 100 * time.Millisecond
	// crashSpacing is the time within which several crashes count as one: they
	// may have a common cause outside the engines.
	crashSpacing = 100 * time.Millisecond
	// settlePeriod is the time after a crash in which evidence of other entries
	// may still arrive. Only then is it known how many candidates there are.
	settlePeriod = 300 * time.Millisecond
	// answerPeriod is the minimum time between the first suspicion of a part and
	// its quarantine, in which entries report that the part was answered. Reports
	// and updates take one heartbeat each.
	answerPeriod = 600 * time.Millisecond
	// evidenceRetention is how long crashes and answers count.
	evidenceRetention = 2 * time.Minute
	// expiryInterval is the maximum time between two checks for what has expired.
	expiryInterval = time.Second
	// maxCrashes bounds the crashes that a Detector keeps, maxCandidates the requests
	// of each, and maxKeyCrashes the crashes that are counted for one request.
	maxCrashes    = 256
	maxCandidates = 64
	// maxOthers bounds the number of further candidates that is kept.
	maxOthers     = 1024
	maxKeyCrashes = 2 * requestThreshold
	// maxQuarantined bounds the parts, and as many keys of requests, in quarantine;
	// maxSuspected bounds in the same way those that entries are asked about.
	maxQuarantined = 256
	maxSuspected   = 64
	// maxEvidence bounds the evidence that a Guard keeps for its reports.
	maxEvidence = 512
	// contrastPeriod is the time after a crash in which an entry reports that the
	// service answers other requests, also while nothing is suspected. If it answers
	// none, the requests are not the cause.
	contrastPeriod = 10 * time.Second
	// answerReportInterval is the minimum time between two reports of one entry that
	// the same part was answered.
	answerReportInterval = 200 * time.Millisecond
)

// Kind is the kind of a piece of evidence.
type Kind uint8

const (
	// Crash means that a server ended while a request was waiting for its answer or
	// first event there.
	Crash Kind = iota + 1
	// Answered means that an engine of the service answered a request with the
	// parts. Without parts it answered one that has no suspected part.
	Answered
	// InQuarantine means that a replica had put the parts in quarantine.
	InQuarantine
)

// Evidence is what an entry has seen or knows of requests and parts of prompts.
type Evidence struct {
	Kind    Kind
	Service string
	// Engine is the incarnation that ended, and Request the ID of the request
	// that waited there; set for Crash.
	Engine  string
	Request string
	// Begun is set for a Crash if the engine had begun to answer the request.
	Begun bool
	// Fingerprint is that of the request, for a Crash.
	Fingerprint Fingerprint
	// Parts are the shared parts of the request's prompt, in order; for other kinds
	// than Crash also keys of requests.
	Parts []string
	// Others is the number of further candidates of a Crash that a Detector has not
	// remembered.
	Others int
	// Age is the time since the observation.
	Age time.Duration
	// Left is how much longer the quarantine lasts; set for InQuarantine.
	Left time.Duration
}

// Quarantined is a prompt part or the key of requests in quarantine.
type Quarantined struct {
	Part string
	// Left is how much longer the quarantine lasts.
	Left time.Duration
}

// PartLists are the current results of a Detector.
type PartLists struct {
	// Suspected are the parts that entries must report when they are answered.
	Suspected []string
	// Quarantined are the parts that no engine may get.
	Quarantined []Quarantined
}
