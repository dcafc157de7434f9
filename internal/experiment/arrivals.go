package experiment

import (
	"math"
	"math/rand/v2"
	"sort"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
)

// arrival is one generated request. Its time is in seconds from the start of
// the run.
type arrival struct {
	at           float64
	class        int
	entry        int
	customer     int
	promptTokens int
	// sharedTokens is the length of the prompt prefix that is shared with other
	// requests.
	sharedTokens int
	outputTokens int
	prefixHashes []uint64
}

// arrivalStep is the time step of the arrival generator, in seconds.
const arrivalStep = 0.1

// generateArrivals returns all requests of a run, ordered by time.
func generateArrivals(d *Deployment, c *Cell, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	customers := newZipf(d.Customers)
	var out []arrival
	for t := 0.0; t < c.Duration; t += arrivalStep {
		for class, rate := range c.rates(d, t) {
			for range poisson(random, rate*arrivalStep) {
				out = append(out, drawArrival(d, random, customers, class, t+random.Float64()*arrivalStep))
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

func drawArrival(d *Deployment, random *rand.Rand, customers *zipf, class int, at float64) arrival {
	k := &d.Classes[class]
	a := arrival{at: at, class: class, entry: random.IntN(d.Entries), customer: customers.draw(random)}
	own := float64(k.UniqueTokens) * (1 + maxPromptDeviation*(2*random.Float64()-1))
	a.sharedTokens = (k.PrefixBlocks + k.CustomerBlocks) * routing.PrefixBlockTokens
	a.promptTokens = a.sharedTokens + int(own)
	a.outputTokens = max(int(float64(k.MaxOutput)*(minOutputFraction+(1-minOutputFraction)*random.Float64())), 1)
	a.prefixHashes = prefixHashes(k, class, a.customer)
	return a
}

// prefixHashes returns the hashes of the shared blocks of a prompt.
func prefixHashes(k *Class, class, customer int) []uint64 {
	out := make([]uint64, 0, k.PrefixBlocks+k.CustomerBlocks)
	for i := range k.PrefixBlocks {
		out = append(out, hash64(uint64(class)<<32|uint64(i)))
	}
	for i := range k.CustomerBlocks {
		out = append(out, hash64(uint64(class)<<32|uint64(customer+1)<<8|uint64(i)))
	}
	return out
}

// hash64 is a 64-bit mixing function.
func hash64(x uint64) uint64 {
	x = (x + 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// poisson samples a Poisson distribution by Knuth's method, which suits small
// means.
func poisson(random *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := random.Float64(); p > limit; p *= random.Float64() {
		n++
	}
	return n
}

// zipfExponent is the skew of the number of requests per customer.
const zipfExponent = 0.8

// zipf samples a Zipf distribution.
type zipf struct {
	cumulative []float64
}

func newZipf(n int) *zipf {
	z := &zipf{cumulative: make([]float64, n)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -zipfExponent)
		z.cumulative[i] = sum
	}
	return z
}

func (z *zipf) draw(random *rand.Rand) int {
	x := random.Float64() * z.cumulative[len(z.cumulative)-1]
	return sort.SearchFloat64s(z.cumulative, x)
}
