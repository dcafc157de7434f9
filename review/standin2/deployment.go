// Command standin2 runs the cases of the second review: it starts control and entry
// processes of the repository, with stand-ins for callers, servers, the operator and the
// platform on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines, which have one address each.
const (
	callerPort    = "8149"
	readyPort     = "8141"
	controlPort   = "8144"
	directoryPort = "8143"
	platformPort  = "8142"
	serverPort    = "8080"
	firstPeerPort = 7380
	lastPeerPort  = 7395
)

const (
	// memoryMb and coreMemoryMb are the memory of the machines of entries and of control processes
	// of the deployment whose settings the cases follow.
	memoryMb     = 284
	coreMemoryMb = 280
	// startTimeout bounds the time until the deployment serves.
	startTimeout = 40 * time.Second
	callTimeout  = 2 * time.Second
	pollInterval = 100 * time.Millisecond
	// hostName is the host of the configuration's routes.
	hostName = "desk.example"
)

// deployment is a running deployment with three control processes.
type deployment struct {
	folder string
	// network is the first three numbers of all addresses.
	network string
	record  *record

	mu        sync.Mutex // guards the fields below
	processes []*process
	servers   []*server
}

// process is one process of the repository on a machine of its own.
type process struct {
	name, role, ip string
	exited         chan struct{}
	command        *exec.Cmd
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex // guards the fields below
	out   io.WriteCloser
	began time.Time
}

func openRecord(path string) (*record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: out, began: time.Now()}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// newDeployment returns a deployment without processes in a temporary folder.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &deployment{folder: folder, network: fmt.Sprintf("127.%d.%d.", 64+pid>>8&63, pid&255), record: r}, nil
}

func (d *deployment) address(host int, port string) string {
	return net.JoinHostPort(d.network+strconv.Itoa(host), port)
}

// Numbers of the hosts of a deployment.
const (
	firstControl = 10
	firstEntry   = 30
	firstServer  = 60
	platformHost = 100
	controls     = 3
)

// start starts the platform, the control processes and the entries.
func (d *deployment) start(entries int) error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	for i := range controls {
		if err := d.startProcess(fmt.Sprintf("core-%d", i+1), "control", firstControl+i); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := d.startProcess(fmt.Sprintf("front-%d", i+1), "entry", firstEntry+i); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startProcess(name, role string, host int) error {
	p := &process{name: name, role: role, ip: d.network + strconv.Itoa(host), exited: make(chan struct{})}
	settings := filepath.Join(d.folder, name+".toml")
	if err := os.WriteFile(settings, []byte(d.settings(p)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command("target/lagoonshift", "platform", role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAGOONSHIFT_CONFIG=" + settings}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	d.record.add("%s started at %s", name, p.ip)
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
	return nil
}

// settings returns the settings file of a process, with the bounds of a small deployment.
func (d *deployment) settings(p *process) string {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, strconv.Quote(d.address(firstControl+i, controlPort)))
	}
	memory := memoryMb
	listen, class, more := fmt.Sprintf("front = %q\nready = %q\n", p.ip+":"+callerPort, p.ip+":"+readyPort), "front", ""
	if p.role == "control" {
		listen, class = fmt.Sprintf("control = %q\ndirectory = %q\n", p.ip+":"+controlPort, p.ip+":"+directoryPort), "core"
		memory = coreMemoryMb
		more = fmt.Sprintf("dataDir = %q\n", filepath.Join(d.folder, p.name))
	}
	return fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
ip = %q
zone = "a"
region = "r"
portRange = [%d,%d]
seeds = [%s]
bootstrap = true
inLossBudget = %t
discovery = "cloud"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine"]
configMode = "highest"
%s[zones]
a = "r"
[listen]
%s[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 3000
graceS = 8
configApplyMs = 2000
retryBudget = 0.2
budgetWindowS = 10
retrySlack = 56
recoveryS = 12
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
ttl_max_s = 5
[cloudApi]
address = %q
ratePerS = 44.0
duties = []
maxLagMs = 800
`, p.name, p.role, class, p.ip, firstPeerPort, lastPeerPort, strings.Join(seeds, ","), class == "core", more, listen, memory, d.address(platformHost, platformPort))
}

// find returns a process by its name.
func (d *deployment) find(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// kill ends a process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-p.exited
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		p.kill()
	}
	for _, s := range d.servers {
		_ = s.http.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// startPlatform serves the list of servers.
func (d *deployment) startPlatform() error {
	listener, err := net.Listen("tcp", d.address(platformHost, platformPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		list := []map[string]any{}
		for _, s := range d.servers {
			list = append(list, map[string]any{
				"id": s.id, "service": s.service, "address": s.address, "zone": "a", "version": "v1",
				"slots": s.slots, "state": "ready", "coldLeftMs": 0, "born": s.born,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "nextToken": nil})
	})
	go func() { _ = http.Serve(listener, mux) }() // until the process ends
	return nil
}

var errNotAccepted = errors.New("not accepted in time")

// putConfig sends a configuration to the control processes until it is acknowledged.
func (d *deployment) putConfig(config map[string]any) error {
	content, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for i := range controls {
			address := d.address(firstControl+i, controlPort)
			status, err := post("http://"+address+"/Config.Put", content)
			if err == nil && status == http.StatusOK {
				d.record.add("configuration %v acknowledged by %s", config["version"], address)
				return nil
			}
		}
	}
	return errNotAccepted
}

func post(target string, content []byte) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitReady waits until an entry says that it is ready.
func (d *deployment) awaitReady(entry int) error {
	target := "http://" + d.address(firstEntry+entry, readyPort) + "/readyz"
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		response, err := http.Get(target)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotAccepted
}

// putOnce sends a configuration to the control processes, one after the other, until it is
// acknowledged or each was asked twice.
func (d *deployment) putOnce(version int, content []byte) bool {
	for i := range 2 * controls {
		address := d.address(firstControl+(version+i)%controls, controlPort)
		status, err := post("http://"+address+"/Config.Put", content)
		if err == nil && status == http.StatusOK {
			d.record.add("configuration %d acknowledged by %s", version, address)
			return true
		}
		d.record.add("configuration %d at %s: answer %d, error %v", version, address, status, err)
		time.Sleep(pollInterval)
	}
	return false
}
