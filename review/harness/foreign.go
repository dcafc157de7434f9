//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["foreign-list-entry"] = foreignListEntry }

// foreignEntry is an entry of another writer with bytes that can't be read: a
// control character and no UTF-8.
var foreignEntry = json.RawMessage("{\"id\":\"i-99\x01\xfe\",\"service\":\"\xff\x02\"}")

const (
	beforeFault   = 10 * time.Second
	foreignAfter  = 4 * time.Second
	killedFor     = 500 * time.Millisecond
	afterRecovery = 20 * time.Second
	bookingsASec  = 20
)

// served counts requests and those that were answered with success.
type served struct{ sent, whole atomic.Int64 }

func (s *served) book(address string) {
	s.sent.Add(1)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/book/1", nil)
	must(err, "make a request")
	request.Host = hostName
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", requestNumber.Add(1)))
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callLimit.Milliseconds()))
	response, err := newClient(callLimit).Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		s.whole.Add(1)
	}
}

// foreignListEntry ends all processes at once, as a final fault does, while the
// platform's list contains an entry with bytes that can't be read. The other
// entries hold, so service must go on. Without the disruption, the list has no
// such entry.
func foreignListEntry(d *deployment) (held bool) {
	list := d.startList()
	var foreign atomic.Bool
	engines := []*engine{
		d.startEngine(serviceName, "", 51, answerCall), d.startEngine(serviceName, "", 52, answerCall), d.startEngine(serviceName, "", 53, answerCall),
	}
	list.follow(func() []json.RawMessage {
		var entries []json.RawMessage
		for _, e := range engines {
			entries = append(entries, e.entry())
		}
		if foreign.Load() {
			entries = append(entries, foreignEntry)
		}
		return entries
	})
	controls := []*process{d.newProcess("control", "core-1", 1), d.newProcess("control", "core-2", 2), d.newProcess("control", "core-3", 3)}
	entry := d.newProcess("entry", "front-1", 11)
	d.setSeeds(controls...)
	all := append(controls, entry)
	for _, p := range all {
		p.start(true)
	}
	if !d.putUntilAcknowledged(newDocument(1), 20*time.Second, controls...) || !entry.waitReady(10*time.Second) {
		panic(errSetup{errNotStarted})
	}
	time.Sleep(contact)
	var before, after served
	var group sync.WaitGroup
	address := entry.address(callerPort)
	load(&group, beforeFault, bookingsASec, func() { before.book(address) })
	time.Sleep(foreignAfter)
	foreign.Store(d.trouble)
	d.record.logf("an entry that can't be read is in the list: %t", d.trouble)
	group.Wait()
	for _, p := range all {
		p.kill()
	}
	time.Sleep(killedFor)
	for _, p := range all {
		p.start(false)
	}
	time.Sleep(recovery)
	load(&group, afterRecovery, bookingsASec, func() { after.book(address) })
	group.Wait()
	d.record.logf("before the fault: %d sent, %d served", before.sent.Load(), before.whole.Load())
	d.record.logf("later than recoveryS after it: %d sent, %d served", after.sent.Load(), after.whole.Load())
	for _, e := range engines {
		d.record.logf("%s: %d requests ran", e.id, e.arrivals.Load())
	}
	quarter := func(s *served) bool { return 4*s.whole.Load() >= s.sent.Load() }
	if !quarter(&before) {
		panic(errSetup{errNotStarted})
	}
	return quarter(&after)
}
