package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
)

// minTrackedRate is the arrival rate, in requests per second, below which a
// customer is dropped from its class and a class is not considered as the top
// class.
const minTrackedRate = 1e-3

// class is the demand of one class of requests.
type class struct {
	// Means per request, in tokens.
	meanPromptTokens, meanOutputTokens, meanCachedTokens float64
	// observed counts the requests that arrived and picked those that got an
	// engine.
	observed, picked float64
	worth            float64
	// arrived counts the requests since the last update of the rates; rate is
	// in requests per second.
	arrived, rate float64
	customers     map[string]*customer
	// admitFraction is the fraction of a new customer's requests that is
	// admitted.
	admitFraction float64
}

// customer is the demand of one customer for one class.
type customer struct {
	// arrived counts the requests since the last update of the rates; rate is
	// in requests per second.
	arrived float64
	rate    float64
	// share is the customer's weight when capacity is short.
	share float64
	// admitFraction is the fraction of the customer's requests that is
	// admitted. credit is what is left of it from earlier requests: a request
	// is admitted when credit reaches 1.
	admitFraction float64
	credit        float64
}

func (k *class) recordArrival(r *routing.Request) {
	k.observed++
	weight := max(minSizeWeight, 1/k.observed)
	k.meanPromptTokens += weight * (float64(r.PromptTokens) - k.meanPromptTokens)
	k.meanOutputTokens += weight * (float64(r.OutputTokens)*cmp.Or(r.OutputRatio, 1) - k.meanOutputTokens)
	k.worth = r.Worth
	k.arrived++
}

// defaultShare is the share of a customer without settings.
const defaultShare = 1

func (k *class) customer(name string, share float64) *customer {
	c := k.customers[name]
	if c == nil {
		c = &customer{admitFraction: k.admitFraction}
		k.customers[name] = c
	}
	c.share = cmp.Or(share, defaultShare)
	return c
}

func (k *class) updateRates(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / rateAveragingTime.Seconds())
	perSecond := (1 - keep) / max(elapsed, planInterval).Seconds()
	k.rate = k.rate*keep + k.arrived*perSecond
	k.arrived = 0
	for name, c := range k.customers {
		c.rate = c.rate*keep + c.arrived*perSecond
		c.arrived = 0
		if c.rate < minTrackedRate {
			delete(k.customers, name)
		}
	}
}

func (k *class) fluidClass() fluid.Class {
	return fluid.Class{
		Rate:         k.rate,
		PromptTokens: max(k.meanPromptTokens-k.meanCachedTokens, 0),
		OutputTokens: k.meanOutputTokens,
		Worth:        k.worth,
	}
}

// allocate divides a rate among the customers by weighted max-min fairness:
// each gets its weighted part, and what a customer does not need goes to the
// others.
func (k *class) allocate(rate float64) {
	k.admitFraction = fractionOf(rate, k.rate)
	if k.admitFraction >= 1 {
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
	remaining := rate
	for _, name := range order {
		c := k.customers[name]
		granted := min(c.rate, remaining*c.share/shares)
		c.admitFraction = fractionOf(granted, c.rate)
		remaining -= granted
		shares -= c.share
	}
}

// admitAllFraction is the fraction from which on every request is admitted, so
// that rounding errors cause no refusals.
const admitAllFraction = 0.999

func fractionOf(granted, wanted float64) float64 {
	if wanted <= 0 || granted >= wanted*admitAllFraction {
		return 1
	}
	return granted / wanted
}

// admit reports whether the customer's next request is admitted.
func (k *class) admit(c *customer) bool {
	if k.admitFraction >= 1 || c.admitFraction >= 1 {
		return true
	}
	c.credit += c.admitFraction
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}
