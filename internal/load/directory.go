package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/transport/callerhttp"
)

// fetchTimeout is the timeout of one address lookup. An entry that is frozen
// accepts connections but does not answer.
const fetchTimeout = time.Second

// errNoAddress reports that no address is known and no bootstrap URL answered.
var errNoAddress = errors.New("load: no entry answered the address lookup")

// directory caches the addresses that the system assigned to one customer, for
// the TTL of the answer.
type directory struct {
	http      *http.Client
	bootstrap []string
	customer  string

	mu      sync.Mutex // guards the fields below
	known   []string
	expires time.Time
}

func newDirectory(client *http.Client, bootstrap []string, customer string) *directory {
	return &directory{http: client, bootstrap: bootstrap, customer: customer}
}

// addresses returns base URLs in the order in which to try them. If the lookup
// fails, it returns the expired ones.
func (d *directory) addresses(ctx context.Context) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires) {
		return d.known, nil
	}
	for _, base := range slices.Concat(d.known, d.bootstrap) {
		answer, err := d.fetch(ctx, base)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		d.known = baseURLs(answer.Addresses, base)
		d.expires = time.Now().Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
		return d.known, nil
	}
	if len(d.known) > 0 {
		return d.known, nil
	}
	return nil, errNoAddress
}

func (d *directory) fetch(ctx context.Context, base string) (callerhttp.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var answer callerhttp.AddressAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/addresses", nil)
	if err != nil {
		return answer, fmt.Errorf("create address request to %s: %w", base, err)
	}
	request.Header.Set(callerhttp.HeaderCustomer, d.customer)
	response, err := d.http.Do(request)
	if err != nil {
		return answer, fmt.Errorf("look up addresses at %s: %w", base, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("look up addresses at %s: got status %d, want 200", base, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("decode addresses from %s: %w", base, err)
	}
	return answer, nil
}

// baseURLs adds the scheme of the queried URL to addresses without one.
func baseURLs(addresses []string, asked string) []string {
	scheme, _, _ := strings.Cut(asked, "://")
	out := make([]string, len(addresses))
	for i, address := range addresses {
		out[i] = address
		if !strings.Contains(address, "://") {
			out[i] = scheme + "://" + address
		}
	}
	return out
}
