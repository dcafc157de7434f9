package cost

import (
	"math"
	"time"
)

const (
	// maxFeatures is the largest number of features of a fit.
	maxFeatures = 4
	// fitHalfLife is the time in which an observation of a speed loses half of its weight.
	// An entry sees a few requests a second, and engines keep their speed longer than the
	// mix of requests stays the same.
	fitHalfLife = 10 * time.Second
	// maxCoefficient bounds a coefficient as a multiple of its prior, and its inverse from
	// below.
	maxCoefficient = 10
	// maxResidual is the ratio to the prediction beyond which an observation is clipped:
	// a server that stalls is no evidence of the speed of the others.
	maxResidual = 3
)

// features are the values that a time in milliseconds depends on.
type features [maxFeatures]float64

// term is the prior of one coefficient.
type term struct {
	// perUnit is its value, in milliseconds.
	perUnit float64
	// typical is a value of the feature as most observations have it.
	typical float64
}

// fit is a linear least-squares fit with exponential forgetting and a prior. Relative errors
// count. It is not safe for concurrent use.
type fit struct {
	terms []term
	// weight is that of the prior, in observations, and floor a time in milliseconds below
	// which errors count as absolute.
	weight, floor float64

	xx     [maxFeatures]features
	xy     features
	at     time.Time
	coeffs features
}

func newFit(weight, floor float64, terms ...term) *fit {
	f := &fit{terms: terms, weight: weight, floor: floor}
	for i, t := range terms {
		f.coeffs[i] = t.perUnit
	}
	return f
}

// predict returns the time for the given features.
func (c *features) predict(x features) float64 {
	sum := 0.0
	for i, v := range x {
		sum += c[i] * v
	}
	return sum
}

// observe adds a measured time.
func (f *fit) observe(now time.Time, x features, took float64) {
	if elapsed := now.Sub(f.at); elapsed > 0 {
		f.decay(math.Exp2(-elapsed.Seconds() / fitHalfLife.Seconds()))
		f.at = now
	}
	predicted := f.coeffs.predict(x)
	took = min(max(took, predicted/maxResidual), predicted*maxResidual)
	scale := predicted + f.floor
	w := 1 / (scale * scale)
	for i := range f.terms {
		for j := range f.terms {
			f.xx[i][j] += w * x[i] * x[j]
		}
		f.xy[i] += w * x[i] * took
	}
	f.solve()
}

func (f *fit) decay(keep float64) {
	for i := range f.terms {
		for j := range f.terms {
			f.xx[i][j] *= keep
		}
		f.xy[i] *= keep
	}
}

// solve sets the coefficients that fit the observations and the prior.
func (f *fit) solve() {
	a, y := f.xx, f.xy
	typical := f.floor
	for _, t := range f.terms {
		typical += t.perUnit * t.typical
	}
	n := len(f.terms)
	for i, t := range f.terms {
		ridge := f.weight * t.typical * t.typical / (typical * typical)
		a[i][i] += ridge
		y[i] += ridge * t.perUnit
	}
	// Gaussian elimination; the prior keeps the matrix positive definite.
	for i := range n {
		for j := i + 1; j < n; j++ {
			factor := a[j][i] / a[i][i]
			for k := i; k < n; k++ {
				a[j][k] -= factor * a[i][k]
			}
			y[j] -= factor * y[i]
		}
	}
	for i := n - 1; i >= 0; i-- {
		value := y[i]
		for k := i + 1; k < n; k++ {
			value -= a[i][k] * f.coeffs[k]
		}
		prior := f.terms[i].perUnit
		f.coeffs[i] = min(max(value/a[i][i], prior/maxCoefficient), prior*maxCoefficient)
	}
}
