package experiment

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes all rows as one Markdown table.
func WriteTable(w io.Writer, rows []Row) error {
	lines := []string{
		"| deployment | cell | policy | goodput % | of bound % | role changes | refused % | late % | by class % |",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
	}
	for i := range rows {
		lines = append(lines, rows[i].line())
	}
	if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func (r *Row) line() string {
	goodput := r.summarize(func(x *Result) float64 { return 100 * x.Goodput() })
	bound := r.summarize(func(x *Result) float64 { return 100 * x.FractionOfBound() })
	changes := r.summarize(func(x *Result) float64 { return float64(x.RoleChanges) })
	refused := r.summarize(func(x *Result) float64 { return percent(x.Refused, x.Offered) })
	late := r.summarize(func(x *Result) float64 { return percent(x.Late, x.Offered) })
	return fmt.Sprintf("| %s | %s | %s | %.1f ± %.1f | %.1f | %.1f ± %.1f | %.1f | %.1f | %s |",
		r.Deployment.Name, r.Cell.Name, r.Policy.Name, goodput.mean, goodput.stddev, bound.mean,
		changes.mean, changes.stddev, refused.mean, late.mean, r.classes())
}

// classes formats the percentage of answered requests of each class.
func (r *Row) classes() string {
	var out []string
	for k := range r.Deployment.Classes {
		answered := r.summarize(func(x *Result) float64 { return percent(x.Answered[k:k+1], x.Offered[k:k+1]) })
		out = append(out, fmt.Sprintf("%.0f", answered.mean))
	}
	return strings.Join(out, "/")
}

// percent returns the sum of counts in percent of the sum of of.
func percent(counts, of []int) float64 {
	a, b := 0, 0
	for i := range counts {
		a += counts[i]
		b += of[i]
	}
	return 100 * float64(a) / float64(max(b, 1))
}
