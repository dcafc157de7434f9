package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldntBe = 2
)

// cases are the cases by name. Each returns what breaks the rule, which is empty if it held.
// trouble is false if the case is to run without its disruption.
var cases = map[string]func(d *deployment, trouble bool) (broken string, err error){
	"paths":   paths,
	"routes":  manyRoutesUsed,
	"uploads": uploads,
}

func main() {
	os.Exit(runCase())
}

// runCase runs the case named by the first argument and writes its record to the folder
// named by the second.
func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return couldntBe
	}
	r, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntBe
	}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntBe
	}
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(couldntBe)
	}()
	breach, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return couldntBe
	case breach != "":
		r.add("broken: %s", breach)
		fmt.Println("broken:", breach)
		return broken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return held
}
