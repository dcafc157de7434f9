package forward

import "context"

// Answer is what became of asking a peer to take a request.
type Answer uint8

const (
	// Answered means that the peer has taken the request and its response is passed on.
	Answered Answer = iota
	// Unreached means that no connection to the peer could be opened.
	Unreached
	// Declined means that the peer has not run the request and will not run it.
	Declined
	// Failed means that the peer may have taken the request and did not answer.
	Failed
)

var answerNames = []string{"answered", "unreached", "declined", "failed"}

// String returns the name of the answer.
func (a Answer) String() string { return answerNames[a] }

// Run asks peers until one has taken the request, or may have: only then it returns Answered or
// Failed. ctx ends when the request does; ask doesn't outlast it.
func (s *Search) Run(ctx context.Context, ask func(Peer) Answer) Answer {
	last := Declined
	for ctx.Err() == nil {
		p, ok := s.next()
		if !ok {
			break
		}
		last = ask(p)
		if last == Answered || last == Failed {
			return last
		}
		if ctx.Err() == nil { // else the end of the request may be the reason
			s.record(p, last)
		}
	}
	return last
}

// record leaves a peer out for a moment after an answer.
func (s *Search) record(p Peer, a Answer) {
	switch a {
	case Unreached:
		s.picker.options.Pauses.pause(pauseKey{address: p.Address}, unreachedPause)
	case Declined:
		s.picker.options.Pauses.pause(pauseKey{p.Address, s.service}, declinedPause)
	case Answered, Failed:
	}
}

// Receiver is the state of an entry that decides whether it takes a request from another one.
type Receiver struct {
	Stopping bool
	// Routes is set if it has routes in force, of the version Version.
	Routes  bool
	Version uint64
	// Isolated is set if it reaches no server for the request.
	Isolated bool
}

// Declines returns why the entry doesn't take a request of one with routes of the given version,
// or "" if it takes the request.
func (r Receiver) Declines(version uint64) (reason string) {
	switch {
	case r.Stopping:
		return "stopping"
	case !r.Routes:
		return "no routes yet"
	case r.Version < version:
		return "older routes"
	case r.Isolated:
		return "isolated"
	}
	return ""
}
