package capacity_test

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
)

var errLost = errors.New("connection reset")

// loseSome returns a fault in which every third order fails. Half of these orders take
// effect 2 to 12 s later.
func loseSome(c *cloud) func(int, capacity.Order) (bool, error) {
	random := rand.New(rand.NewPCG(1, 2))
	return func(n int, o capacity.Order) (bool, error) {
		if n%3 != 0 {
			return false, nil
		}
		if random.IntN(2) == 0 {
			late := 2*time.Second + time.Duration(random.IntN(10000))*time.Millisecond
			time.AfterFunc(late, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				_ = c.apply(o) // it was answered long ago
			})
		}
		return true, errLost
	}
}
