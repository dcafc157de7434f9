package load

import "time"

// Outcome is how a request ended, as seen by its caller.
type Outcome string

const (
	// Complete means that the complete answer arrived.
	Complete Outcome = "whole"
	// Refused means that the last attempt was refused.
	Refused Outcome = "refused"
	// Truncated means that the answer ended early and could not be resumed.
	Truncated Outcome = "cut"
	// Invalid means that an answer presented as complete was not: tokens were
	// missing, repeated or of another request, or the digest did not match.
	Invalid Outcome = "wrong"
	// Failed means that the last attempt got no response.
	Failed Outcome = "failed"
)

// Result describes how one arrival was served.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Executed is the execution state given by the last refusal.
	Executed string
	// Problem is the title of the last refusal, or the last error.
	Problem string
	// Status is the HTTP status of the last refusal.
	Status int
	Tries  int
	// Resumes counts the attempts that resumed a stream.
	Resumes int
	// Lateness is the delay between the scheduled and the actual start.
	Lateness time.Duration
	// FirstToken and Latency are measured from the scheduled time, to the first
	// token and to the end.
	FirstToken time.Duration
	Latency    time.Duration
	// RefusalLatency is the time from sending the last refused attempt to its
	// response.
	RefusalLatency time.Duration
	// Gaps are the times between consecutive tokens.
	Gaps []time.Duration
	// Answer is the response body of a call and RepeatAnswer that of its repeat.
	Answer       string
	RepeatAnswer string
}

// worth returns the worth and the expected wait of the request.
func (a *Arrival) worth() (worth float64, wait time.Duration) {
	if a.Completion != nil {
		return a.Completion.Worth, a.Completion.ExpectedWait.Std()
	}
	return a.Call.Worth, a.Call.ExpectedWait.Std()
}

// class returns the name of the class under which the request is reported.
func (a *Arrival) class() string {
	if a.Completion != nil {
		return a.Completion.Team + "/" + a.Completion.Class
	}
	return a.Call.Service + "/" + a.Call.Path
}

// inTime reports whether the answer was complete within the expected wait.
func (r *Result) inTime() bool {
	_, wait := r.Arrival.worth()
	return r.Outcome == Complete && r.Latency <= wait
}
