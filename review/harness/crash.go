//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	scenarios["crash-without-length"] = crashWithoutLength
	servers["engine"] = runEngine
}

// crashInterval is the time between two crashes, crashDowntime how long an engine
// is down.
const (
	crashInterval = 2500 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	crashes       = 8
	callPieces    = 8
	callBytes     = 800
)

// engineProcess is an engine in a process of its own, which can crash.
type engineProcess struct {
	deployment  *deployment
	service     string
	address     string
	host        int
	incarnation int
	// server is the stand-in that the process runs; "engine" if empty.
	server string
	// output gets what the process writes to its standard output.
	output io.Writer

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	phase   string
	born    int64
}

func (e *engineProcess) id() string { return fmt.Sprintf("i-%02d-%d", e.host, e.incarnation) }

// start starts the next incarnation.
func (e *engineProcess) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.born = time.Now().UnixMilli()
	program, err := os.Executable()
	must(err, "find the stand-in")
	e.command = exec.Command(program, cmp.Or(e.server, "engine"), e.address, e.id(), e.service, e.phase)
	e.command.Stdout, e.command.Stderr = e.output, os.Stderr
	must(e.command.Start(), "start an engine")
}

// crash ends the engine like a crash and starts it again after a time.
func (e *engineProcess) crash() {
	e.mu.Lock()
	command := e.command
	e.command = nil
	e.mu.Unlock()
	e.deployment.record.logf("engine %s at %s crashes", e.id(), e.address)
	_ = command.Process.Signal(syscall.SIGKILL)
	_ = command.Wait()
	time.Sleep(crashDowntime)
	e.start()
	e.deployment.record.logf("engine %s at %s started", e.id(), e.address)
}

func (e *engineProcess) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		_ = e.command.Process.Kill()
		if e.output == nil { // else another goroutine waits
			_ = e.command.Wait()
		}
	}
}

// entry is the engine's entry in the platform's list; an engine that has crashed
// stays there for some seconds.
func (e *engineProcess) entry() json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase != "" {
		var report struct{ Phase string }
		if response, err := newClient(200 * time.Millisecond).Get("http://" + e.address + "/report"); err == nil {
			if json.NewDecoder(response.Body).Decode(&report) == nil && report.Phase != "" {
				e.phase = report.Phase
			}
			_ = response.Body.Close()
		}
	}
	listed := engine{id: e.id(), service: e.service, address: e.address, born: e.born, phase: e.phase, state: "ready"}
	return listed.entry()
}

// runEngine serves as one engine until the process is killed.
func runEngine(args []string) {
	address, id, service, phase := args[0], args[1], args[2], args[3]
	e := &engine{id: id, service: service, address: address, phase: phase, state: "ready", serve: answerCallUntilClose}
	if phase != "" {
		e.serve = answerStreamUntilClose
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(address, e.handler()))
}

// beginUntilClose writes the head of an answer that has neither a length nor
// chunks and ends with its connection.
func beginUntilClose(w http.ResponseWriter, contentType string) io.WriteCloser {
	conn, _, err := http.NewResponseController(w).Hijack()
	must(err, "take over a connection")
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: " + contentType + "\r\n"
	for _, name := range []string{"X-Request-Id", "X-Response-Stamp", "X-Instance-Id"} {
		head += name + ": " + w.Header().Get(name) + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n") // the caller may have left
	return conn
}

func answerCallUntilClose(_ *engine, w http.ResponseWriter, _ *http.Request) {
	out := beginUntilClose(w, "application/octet-stream")
	defer out.Close()
	for range callPieces {
		time.Sleep(5 * time.Millisecond)
		_, _ = out.Write(make([]byte, callBytes/callPieces))
	}
}

func answerStreamUntilClose(_ *engine, w http.ResponseWriter, _ *http.Request) {
	out := beginUntilClose(w, "text/event-stream")
	defer out.Close()
	for i := range streamEvents {
		fmt.Fprintf(out, "id: %d\ndata: token-%d\n\n", i+1, i+1)
		time.Sleep(eventInterval)
	}
}

// truncated counts answers that ended early and looked complete.
type truncated struct {
	sent, whole, broken, refused, short atomic.Int64
}

func (t *truncated) String() string {
	return fmt.Sprintf("%d sent, %d whole, %d broken off visibly, %d failed or refused, %d ended early as a complete success",
		t.sent.Load(), t.whole.Load(), t.broken.Load(), t.refused.Load(), t.short.Load())
}

func (t *truncated) ask(d *deployment, address, method, path string, limit time.Duration, header http.Header, wholeBytes int) {
	t.sent.Add(1)
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	must(err, "make a request")
	request.Host = hostName
	for name, values := range header {
		request.Header[name] = values
	}
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	response, err := newClient(limit).Do(request)
	if err != nil {
		t.refused.Add(1)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode != http.StatusOK:
		t.refused.Add(1)
	case err != nil:
		t.broken.Add(1)
	case len(body) < wholeBytes:
		t.short.Add(1)
		d.record.logf("request %s on %s: status 200, stamp %q, complete for the caller with %d of %d bytes",
			id, path, response.Header.Get("X-Response-Stamp"), len(body), wholeBytes)
	default:
		t.whole.Add(1)
	}
}

// crashWithoutLength lets engines crash while they answer without a length. No
// answer that ends early may look complete.
func crashWithoutLength(d *deployment) (held bool) {
	list := d.startList()
	var engines []*engineProcess
	for host := 51; host <= 58; host++ {
		service, phase := modelService, "decode"
		switch host {
		case 51, 52:
			service, phase = serviceName, ""
		case 53, 54:
			phase = "prefill"
		}
		e := &engineProcess{deployment: d, service: service, phase: phase, host: host, address: fmt.Sprintf("%s%d:%d", d.network, host, enginePort)}
		d.onClose(e.end)
		e.start()
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
	entry := d.newProcess("entry", "front-1", 11)
	d.setSeeds(controls...)
	for _, p := range append(controls, entry) {
		p.start(true)
	}
	if !d.putUntilAcknowledged(newModelDocument(1), 20*time.Second, controls...) || !entry.waitReady(10*time.Second) {
		panic(errSetup{errNotStarted})
	}
	time.Sleep(8 * time.Second) // changes of phase after the start
	streamBytes := 0
	for i := range streamEvents {
		streamBytes += len(fmt.Sprintf("id: %d\ndata: token-%d\n\n", i+1, i+1))
	}
	var calls, streams truncated
	var group sync.WaitGroup
	length := crashes*crashInterval + 3*time.Second
	load(&group, length, callsPerSecond*4, func() {
		calls.ask(d, entry.address(callerPort), http.MethodGet, "/lookup/1", callLimit, nil, callBytes)
	})
	load(&group, length, streamsPerSecond, func() {
		streams.ask(d, entry.address(callerPort), http.MethodPost, streamPrefix+"1", streamLimit, streamHeader(), streamBytes)
	})
	if d.trouble {
		group.Go(func() {
			for i := range crashes {
				time.Sleep(crashInterval - crashDowntime)
				engines[i%len(engines)].crash()
			}
		})
	}
	group.Wait()
	d.record.logf("calls: %s", &calls)
	d.record.logf("streams: %s", &streams)
	return calls.short.Load()+streams.short.Load() == 0
}
