//go:build review

package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the sheets of two deployments state them.
const (
	contact  = 3 * time.Second
	drain    = 3 * time.Second
	catchUp  = 4 * time.Second
	grace    = 8 * time.Second
	recovery = 12 * time.Second
)

const (
	peerPort      = 7380
	lastPeerPort  = 7395
	callerPort    = 8149
	readyPort     = 8141
	operatorPort  = 8144
	directoryPort = 8143
	listPort      = 8142
	enginePort    = 8501
)

// deployment is a small deployment on loopback addresses.
type deployment struct {
	binary string
	folder string
	// network is the first three bytes of all addresses.
	network string
	list    string
	record  *record
	// trouble is false in the run without the disruption.
	trouble bool

	mu    sync.Mutex // guards the fields below
	seeds []string
	procs []*process
	ends  []func()
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var errNotStarted = errors.New("the deployment has not started")

// errSetup marks failures that say nothing about the rule.
type errSetup struct{ error }

func must(err error, what string) {
	if err != nil {
		panic(errSetup{fmt.Errorf("%s: %w", what, err)})
	}
}

func newDeployment(binary, recordPath string, trouble bool) *deployment {
	binary, err := filepath.Abs(binary)
	must(err, "find the program")
	_, err = os.Stat(binary)
	must(err, "find the program")
	file, err := os.Create(recordPath)
	must(err, "create the record")
	folder, err := os.MkdirTemp("", "review")
	must(err, "create a temporary folder")
	d := &deployment{
		binary: binary, folder: folder, trouble: trouble,
		record: &record{out: io.MultiWriter(file, os.Stdout), start: time.Now()},
	}
	d.network = freeNetwork()
	d.list = fmt.Sprintf("%s100:%d", d.network, listPort)
	d.record.logf("trouble %t, network %s0/24", trouble, d.network)
	return d
}

// freeNetwork returns a loopback network in which nothing listens at the ports
// that the deployment uses.
func freeNetwork() string {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d.", 2+rand.IntN(250), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s100:%d", network, listPort))
		if err == nil {
			_ = listener.Close()
			return network
		}
	}
	panic(errSetup{fmt.Errorf("no free loopback network")})
}

// onClose adds a function that ends a stand-in.
func (d *deployment) onClose(end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, end)
}

// close kills all processes of the deployment and removes its folder.
func (d *deployment) close() {
	d.mu.Lock()
	procs, ends := d.procs, d.ends
	d.mu.Unlock()
	for _, end := range ends {
		end()
	}
	for _, p := range procs {
		p.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs kept in", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// process is one control or entry process on a machine of its own.
type process struct {
	deployment *deployment
	role       string
	name       string
	ip         string

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	exited  chan struct{}
}

// newProcess adds a machine with the given last byte of its address.
func (d *deployment) newProcess(role, name string, host int) *process {
	p := &process{deployment: d, role: role, name: name, ip: fmt.Sprintf("%s%d", d.network, host)}
	d.mu.Lock()
	d.procs = append(d.procs, p)
	d.mu.Unlock()
	return p
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

func (p *process) dataFolder() string { return filepath.Join(p.deployment.folder, p.name+"-disk") }

func (p *process) settingsPath() string {
	return filepath.Join(p.deployment.folder, p.name+".toml")
}

// setSeeds sets the control addresses that settings files name.
func (d *deployment) setSeeds(controls ...*process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seeds = nil
	for _, c := range controls {
		d.seeds = append(d.seeds, fmt.Sprintf("%q", c.address(operatorPort)))
	}
}

// writeSettings writes the settings file as the platform does.
func (p *process) writeSettings(bootstrap bool) {
	d := p.deployment
	d.mu.Lock()
	seeds := strings.Join(d.seeds, ", ")
	d.mu.Unlock()
	listen, class, serves, disk := "", "core", `"control", "directory"`, 128
	if p.role == "entry" {
		class, serves, disk = "front", `"front"`, 0
		listen = fmt.Sprintf("front = %q\nready = %q\n", p.address(callerPort), p.address(readyPort))
	} else {
		listen = fmt.Sprintf("control = %q\ndirectory = %q\n", p.address(operatorPort), p.address(directoryPort))
	}
	dataDir := ""
	if p.role == "control" {
		dataDir = fmt.Sprintf("dataDir = %q\n", p.dataFolder())
	}
	content := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%s]
ip = %q
zone = "zone-a"
region = "region"
portRange = [%d,%d]
seeds = [%s]
bootstrap = %t
inLossBudget = %t
discovery = "cloud"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine"]
configMode = "highest"
%s[zones]
zone-a = "region"
[listen]
%s[limits]
cpuShare = 0.96
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = %d
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
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
skewMaxMs = 5000
retryBudget = 0.2
budgetWindowS = 10
retrySlack = 56
recoveryS = 12
transitMs = 120
retryAfterS = 8.8
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
ttl_max_s = 5
[cloudApi]
address = %q
ratePerS = 44.0
duties = []
maxLagMs = 800
`, p.name, p.role, class, serves, p.ip, peerPort, lastPeerPort, seeds, bootstrap, class == "core", dataDir, listen, disk, d.list)
	must(os.WriteFile(p.settingsPath(), []byte(content), 0o600), "write settings")
}

// oneCore lets the Go runtime see the one core that the platform shows a process.
const oneCore = "GOMAXPROCS=1"

// start starts the process with the command of the deploy file.
func (p *process) start(bootstrap bool) {
	if p.role == "control" {
		must(os.MkdirAll(p.dataFolder(), 0o700), "create a data folder")
	}
	p.writeSettings(bootstrap)
	log, err := os.OpenFile(filepath.Join(p.deployment.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err, "open a log")
	command := exec.Command(p.deployment.binary, "platform", p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.deployment.folder, "LAGOONSHIFT_CONFIG=" + p.settingsPath(), oneCore}
	command.Stdout, command.Stderr = log, log
	must(command.Start(), "start "+p.name)
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
	p.deployment.record.logf("%s started at %s, bootstrap %t", p.name, p.ip, bootstrap)
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.deployment.record.logf("%s ended: %v", p.name, err)
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // it may have ended
	}
}

func (p *process) waitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.waitExit(5 * time.Second)
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after
// the grace period.
func (p *process) terminate() {
	p.deployment.record.logf("%s gets SIGTERM", p.name)
	p.signal(syscall.SIGTERM)
	if !p.waitExit(grace) {
		p.kill()
	}
}

// peakMemory returns the most memory that the process has used so far, as the
// kernel counts it.
func (p *process) peakMemory() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return "unknown"
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return "unknown"
}

// wipe removes the files on the machine's disk.
func (p *process) wipe() {
	must(os.RemoveAll(p.dataFolder()), "wipe a disk")
	p.deployment.record.logf("%s has lost its disk", p.name)
}
