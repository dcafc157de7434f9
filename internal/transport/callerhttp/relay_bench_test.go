package callerhttp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	benchTokens = 100
	benchBody   = `{"prompt": "reseat twelve task chairs", "max_tokens": %d}`
)

// plainRelay is a minimal relay based on net/http, which copies and flushes what
// it reads.
func plainRelay(engine string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), http.MethodPost, engine+r.URL.Path, r.Body)
		if err != nil {
			return
		}
		response, err := client.Do(out)
		if err != nil {
			return
		}
		defer response.Body.Close()
		w.Header().Set("Content-Type", "text/event-stream")
		buffer := make([]byte, 32<<10)
		flush := http.NewResponseController(w)
		for {
			n, err := response.Body.Read(buffer)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil || err != nil {
				return
			}
			_ = flush.Flush()
		}
	})
}

// BenchmarkRelay compares the CPU time for each token and the time to the first
// token of a caller that connects to the engine directly, through a plain relay
// and through an entry. The cost of a relay is its difference to the direct
// connection.
func BenchmarkRelay(b *testing.B) {
	r := newTestEntry(b, 1, nil)
	engine := r.config.Models["drafting"].Engines["a"].URL
	kinds := []struct{ name, url string }{{"direct", engine}, {"plain", serveTest(b, plainRelay(engine))}, {"entry", r.url}}
	for _, streams := range []int{1, 8, 64} {
		for _, kind := range kinds {
			b.Run(fmt.Sprintf("%s/streams=%d", kind.name, streams), func(b *testing.B) { benchStreams(b, kind.url, streams, benchTokens) })
		}
	}
}

// BenchmarkFirstToken compares the time to the first token of sequential short
// streams.
func BenchmarkFirstToken(b *testing.B) {
	r := newTestEntry(b, 1, nil)
	engine := r.config.Models["drafting"].Engines["a"].URL
	kinds := []struct{ name, url string }{{"direct", engine}, {"plain", serveTest(b, plainRelay(engine))}, {"entry", r.url}}
	for _, kind := range kinds {
		b.Run(kind.name, func(b *testing.B) { benchStreams(b, kind.url, 1, 1) })
	}
}

// benchStreams runs the given number of concurrent streams for each iteration
// and reports the CPU time for each token and the median time to the first token.
func benchStreams(b *testing.B, url string, streams, tokens int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	var mu sync.Mutex // guards first
	var first []time.Duration
	before := cpuTime(b)
	b.ReportAllocs()
	for b.Loop() {
		var group sync.WaitGroup
		for range streams {
			group.Go(func() {
				took := benchStream(b, client, url, tokens)
				mu.Lock()
				first = append(first, took)
				mu.Unlock()
			})
		}
		group.Wait()
	}
	spent := cpuTime(b) - before
	slices.Sort(first)
	b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N*streams*tokens), "cpu-ns/token")
	b.ReportMetric(float64(first[len(first)/2].Microseconds()), "first-us")
}

// benchStream reads one stream and returns the time to its first token.
func benchStream(b *testing.B, client *http.Client, url string, tokens int) time.Duration {
	start := time.Now()
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(fmt.Sprintf(benchBody, tokens)))
	if err != nil {
		b.Error(err)
		return 0
	}
	request.Header.Set(HeaderTeam, "desk")
	request.Header.Set(HeaderClass, "quote")
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.ReadSlice('\n'); err != nil {
		b.Error(err)
	}
	took := time.Since(start)
	rest, err := io.ReadAll(reader)
	if err != nil || !bytes.Contains(rest, []byte("event: done")) {
		b.Errorf("stream did not end with a done event: %v", err)
	}
	return took
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
