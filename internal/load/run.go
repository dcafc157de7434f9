package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// progressInterval is the interval between updates of the progress line.
	progressInterval = time.Second
	// maxIdleConnsPerHost is the maximum number of idle connections to one entry.
	maxIdleConnsPerHost = 256
)

// Runner runs a mix against a deployment.
type Runner struct {
	mix      *Mix
	http     *http.Client
	progress io.Writer

	directories map[string]*directory

	started  atomic.Int64
	finished atomic.Int64
	complete atomic.Int64
	refused  atomic.Int64
}

// NewRunner returns a runner that writes its progress line to progress.
func NewRunner(m *Mix, client *http.Client, progress io.Writer) *Runner {
	return &Runner{mix: m, http: client, progress: progress, directories: make(map[string]*directory)}
}

// NewHTTPClient returns a client for many concurrent requests. It modifies and
// uses transport.
func NewHTTPClient(transport *http.Transport) *http.Client {
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	return &http.Client{Transport: transport}
}

// Run sends all arrivals at their scheduled times and returns the results in
// order of arrival. When ctx is done, it starts no further requests and cancels
// those in progress.
func (r *Runner) Run(ctx context.Context) []Result {
	arrivals := Arrivals(r.mix)
	results := make([]Result, len(arrivals))
	for i := range arrivals {
		r.directory(arrivals[i].Customer)
	}
	stop := r.reportProgress(len(arrivals))
	defer stop()
	start := time.Now()
	var wait sync.WaitGroup
	count := 0
	for i := range arrivals {
		a := &arrivals[i]
		if !clock.Sleep(ctx, time.Until(start.Add(a.At))) {
			break
		}
		count++
		r.started.Add(1)
		wait.Go(func() {
			results[i] = r.call(ctx, a, start.Add(a.At))
		})
	}
	wait.Wait()
	return results[:count]
}

func (r *Runner) call(ctx context.Context, a *Arrival, due time.Time) Result {
	c := &caller{
		http:      r.http,
		directory: r.directories[a.Customer],
		maxTries:  r.mix.MaxTries,
		verify:    r.mix.VerifyTokens,
	}
	result := c.run(ctx, a, due)
	r.finished.Add(1)
	switch result.Outcome {
	case Complete:
		r.complete.Add(1)
	case Refused:
		r.refused.Add(1)
	}
	return result
}

func (r *Runner) directory(customer string) {
	if r.directories[customer] == nil {
		r.directories[customer] = newDirectory(r.http, r.mix.Bootstrap, customer)
	}
}

// reportProgress updates the progress line each second until stop is called.
func (r *Runner) reportProgress(total int) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				_, _ = fmt.Fprintln(r.progress)
				return
			case <-ticker.C:
				_, _ = fmt.Fprintf(r.progress, "\r%d of %d started, %d finished, %d whole, %d refused",
					r.started.Load(), total, r.finished.Load(), r.complete.Load(), r.refused.Load())
			}
		}
	})
	return func() {
		close(done)
		wait.Wait()
	}
}
