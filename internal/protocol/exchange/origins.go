package exchange

import (
	"context"
	"sync"
)

// maxLocalOrigins is the number of streams that localOrigins remembers at most.
const maxLocalOrigins = 100_000

// localOrigins remembers the streams that this process began. It is safe for
// concurrent use.
type localOrigins struct {
	mu sync.Mutex // guards the fields below
	// current and previous are two generations; once current is full, it becomes
	// previous and the old previous is dropped.
	current, previous map[streamKey]string
}

type streamKey struct{ service, request string }

func newLocalOrigins() *localOrigins {
	return &localOrigins{current: make(map[streamKey]string)}
}

// Began implements Origins.
func (o *localOrigins) Began(service, request, version string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.current) >= maxLocalOrigins/2 {
		o.previous, o.current = o.current, make(map[streamKey]string)
	}
	o.current[streamKey{service, request}] = version
}

// Find implements Origins.
func (o *localOrigins) Find(_ context.Context, service, request string) (version string, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := streamKey{service, request}
	if version, found = o.current[key]; !found {
		version, found = o.previous[key]
	}
	return version, found
}
