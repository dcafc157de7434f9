package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedMicroseconds is the upper limit of recorded durations.
	maxRecordedMicroseconds = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 3
)

// Report summarizes a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Offered is the worth of all requests and Good that of the requests
	// answered in time; Goodput is Good / Offered.
	Offered float64 `json:"offered_worth"`
	Good    float64 `json:"good_worth"`
	Goodput float64 `json:"goodput"`
	// Doubled counts the calls that ran more than once and FalseNotRun those
	// that ran although the final refusal stated that they had not.
	Doubled     int           `json:"doubled"`
	FalseNotRun int           `json:"false_not_run"`
	Classes     []ClassReport `json:"classes"`
	// Lateness is how late the load generator started requests, in
	// milliseconds. High values mean that the generator was overloaded and
	// that the other figures are not reliable.
	Lateness Percentiles `json:"lateness_ms"`
	// RoleChanges counts the role changes and OrderViolations lists the
	// conflicting orders since the engines' start. Both are nil if the order
	// records were not read.
	RoleChanges     *int     `json:"role_changes,omitempty"`
	OrderViolations []string `json:"order_violations,omitempty"`
	// UnreadEngines counts the engines whose order records could not be read.
	UnreadEngines int `json:"unread_engines,omitempty"`
}

// ClassReport summarizes the requests of one class or service path.
type ClassReport struct {
	Class    string `json:"class"`
	Requests int    `json:"requests"`
	// InTime counts the complete answers within the expected wait.
	InTime   int             `json:"in_time"`
	Outcomes map[Outcome]int `json:"kinds"`
	Resumes  int             `json:"resumes"`
	// Refusals counts the final refusals by title, status and execution state.
	Refusals map[string]int `json:"refusals,omitempty"`
	Offered  float64        `json:"offered_worth"`
	Good     float64        `json:"good_worth"`
	// Latencies in milliseconds. Total is the time to the complete answer.
	FirstToken    Percentiles `json:"first_token_ms"`
	BetweenTokens Percentiles `json:"between_tokens_ms"`
	Total         Percentiles `json:"whole_ms"`
	Refusal       Percentiles `json:"refusal_ms"`

	firstToken, betweenTokens, total, refusal *hdrhistogram.Histogram
}

// Percentiles summarizes a set of durations, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// NewReport summarizes results. runs is the number of executions by idempotency
// key, from the records of the fake services.
func NewReport(seed uint64, results []Result, runs map[string]int) *Report {
	report := &Report{Seed: seed}
	classes := make(map[string]*ClassReport)
	lateness := newHistogram()
	for i := range results {
		r := &results[i]
		name := r.Arrival.class()
		if classes[name] == nil {
			classes[name] = newClassReport(name)
		}
		classes[name].add(r)
		record(lateness, r.Lateness)
	}
	report.Lateness = percentiles(lateness)
	for _, c := range classes {
		c.computePercentiles()
		report.Offered += c.Offered
		report.Good += c.Good
		report.Classes = append(report.Classes, *c)
	}
	slices.SortFunc(report.Classes, func(a, b ClassReport) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	if report.Offered > 0 {
		report.Goodput = report.Good / report.Offered
	}
	report.Doubled, report.FalseNotRun = countCallViolations(results, runs)
	return report
}

func newClassReport(name string) *ClassReport {
	return &ClassReport{
		Class:         name,
		Outcomes:      make(map[Outcome]int),
		Refusals:      make(map[string]int),
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		total:         newHistogram(),
		refusal:       newHistogram(),
	}
}

func (c *ClassReport) add(r *Result) {
	worth, _ := r.Arrival.worth()
	c.Requests++
	c.Offered += worth
	c.Outcomes[r.Outcome]++
	c.Resumes += r.Resumes
	if r.inTime() {
		c.InTime++
		c.Good += worth
	}
	switch r.Outcome {
	case Complete:
		record(c.firstToken, r.FirstToken)
		record(c.total, r.Latency)
		for _, gap := range r.Gaps {
			record(c.betweenTokens, gap)
		}
	case Refused:
		c.Refusals[fmt.Sprintf("%s (status %d, executed %s)", r.Problem, r.Status, r.Executed)]++
		record(c.refusal, r.RefusalLatency)
	}
}

func (c *ClassReport) computePercentiles() {
	c.FirstToken = percentiles(c.firstToken)
	c.BetweenTokens = percentiles(c.betweenTokens)
	c.Total = percentiles(c.total)
	c.Refusal = percentiles(c.refusal)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedMicroseconds, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Durations outside the range of the histogram are clamped to it.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// AddOrders adds the summary of the engines' order records.
func (r *Report) AddOrders(o Orders) {
	r.RoleChanges = &o.RoleChanges
	r.OrderViolations = o.Violations
	r.UnreadEngines = o.Unread
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-24s %8s %8s %8s %8s %6s %6s  %-18s %-18s %-18s\n", "class", "requests", "in time", "whole",
		"refused", "cut", "wrong", "first token ms", "between ms", "whole ms")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(w, "%-24s %8d %8d %8d %8d %6d %6d  %-18s %-18s %-18s\n", c.Class, c.Requests, c.InTime, c.Outcomes[Complete],
			c.Outcomes[Refused], c.Outcomes[Truncated], c.Outcomes[Invalid], c.FirstToken, c.BetweenTokens, c.Total)
	}
	_, _ = fmt.Fprintf(w, "goodput %.1f%% of the offered worth; calls run twice: %d; false \"not run\": %d", 100*r.Goodput, r.Doubled, r.FalseNotRun)
	if r.RoleChanges != nil {
		_, _ = fmt.Fprintf(w, "; role changes: %d; conflicting orders: %d (%d engines' records lost)", *r.RoleChanges, len(r.OrderViolations), r.UnreadEngines)
	}
	_, _ = fmt.Fprintf(w, "; requests started late by %s ms\n", r.Lateness)
}

// String returns the median and the 95th percentile.
func (p Percentiles) String() string {
	return fmt.Sprintf("%.0f / %.0f", p.P50, p.P95)
}
