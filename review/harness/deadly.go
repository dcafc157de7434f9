//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	scenarios["deadly-part"] = deadlyPart
	servers["part-engine"] = runPartEngine
}

const (
	deadlyPartID = "dead0001"
	firstEvent   = "id: 1\ndata: token-1\n\n"
	// firstToken is the time until an engine begins to write an answer.
	firstToken = 150 * time.Millisecond
	// backAfter is how long an engine is down that a part crashed.
	backAfter = 3 * time.Second
	// deadlyInterval is the time between two requests with the part.
	deadlyInterval = 2 * time.Second
	// crashesBefore and allowedRequests are those of the rule.
	crashesBefore   = 5
	allowedRequests = 3
	deadlyRunTime   = 40 * time.Second
)

// runPartEngine serves as an engine that crashes as it begins to write an answer to
// a prompt with the deadly part: after its first event, or, if BEFORE_HEAD is set,
// before a byte has left.
func runPartEngine(args []string) {
	e := &engine{id: args[1], service: args[2], address: args[0], phase: args[3], state: "ready"}
	e.serve = func(e *engine, w http.ResponseWriter, r *http.Request) {
		deadly := strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPartID+":")
		if deadly {
			fmt.Println(r.Header.Get("X-Request-Id"))
		}
		time.Sleep(firstToken)
		if deadly {
			w.Header().Set("Content-Type", "text/event-stream")
			if os.Getenv("BEFORE_HEAD") == "" {
				fmt.Fprint(w, firstEvent)
				_ = http.NewResponseController(w).Flush()
			}
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
		answerStream(e, w, r)
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(e.address, e.handler()))
}

// partLog holds what the engines saw of the deadly part.
type partLog struct {
	deployment *deployment

	mu       sync.Mutex // guards the fields below
	crashes  []time.Time
	arrivals []time.Time
}

func (p *partLog) arrived(engine, request string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, time.Now())
	p.deployment.record.logf("request %s with the part reaches %s after %d crashes", request, engine, len(p.crashes))
}

func (p *partLog) crashed(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
	p.deployment.record.logf("%s has crashed, crash %d", engine, len(p.crashes))
}

// late returns the number of requests that reached engines later than contactMs
// after the fifth crash.
func (p *partLog) late() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < crashesBefore {
		return 0
	}
	for _, at := range p.arrivals {
		if at.After(p.crashes[crashesBefore-1].Add(contact)) {
			n++
		}
	}
	return n
}

// keepRunning starts an engine, and again some time after each crash, until ended.
func (e *engineProcess) keepRunning(log *partLog, ended *atomic.Bool) {
	reader, writer := io.Pipe()
	e.output = writer
	go func() {
		for lines := bufio.NewScanner(reader); lines.Scan(); {
			log.arrived(e.id(), lines.Text())
		}
	}()
	e.start()
	go func() {
		for {
			e.mu.Lock()
			command := e.command
			e.mu.Unlock()
			_ = command.Wait()
			if ended.Load() {
				return
			}
			log.crashed(e.id())
			time.Sleep(backAfter)
			if ended.Load() {
				return
			}
			e.start()
		}
	}()
}

// deadlyPart sends requests with a part that crashes each engine that begins to
// write an answer on it, among sound ones with the same first part. Without the
// disruption the requests with the part are left out.
func deadlyPart(d *deployment) (held bool) {
	list := d.startList()
	seen := &partLog{deployment: d}
	var ended atomic.Bool
	var engines []*engineProcess
	for host := 51; host <= 60; host++ {
		e := &engineProcess{
			deployment: d, service: modelService, phase: "decode", host: host, server: "part-engine",
			address: fmt.Sprintf("%s%d:%d", d.network, host, enginePort),
		}
		d.onClose(func() { ended.Store(true); e.end() })
		e.keepRunning(seen, &ended)
		engines = append(engines, e)
	}
	list.follow(func() []json.RawMessage {
		var entries []json.RawMessage
		for _, e := range engines {
			entries = append(entries, e.entry())
		}
		return entries
	})
	controls := []*process{d.newProcess("control", "core-1", 1), d.newProcess("control", "core-2", 2), d.newProcess("control", "core-3", 3)}
	fronts := []*process{d.newProcess("entry", "front-1", 11), d.newProcess("entry", "front-2", 12)}
	d.setSeeds(controls...)
	for _, p := range append(controls, fronts...) {
		p.start(true)
	}
	if !d.putUntilAcknowledged(newModelDocument(1), 20*time.Second, controls...) || !fronts[0].waitReady(10*time.Second) || !fronts[1].waitReady(10*time.Second) {
		panic(errSetup{errNotStarted})
	}
	time.Sleep(8 * time.Second) // changes of phase after the start
	streamBytes := 0
	for i := range streamEvents {
		streamBytes += len(fmt.Sprintf("id: %d\ndata: token-%d\n\n", i+1, i+1))
	}
	var sound, deadly truncated
	var next atomic.Int64
	ask := func(t *truncated, parts string) {
		header := streamHeader()
		number := next.Add(1)
		header.Set("X-Prompt-Prefix", fmt.Sprintf(parts, number))
		address := fronts[number%2].address(callerPort)
		t.ask(d, address, http.MethodPost, fmt.Sprintf("%s%d", streamPrefix, number), streamLimit, header, streamBytes)
	}
	var group sync.WaitGroup
	load(&group, deadlyRunTime, 2*streamsPerSecond, func() { ask(&sound, "5c1e07a2:98,91bd3f06:100,%x:102") })
	if d.trouble {
		group.Go(func() {
			for began := time.Now(); time.Since(began) < deadlyRunTime; time.Sleep(deadlyInterval) {
				go ask(&deadly, "5c1e07a2:98,"+deadlyPartID+":100,%x:102")
			}
		})
	}
	group.Wait()
	d.record.logf("sound requests: %s", &sound)
	d.record.logf("requests with the part: %s", &deadly)
	d.record.logf("%d crashes; %d requests with the part reached engines later than contactMs after the fifth", len(seen.crashes), seen.late())
	return seen.late() <= allowedRequests
}
