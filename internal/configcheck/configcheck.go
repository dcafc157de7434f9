// Package configcheck finds what an operator may not have meant in a configuration: items
// that never take effect, limits that contradict each other, and what differs from another
// configuration. It doesn't decide what is accepted; the code that accepts configurations
// does. Findings never hold an API key or the hash of an operator's token.
package configcheck

import (
	"cmp"
	"slices"
	"strings"
)

// Severity is how serious a finding is.
type Severity string

const (
	// Error means that the configuration would be rejected.
	Error Severity = "error"
	// Warning means that the configuration would be accepted, but a part of it has no
	// effect or contradicts another.
	Warning Severity = "warning"
	// Difference is what a configuration changes of the one it is compared with.
	Difference Severity = "difference"
)

// Finding is one finding at a place in a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Pointer is the JSON pointer of the value, or of the object that lacks it.
	Pointer string `json:"pointer"`
	// Line and Column, in bytes, are counted from 1. They are zero if the place is not in
	// the file, as with a removed item.
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Message string `json:"message"`
}

// Exit codes by the findings of a check.
const (
	ExitFine     = 0
	ExitFindings = 1
	ExitUnusable = 2
)

// ExitCode returns the exit code for findings. Differences alone are fine.
func ExitCode(findings []Finding) int {
	code := ExitFine
	for _, f := range findings {
		switch f.Severity {
		case Error:
			return ExitUnusable
		case Warning:
			code = ExitFindings
		case Difference:
		}
	}
	return code
}

// Sort orders findings by severity, then by their place in the file.
func Sort(findings []Finding) {
	order := []Severity{Error, Warning, Difference}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(order, a.Severity), slices.Index(order, b.Severity)),
			cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			strings.Compare(a.Pointer, b.Pointer), strings.Compare(a.Message, b.Message))
	})
}
