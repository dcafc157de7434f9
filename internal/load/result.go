package load

import "time"

// Kind is how a request ended for its caller.
type Outcome string

const (
	// Whole means answered once and whole.
	Complete Outcome = "whole"
	// Refused means that the last try was refused.
	Refused Outcome = "refused"
	// Cut means that a stream ended early and could not be resumed.
	Truncated Outcome = "cut"
	// Wrong means that an answer passed as whole was not: tokens missing,
	// doubled or not its own, or a wrong digest.
	Invalid Outcome = "wrong"
	// Failed means that no entry could be reached.
	Failed Outcome = "failed"
)

// Result is the outcome of one arrival.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Executed is what the last refusal said.
	Executed string
	// Problem is the title of the last refusal, or the last error.
	Problem string
	// Status is the HTTP status of the last refusal.
	Status int
	Tries  int
	// Resumes counts the tries that resumed a stream.
	Resumes int
	// Lateness is how long after its time the request was started.
	Lateness time.Duration
	// FirstToken and Took are counted from the arrival's time.
	FirstToken time.Duration
	Latency    time.Duration
	// Refusal is how long the last refusal took to come.
	RefusalLatency time.Duration
	// Gaps are the times between two tokens.
	Gaps []time.Duration
	// Answer is the body of a call's answer and Again of its repetition.
	Answer       string
	RepeatAnswer string
}

// worth returns the worth of the request and the wait that counts.
func (a *Arrival) worth() (worth float64, wait time.Duration) {
	if a.Completion != nil {
		return a.Completion.Worth, a.Completion.ExpectedWait.Std()
	}
	return a.Call.Worth, a.Call.ExpectedWait.Std()
}

// class names the group under which the request is reported.
func (a *Arrival) class() string {
	if a.Completion != nil {
		return a.Completion.Team + "/" + a.Completion.Class
	}
	return a.Call.Service + "/" + a.Call.Path
}

// good reports whether the request counts for goodput.
func (r *Result) inTime() bool {
	_, wait := r.Arrival.worth()
	return r.Outcome == Complete && r.Latency <= wait
}
