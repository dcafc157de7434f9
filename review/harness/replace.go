//go:build review

package main

import (
	"time"
)

func init() { scenarios["replace-then-lose-disk"] = replaceThenLoseDisk }

const (
	// afterRemoval is the time from the end of the replaced machine to the loss of
	// another disk: more than catchUp.
	afterRemoval = 4300 * time.Millisecond
	// downtime is how long the machine that loses its disk is down.
	downtime = time.Second
)

// replaceThenLoseDisk replaces a machine of the core by an empty one, which
// starts first, and lets another one lose its disk once the successor and the
// removal are more than catchUp old. The configuration must be readable in the end.
func replaceThenLoseDisk(d *deployment) (held bool) {
	d.startList()
	a, b, c := d.newProcess("control", "core-1", 1), d.newProcess("control", "core-2", 2), d.newProcess("control", "core-3", 3)
	d.setSeeds(a, b, c)
	for _, p := range []*process{a, b, c} {
		p.start(true)
	}
	if !d.putUntilAcknowledged(newDocument(1), 20*time.Second, a, b, c) {
		panic(errSetup{errNotStarted})
	}
	time.Sleep(contact)
	readers := []*process{a, b, c}
	if d.trouble {
		successor := d.newProcess("control", "core-4", 4)
		d.setSeeds(b, c, successor)
		successor.start(false)
		b.writeSettings(false)
		c.writeSettings(false)
		time.Sleep(catchUp + 2*time.Second)
		a.terminate()
		removed := time.Now()
		readers = []*process{b, c, successor}
		acknowledged := d.putUntilAcknowledged(newDocument(2), 3*time.Second, readers...)
		d.record.logf("version 2 acknowledged: %t", acknowledged)
		time.Sleep(time.Until(removed.Add(afterRemoval)))
		b.kill()
		b.wipe()
		time.Sleep(downtime)
		b.start(false)
		time.Sleep(catchUp)
	} else if !d.putUntilAcknowledged(newDocument(2), 3*time.Second, readers...) {
		panic(errSetup{errNotStarted})
	}
	time.Sleep(recovery)
	newest := d.readBack(30*time.Second, readers...)
	d.record.logf("newest version read in the end: %d; version 2 was acknowledged", newest)
	d.put(c, newDocument(3))
	return newest >= 2
}
