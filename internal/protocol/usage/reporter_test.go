package usage_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// withSeeds runs a test under virtual time with several seeds of the group.
func withSeeds(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// TestReportsWithoutFaults guards against windows that are left out, reported twice or with
// wrong counts while nothing fails.
func TestReportsWithoutFaults(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		time.Sleep(2 * time.Minute)
		c.verify(5 * time.Second)
		if calls := c.received(); len(calls) < 22 || len(calls) > 24 {
			t.Errorf("%d calls in 2 minutes, want one for each window of 5 s", len(calls))
		}
		if n := c.undelivered(); n > 1 {
			t.Errorf("%d reports are not known to be delivered", n)
		}
	})
}

// TestHolderFrozenAfterRenewal freezes the holder between its permit and its write, right
// after the renewal of its lease, and thaws it once its successor acts. Nothing of it may
// arrive after calls of the successor.
func TestHolderFrozenAfterRenewal(t *testing.T) {
	for _, length := range []time.Duration{400 * time.Millisecond, 2 * time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			withSeeds(t, func(t *testing.T, seed uint64) {
				c := newCluster(t, seed)
				old := c.leaderReports()
				var once sync.Once
				c.onWrite(func(replica int) {
					if replica == old {
						once.Do(func() {
							c.group.Freeze(old)
							time.Sleep(length)
							c.group.Thaw(old)
						})
					}
				})
				time.Sleep(time.Minute)
				c.verify(due)
				if n := c.undelivered(); n > 1 {
					t.Errorf("%d reports are not known to be delivered", n)
				}
			})
		})
	}
}

// TestHolderKilledBetweenCommitAndSend kills the holder once a window is decided and before
// its report is sent. The successor must send what was decided, in time.
func TestHolderKilledBetweenCommitAndSend(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		old := c.leaderReports()
		killed := make(chan struct{})
		var once sync.Once
		c.onWrite(func(replica int) {
			if replica == old {
				once.Do(func() {
					c.group.Kill(old)
					close(killed)
				})
			}
		})
		<-killed
		c.end(old)
		time.Sleep(20 * time.Second)
		c.group.Restart(old)
		c.start(old)
		time.Sleep(40 * time.Second)
		c.verify(due)
		if n := c.undelivered(); n > 1 {
			t.Errorf("%d reports are not known to be delivered", n)
		}
	})
}

// TestHolderCutOffInOneDirection cuts the holder's messages to the other replicas, or theirs
// to it, but not its way to the platform.
func TestHolderCutOffInOneDirection(t *testing.T) {
	for _, outgoing := range []bool{true, false} {
		t.Run(fmt.Sprint("outgoing=", outgoing), func(t *testing.T) {
			withSeeds(t, func(t *testing.T, seed uint64) {
				c := newCluster(t, seed)
				old := c.leaderReports()
				for i := range c.group.Size() {
					if outgoing {
						c.group.Cut(old, i)
					} else {
						c.group.Cut(i, old)
					}
				}
				time.Sleep(30 * time.Second)
				c.group.Heal()
				time.Sleep(30 * time.Second)
				c.verify(due)
			})
		})
	}
}

// TestHolderLosesDisk erases the disk of the holder, which comes back as another replica.
// What was decided must stay as it was.
func TestHolderLosesDisk(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		for range 2 {
			old := c.leaderReports()
			c.group.LoseDisk(old)
			c.end(old)
			c.group.Restart(old)
			c.start(old)
			time.Sleep(30 * time.Second)
		}
		c.verify(due)
	})
}

// TestClockOfHolderSteps steps the time of day of the leader and of two entries by 2.4 s,
// just before the end of a window. No request may move to another window.
func TestClockOfHolderSteps(t *testing.T) {
	for _, step := range []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond} {
		t.Run(step.String(), func(t *testing.T) {
			withSeeds(t, func(t *testing.T, seed uint64) {
				c := newCluster(t, seed)
				leader := c.leaderReports()
				c.skews[leader].Store(int64(step))
				c.entrySkews[0].Store(int64(step))
				c.entrySkews[7].Store(int64(-step))
				time.Sleep(20 * time.Second)
				c.skews[leader].Store(0)
				c.entrySkews[0].Store(0)
				time.Sleep(20 * time.Second)
				c.verify(5 * time.Second)
			})
		})
	}
}

// TestEntriesCutOffFromHolder cuts a third of the entries off from the holder for 7 s, again
// and again. It guards against reports without the requests of entries that are back before
// the reports are due.
func TestEntriesCutOffFromHolder(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		leader := c.leaderReports()
		for range 6 {
			c.cutOffEntries(leader, 4, true)
			time.Sleep(7 * time.Second)
			c.cutOffEntries(leader, 4, false)
			time.Sleep(4300 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		c.verify(due)
	})
}

// TestLostResponsesAreRepeated loses the responses of the platform for some time, over a
// change of leader. Each report is repeated byte for byte, with growing pauses.
func TestLostResponsesAreRepeated(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		old := c.leaderReports()
		set := func(lost bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.responsesLost = lost
		}
		set(true)
		time.Sleep(15 * time.Second)
		c.group.Kill(old)
		c.end(old)
		time.Sleep(30 * time.Second)
		set(false)
		before := len(c.received())
		time.Sleep(30 * time.Second)
		// The killed holder may have been in a pause, and its successor waits for 5 s.
		c.verify(due + 5*time.Second)
		if n := c.undelivered(); n > 1 {
			t.Errorf("%d reports are not known to be delivered", n)
		}
		if before > 25 {
			t.Errorf("%d calls within 45 s without responses, want growing pauses", before)
		}
	})
}

// TestPlatformDown has the platform answer with errors for 70 s. Afterwards all windows must
// arrive, none twice.
func TestPlatformDown(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		c.leaderReports()
		set := func(down bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.down = down
		}
		before := len(c.received())
		set(true)
		time.Sleep(70 * time.Second)
		set(false)
		during := len(c.received())
		// Pauses grow to 3 s, over four shorter ones.
		if during > before+27 {
			t.Errorf("%d calls while the platform was down, want growing pauses", during)
		}
		time.Sleep(20 * time.Second)
		if n := c.undelivered(); n > 1 {
			t.Errorf("%d reports are not known to be delivered", n)
		}
		seen := make(map[string]bool)
		for _, call := range c.received()[during:] {
			if seen[call.body] {
				t.Errorf("report %s was sent twice although it was accepted", call.body)
			}
			seen[call.body] = true
		}
		c.verify(90 * time.Second)
	})
}

// TestRefusedHolderStops has the platform refuse a holder because it has seen a higher
// token. The holder must make no further call in its term, and its successor must report.
func TestRefusedHolderStops(t *testing.T) {
	withSeeds(t, func(t *testing.T, seed uint64) {
		c := newCluster(t, seed)
		old := c.leaderReports()
		c.mu.Lock()
		c.fencing = true
		c.highest++
		token := c.highest - 1
		c.mu.Unlock()
		time.Sleep(20 * time.Second)
		refused := 0
		for _, call := range c.received() {
			if call.refused && call.token == token {
				refused++
			}
		}
		if refused != 1 {
			t.Errorf("%d calls were refused, want one", refused)
		}
		c.group.Kill(old)
		c.end(old)
		time.Sleep(30 * time.Second)
		c.verify(40 * time.Second)
		if n := c.undelivered(); n > 1 {
			t.Errorf("%d reports are not known to be delivered", n)
		}
	})
}
