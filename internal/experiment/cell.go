package experiment

import (
	"fmt"
	"math"
)

// Cell is one scenario in which policies are compared. Times are in seconds from
// the start of the run.
type Cell struct {
	Name string
	// Duration is the time during which requests arrive.
	Duration float64
	// Load is the offered load over time, as a fraction of the fleet's engine
	// time. Shift is the mix over time, from 0, the output-heavy mix, to 1, the
	// prompt-heavy one.
	Load  func(t float64) float64
	Shift func(t float64) float64
	// ReportDelay is the delay of load reports to the entries.
	ReportDelay float64
	// OldSystemShare is the fraction of engine time that the old system uses.
	OldSystemShare float64
	// Crashes lists the engine crashes of the run.
	Crashes []Crash
	// WavePeriod is the period of waves in which long drafting, the first class,
	// alternates with the short answers of the others; 0 means no waves.
	WavePeriod float64
}

// Crash is a crash of one engine.
type Crash struct {
	At     float64
	Engine int
	// RestartAt is the time at which the engine restarts; 0 means never.
	RestartAt float64
}

const (
	// warmUp is the start of the measurement; earlier requests do not count.
	warmUp = 40
	// normalLoad is the load during a normal hour.
	normalLoad = 0.75
	// nightLoad is the load during a quiet night.
	nightLoad = 0.04
	// shiftDuration is the time in which the mix shifts from one extreme to the
	// other.
	shiftDuration = 120
)

func constant(value float64) func(float64) float64 {
	return func(float64) float64 { return value }
}

// swing shifts the mix to prompt-heavy within shiftDuration, holds it there and
// shifts it back, repeatedly.
func swing(t float64) float64 {
	const hold = 60
	period := 2 * (shiftDuration + hold)
	at := math.Mod(t-warmUp+float64(period), float64(period))
	switch {
	case at < shiftDuration:
		return at / shiftDuration
	case at < shiftDuration+hold:
		return 1
	case at < 2*shiftDuration+hold:
		return 1 - (at-shiftDuration-hold)/shiftDuration
	}
	return 0
}

// surge is the normal load with a rise to the given load for two minutes.
func surge(height float64) func(float64) float64 {
	const start, end = warmUp + 60, warmUp + 180
	return func(t float64) float64 {
		if t >= start && t < end {
			return height
		}
		return normalLoad
	}
}

// Cells returns the cells for the example deployments.
func Cells() []Cell {
	const length = 400
	steady := Cell{Name: "steady", Duration: length, Load: constant(normalLoad), Shift: constant(0.3), ReportDelay: 0.2}
	with := func(name string, change func(c *Cell)) Cell {
		c := steady
		c.Name = name
		change(&c)
		return c
	}
	return []Cell{
		steady,
		with("swing", func(c *Cell) { c.Shift = swing }),
		with("waves", func(c *Cell) { c.WavePeriod = 40 }),
		with("surge-1.5", func(c *Cell) { c.Load = surge(1.5) }),
		with("surge-3", func(c *Cell) { c.Load = surge(3) }),
		with("constant-3", func(c *Cell) { c.Load = constant(3) }),
		with("lost-in-swing", func(c *Cell) {
			c.Shift = swing
			c.Crashes = []Crash{{At: 90, Engine: 1, RestartAt: 150}, {At: 110, Engine: 4}}
		}),
		with("late-1", func(c *Cell) { c.Shift = swing; c.ReportDelay = 1 }),
		with("late-5", func(c *Cell) { c.Shift = swing; c.ReportDelay = 5 }),
		with("late-20", func(c *Cell) { c.Shift = swing; c.ReportDelay = 20 }),
		with("old-system-50", func(c *Cell) { c.OldSystemShare = 0.5; c.Load = constant(normalLoad / 2) }),
		with("quiet-night", func(c *Cell) { c.Load = constant(nightLoad); c.Shift = swing; c.Duration = 900 }),
	}
}

// TargetCells returns the cells for TargetModel: normal load with different
// delays of load reports.
func TargetCells() []Cell {
	const length = warmUp + 60
	var out []Cell
	for _, delay := range []float64{0.2, 1.5, 6, 20} {
		out = append(out, Cell{
			Name: fmt.Sprintf("target-%g", delay), Duration: length,
			Load: constant(normalLoad), Shift: constant(0.3), ReportDelay: delay,
		})
	}
	return out
}

// rates returns the arrival rate of each class at time t, in requests per
// second.
func (c *Cell) rates(d *Deployment, t float64) []float64 {
	shift := c.Shift(t)
	out := make([]float64, len(d.Classes))
	for i := range d.Classes {
		part := d.OutputHeavy[i] + shift*(d.PromptHeavy[i]-d.OutputHeavy[i])
		out[i] = c.Load(t) * part * float64(d.Engines) / d.Classes[i].minCost() * c.waveFactor(i, t)
	}
	return out
}

// waveFactor returns the factor for the rate of a class at time t. The first
// class, long drafting, and the others are in opposite phase.
func (c *Cell) waveFactor(class int, t float64) float64 {
	const height = 0.7
	if c.WavePeriod == 0 {
		return 1
	}
	s := height * math.Sin(2*math.Pi*t/c.WavePeriod)
	if class == 0 {
		return 1 + s
	}
	return 1 - s
}
