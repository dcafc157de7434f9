//go:build review

// Command harness runs one of the reviewed cases: it starts the project's own
// programs on loopback addresses, with stand-ins for the platform, the backend
// servers and the callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario returns whether the rule held.
type scenario func(d *deployment) (held bool)

// scenarios holds the scenarios by name.
var scenarios = map[string]scenario{}

// servers holds the stand-ins that run in processes of their own, by name.
var servers = map[string]func(args []string){}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) > 1 && servers[os.Args[1]] != nil {
		servers[os.Args[1]](os.Args[2:])
		return exitNotRun
	}
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO PROGRAM RECORD")
		return exitNotRun
	}
	defer func() {
		switch failure := recover().(type) {
		case nil:
		case errSetup:
			fmt.Fprintln(os.Stderr, "not run:", failure)
			code = exitNotRun
		default:
			panic(failure)
		}
	}()
	d := newDeployment(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		d.close()
		os.Exit(exitNotRun)
	}()
	if scenarios[os.Args[1]](d) {
		d.record.logf("the rule held")
		return exitHeld
	}
	d.record.logf("the rule was broken")
	return exitBroken
}
