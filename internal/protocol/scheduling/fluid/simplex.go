// Package fluid computes how much of a demand a set of engines can serve, by a
// fluid approximation that treats request rates as continuous flows: the rate
// of each class to serve and the resulting worth per second.
package fluid

// epsilon is the tolerance below which a number counts as zero.
const epsilon = 1e-9

// maxPivots bounds the work of one solution; with Bland's rule the method
// terminates well before.
const maxPivots = 10000

// maximise returns the x that maximises c·x subject to a·x <= b and x >= 0,
// where b >= 0. It uses the tableau simplex method with Bland's rule.
func maximise(c []float64, a [][]float64, b []float64) []float64 {
	t := newTableau(c, a, b)
	for range maxPivots {
		column := t.enteringColumn()
		if column < 0 {
			break
		}
		row := t.leavingRow(column)
		if row < 0 {
			break
		}
		t.pivot(row, column)
	}
	return t.solution(len(c))
}

// tableau is a simplex tableau: one row per constraint and the objective as the
// last row. basis holds the basic variable of each constraint.
type tableau struct {
	rows  [][]float64
	basis []int
	width int
}

func newTableau(c []float64, a [][]float64, b []float64) *tableau {
	t := &tableau{width: len(c) + len(a) + 1}
	for i, coefficients := range a {
		row := make([]float64, t.width)
		copy(row, coefficients)
		row[len(c)+i] = 1
		row[t.width-1] = b[i]
		t.rows = append(t.rows, row)
		t.basis = append(t.basis, len(c)+i)
	}
	objective := make([]float64, t.width)
	for j, value := range c {
		objective[j] = -value
	}
	t.rows = append(t.rows, objective)
	return t
}

// enteringColumn returns the column of the variable that enters the basis, or -1
// at the optimum.
func (t *tableau) enteringColumn() int {
	objective := t.rows[len(t.rows)-1]
	for j := range t.width - 1 {
		if objective[j] < -epsilon {
			return j
		}
	}
	return -1
}

// leavingRow returns the row of the variable that leaves the basis, or -1 if the
// problem is unbounded.
func (t *tableau) leavingRow(column int) int {
	best, least := -1, 0.0
	for i, row := range t.rows[:len(t.rows)-1] {
		if row[column] <= epsilon {
			continue
		}
		ratio := row[t.width-1] / row[column]
		if best < 0 || ratio < least-epsilon || ratio < least+epsilon && t.basis[i] < t.basis[best] {
			best, least = i, ratio
		}
	}
	return best
}

func (t *tableau) pivot(row, column int) {
	t.basis[row] = column
	scale := t.rows[row][column]
	for j := range t.width {
		t.rows[row][j] /= scale
	}
	for i := range t.rows {
		factor := t.rows[i][column]
		if i == row || factor == 0 {
			continue
		}
		for j := range t.width {
			t.rows[i][j] -= factor * t.rows[row][j]
		}
	}
}

func (t *tableau) solution(n int) []float64 {
	x := make([]float64, n)
	for i, j := range t.basis {
		if j < n {
			x[j] = t.rows[i][t.width-1]
		}
	}
	return x
}
