package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
)

// forgetRate is the arrival rate, in requests per second, below which a
// customer is forgotten.
const forgetRate = 1e-3

// class is the demand of one class of work.
type class struct {
	// prompt, output and cached are mean tokens per request.
	prompt, output, cached float64
	// observed and picked count requests.
	observed, picked float64
	worth            float64
	// seen counts requests since the last plan; rate is per second.
	seen, rate float64
	customers  map[string]*customer
	// fraction is the part of a new customer's requests that is admitted.
	fraction float64
}

// customer is the demand of one customer for one class.
type customer struct {
	// seen counts requests since the last plan; rate is per second.
	seen float64
	rate float64
	// share is the customer's weight when capacity is short.
	share float64
	// fraction is the part of its requests that is admitted and credit what
	// is left of it from earlier requests.
	fraction float64
	credit   float64
}

func (k *class) observe(r *routing.Request) {
	k.observed++
	weight := max(sizeWeight, 1/k.observed)
	k.prompt += weight * (float64(r.PromptTokens) - k.prompt)
	k.output += weight * (float64(r.OutputTokens)*cmp.Or(r.OutputRatio, 1) - k.output)
	k.worth = r.Worth
	k.seen++
}

// defaultShare is the weight of a customer without settings.
const defaultShare = 1

func (k *class) customer(name string, share float64) *customer {
	c := k.customers[name]
	if c == nil {
		c = &customer{fraction: k.fraction}
		k.customers[name] = c
	}
	c.share = cmp.Or(share, defaultShare)
	return c
}

func (k *class) age(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	perSecond := (1 - keep) / max(elapsed, planInterval).Seconds()
	k.rate = k.rate*keep + k.seen*perSecond
	k.seen = 0
	for name, c := range k.customers {
		c.rate = c.rate*keep + c.seen*perSecond
		c.seen = 0
		if c.rate < forgetRate {
			delete(k.customers, name)
		}
	}
}

func (k *class) fluid() fluid.Class {
	return fluid.Class{
		Rate:         k.rate,
		PromptTokens: max(k.prompt-k.cached, 0),
		OutputTokens: k.output,
		Worth:        k.worth,
	}
}

// grant divides a rate among the customers by weighted max-min fairness: each
// gets its weighted part, and what it does not need goes to the others.
func (k *class) grant(rate float64) {
	k.fraction = fractionOf(rate, k.rate)
	if k.fraction >= 1 {
		return
	}
	order := slices.Sorted(maps.Keys(k.customers))
	slices.SortStableFunc(order, func(a, b string) int {
		x, y := k.customers[a], k.customers[b]
		return cmp.Compare(x.rate/x.share, y.rate/y.share)
	})
	shares := 0.0
	for _, name := range order {
		shares += k.customers[name].share
	}
	left := rate
	for _, name := range order {
		c := k.customers[name]
		granted := min(c.rate, left*c.share/shares)
		c.fraction = fractionOf(granted, c.rate)
		left -= granted
		shares -= c.share
	}
}

// fullFraction is the part from which on every request is admitted, so that
// rounding refuses none.
const fullFraction = 0.999

func fractionOf(granted, wanted float64) float64 {
	if wanted <= 0 || granted >= wanted*fullFraction {
		return 1
	}
	return granted / wanted
}

// take reports whether the customer's next request is admitted.
func (k *class) take(c *customer) bool {
	if k.fraction >= 1 || c.fraction >= 1 {
		return true
	}
	c.credit += c.fraction
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}
