package quarantine_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
)

var (
	waveSeeds = flag.Int("waves.seeds", 12, "seeds of each simulation of crashes")
	waveFirst = flag.Int("waves.first", 1, "first seed of the simulations of crashes")
)

const (
	// trafficStep is the resolution of the simulated traffic, and sendBound how long
	// after the fifth crash requests with a deadly part may still be sent freely.
	trafficStep = 10 * time.Millisecond
	sendBound   = 3 * time.Second
	// lateSends is how many requests with it may be sent later than that.
	lateSends = 3
	// restartTime is how long a server is away after its end.
	restartTime = 3 * time.Second
)

// traffic describes a simulated service.
type traffic struct {
	servers int
	// rate is in requests a second; queue is how many wait at a server.
	rate    float64
	queue   int
	success float64
	// waveEvery is the mean time between waves of crashes that no prompt causes, and
	// waveSize the most servers that end in one; none without waveEvery.
	waveEvery time.Duration
	waveSize  int
	deadly    []deadlyPart
	duration  time.Duration
}

// deadlyPart is a part that ends the servers which begin to answer it.
type deadlyPart struct {
	name string
	// depth is its position in prompts.
	depth int
	// share is that of the requests which have it, and headers that of their crashes
	// in which the server has sent headers before.
	share, headers float64
}

func (c traffic) String() string {
	out := fmt.Sprintf("%d servers, %.0f/s, %d waiting, success %.2f, waves each %v of up to %d", c.servers, c.rate, c.queue, c.success, c.waveEvery.Round(time.Millisecond), c.waveSize)
	for _, part := range c.deadly {
		out += fmt.Sprintf(", %s at depth %d, share %.3f, headers %.1f", part.name, part.depth, part.share, part.headers)
	}
	return out
}

// waiting is a request that a simulated server holds.
type waiting struct {
	id      string
	parts   []string
	deadly  int // index of the deadly part, or -1
	crashes int
}

type simulatedServer struct {
	id          int
	incarnation int
	queue       []waiting
	backAt      time.Duration
}

// outcome is what a simulation shows.
type outcome struct {
	// sound are the parts that were blocked though they end no server.
	sound []string
	// crashes, late and after are, by deadly part, the servers that it ended, the
	// requests with it that were sent later than sendBound after the fifth of these, and
	// the time from the fifth to the quarantine; negative if that came first.
	crashes, late map[string]int
	after         map[string]time.Duration
	// lacked is what the detector lacked sendBound after the fifth crash, by deadly part.
	lacked map[string]string
	ended  int
}

// simulation plays traffic against a deployment.
type simulation struct {
	traffic
	random  *rand.Rand
	d       *deployment
	servers []*simulatedServer
	now     time.Duration
	sent    int
	fifth   map[string]time.Duration
	blocked map[string]time.Duration
	log     bytes.Buffer
	outcome
}

// prompt draws the parts of a request: one of three systems, its customers and their
// sessions, few of which have most of the requests.
func (s *simulation) prompt() (parts []string, deadly int) {
	system := s.random.IntN(3)
	customer := int(10 * math.Pow(s.random.Float64(), 2))
	session := int(10 * math.Pow(s.random.Float64(), 2))
	parts = []string{fmt.Sprint("system-", system), fmt.Sprintf("customer-%d-%d", system, customer), fmt.Sprintf("session-%d-%d-%d", system, customer, session)}
	draw := s.random.Float64()
	for i, part := range s.deadly {
		if draw < part.share {
			parts[part.depth] = part.name
			return parts, i
		}
		draw -= part.share
	}
	return parts, -1
}

// send gives a request to a server that is up, unless one of its parts is in
// quarantine.
func (s *simulation) send(w waiting) {
	entry := s.d.entries[s.random.IntN(len(s.d.entries))]
	if _, _, blocked := entry.Blocked(w.parts); blocked {
		return
	}
	up := slices.DeleteFunc(slices.Clone(s.servers), func(v *simulatedServer) bool { return v.backAt > s.now })
	if len(up) == 0 {
		return
	}
	if w.deadly >= 0 {
		name := s.deadly[w.deadly].name
		if fifth, ok := s.fifth[name]; ok && s.now > fifth+sendBound {
			s.late[name]++
		}
	}
	if v := up[s.random.IntN(len(up))]; len(v.queue) < s.queue {
		v.queue = append(v.queue, w)
	}
}

// serve has the servers handle what they can in a step: together as much as arrives.
func (s *simulation) serve() {
	for _, v := range s.servers {
		for n := s.poisson(s.rate / float64(len(s.servers)) * trafficStep.Seconds()); n > 0 && len(v.queue) > 0; n-- {
			s.serveFirst(v, s.d.entries[s.random.IntN(len(s.d.entries))])
		}
	}
}

// serveFirst has a server end with the first request of its queue: by an error, an
// answer, or its crash.
func (s *simulation) serveFirst(v *simulatedServer, entry *quarantine.Guard) {
	w := v.queue[0]
	switch {
	case s.random.Float64() >= s.success:
		v.queue = v.queue[1:]
	case w.deadly < 0:
		v.queue = v.queue[1:]
		entry.Answered("llm", w.parts)
	default:
		name := s.deadly[w.deadly].name
		s.crashes[name]++
		if s.crashes[name] == 5 {
			s.fifth[name] = s.now
		}
		s.crash(v, s.random.Float64() < s.deadly[w.deadly].headers)
	}
}

// crash ends a server. begun is set if it had sent headers for its first request; a
// few of the others have some too.
func (s *simulation) crash(v *simulatedServer, begun bool) {
	s.ended++
	v.incarnation++
	e := fleet.Engine{ID: fmt.Sprintf("%d/%d", v.id, v.incarnation), Service: "llm"}
	lost := v.queue
	v.queue, v.backAt = nil, s.now+restartTime
	order := s.random.Perm(len(lost))
	for _, i := range order {
		suspect := quarantine.Suspect{Request: lost[i].id, Fingerprint: quarantine.NewFingerprint("caller", []byte(lost[i].id)), Parts: lost[i].parts}
		suspect.Begun = i == 0 && begun || s.random.Float64() < 0.01
		s.d.entries[s.random.IntN(len(s.d.entries))].Crashed(e, suspect)
		lost[i].crashes++
		if !suspect.Begun && lost[i].crashes < 2 {
			defer s.send(lost[i])
		}
	}
}

// simulate plays traffic in virtual time.
func simulate(t *testing.T, seed int, c traffic) (out outcome) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := &simulation{
			traffic: c, random: rand.New(rand.NewPCG(uint64(seed), 1)), d: newDeployment(9),
			fifth: make(map[string]time.Duration), blocked: make(map[string]time.Duration),
			outcome: outcome{crashes: make(map[string]int), late: make(map[string]int), after: make(map[string]time.Duration), lacked: make(map[string]string)},
		}
		s.d.replicas = []*quarantine.Detector{quarantine.NewDetector(clock.NewRuntime(), hclog.New(&hclog.LoggerOptions{Output: &s.log, JSONFormat: true, Level: hclog.Warn}))}
		for i := range c.servers {
			s.servers = append(s.servers, &simulatedServer{id: i})
		}
		// The queues are full of sound requests, and the service has been answering.
		sound := s.traffic.deadly
		s.traffic.deadly = nil
		for range c.servers * (c.queue + 3) {
			s.arrive()
		}
		s.d.warm()
		s.traffic.deadly = sound
		nextWave := s.pause()
		for s.now < c.duration {
			time.Sleep(trafficStep)
			s.now += trafficStep
			for n := s.poisson(c.rate * trafficStep.Seconds()); n > 0; n-- {
				s.arrive()
			}
			s.serve()
			if s.now >= nextWave {
				s.wave()
				nextWave = s.now + s.pause()
			}
			if s.now%reportInterval == 0 {
				s.exchange()
			}
		}
		for name, fifth := range s.fifth {
			at, ok := s.blocked[name]
			if !ok {
				at = c.duration
			}
			s.after[name] = at - fifth
		}
		out = s.outcome
	})
	return out
}

func (s *simulation) arrive() {
	s.sent++
	parts, deadly := s.prompt()
	s.send(waiting{id: fmt.Sprint("r", s.sent), parts: parts, deadly: deadly})
}

// exchange exchanges reports and lists and notes what is in quarantine.
func (s *simulation) exchange() {
	s.d.exchange(false)
	lists, _ := s.d.replicas[0].PartLists()
	for name, fifth := range s.fifth {
		if _, known := s.blocked[name]; !known && s.now >= fifth+sendBound && s.lacked[name] == "" {
			s.lacked[name] = s.d.replicas[0].Explain(name)
		}
	}
	for _, q := range lists.Quarantined {
		if _, known := s.blocked[q.Part]; known || strings.Contains(q.Part, ":") {
			continue
		}
		s.blocked[q.Part] = s.now
		if !strings.HasPrefix(q.Part, "deadly") {
			lines := strings.Split(strings.TrimSpace(s.log.String()), "\n")
			s.sound = append(s.sound, q.Part+" "+lines[len(lines)-1])
		}
	}
}

// pause draws the time until the next wave.
func (s *simulation) pause() time.Duration {
	if s.waveEvery == 0 {
		return time.Hour
	}
	return s.waveEvery/2 + time.Duration(s.random.Int64N(int64(s.waveEvery)))
}

// wave ends several servers at once.
func (s *simulation) wave() {
	size := 1 + s.random.IntN(s.waveSize)
	for _, i := range s.random.Perm(len(s.servers))[:min(size, len(s.servers))] {
		if v := s.servers[i]; v.backAt <= s.now {
			s.crash(v, false)
		}
	}
}

// poisson draws the number of arrivals in a step.
func (s *simulation) poisson(mean float64) (n int) {
	for sum := s.random.ExpFloat64(); sum < mean; sum += s.random.ExpFloat64() {
		n++
	}
	return n
}

// drawTraffic draws a service, with waves if these are wanted.
func drawTraffic(r *rand.Rand, waves bool) traffic {
	c := traffic{
		servers: 12 + r.IntN(7), rate: 20 + 140*r.Float64(), queue: 5 + r.IntN(56), success: 0.3 + 0.7*r.Float64(), duration: 30 * time.Second,
	}
	if waves {
		c.waveEvery, c.waveSize = 500*time.Millisecond+time.Duration(r.Int64N(int64(4500*time.Millisecond))), 1+r.IntN(5)
	}
	return c
}

// drawDeadly draws a part that ends servers.
func drawDeadly(r *rand.Rand, name string) deadlyPart {
	return deadlyPart{name: name, depth: r.IntN(3), share: 0.01 + 0.19*math.Pow(r.Float64(), 2), headers: float64(r.IntN(3)) / 2}
}

// forSeeds plays the drawn services side by side and returns the outcomes by seed.
func forSeeds(t *testing.T, draw func(r *rand.Rand) traffic, check func(seed int, c traffic, out outcome)) {
	t.Helper()
	var mu sync.Mutex
	t.Run("seeds", func(t *testing.T) {
		for seed := *waveFirst; seed < *waveFirst+*waveSeeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				c := draw(rand.New(rand.NewPCG(uint64(seed), 2)))
				out := simulate(t, seed, c)
				mu.Lock()
				defer mu.Unlock()
				check(seed, c, out)
			})
		}
	})
}

// TestCrashWavesBlameNoPart ends servers again and again under overload and errors,
// for reasons outside the prompts.
func TestCrashWavesBlameNoPart(t *testing.T) {
	forSeeds(t, func(r *rand.Rand) traffic { return drawTraffic(r, true) }, func(seed int, c traffic, out outcome) {
		if len(out.sound) > 0 {
			t.Errorf("seed %d (%v): %v in quarantine after %d crashes, want nothing", seed, c, out.sound, out.ended)
		}
	})
}

// TestDeadlyPartsAreFoundInTime has one or two parts end servers, with and without
// waves of other crashes.
func TestDeadlyPartsAreFoundInTime(t *testing.T) {
	if parts, late := playDeadlyParts(t); late > 0 {
		t.Errorf("%d of %d parts were found late, want none", late, parts)
	}
}

// TestSoundPartsStayFreeBesideDeadlyParts checks that the same services have no sound part in quarantine.
func TestSoundPartsStayFreeBesideDeadlyParts(t *testing.T) { playDeadlyParts(t) }

// playDeadlyParts plays services with one and two deadly parts, with and without waves of other
// crashes, and reports sound parts in quarantine as errors. It returns the number of deadly
// parts with five crashes, and of those that more than lateSends requests had too late.
func playDeadlyParts(t *testing.T) (parts, late int) {
	t.Helper()
	for _, play := range []struct {
		name  string
		parts int
		waves bool
	}{{"one", 1, false}, {"one beside waves", 1, true}, {"two", 2, false}, {"two beside waves", 2, true}} {
		t.Run(play.name, func(t *testing.T) {
			var crashes []int
			var after []time.Duration
			worst, over, sound := 0, 0, 0
			forSeeds(t, func(r *rand.Rand) traffic {
				c := drawTraffic(r, play.waves)
				for i := range play.parts {
					c.deadly = append(c.deadly, drawDeadly(r, fmt.Sprint("deadly-", i)))
				}
				return c
			}, func(seed int, c traffic, out outcome) {
				if len(out.sound) > 0 {
					sound++
					t.Errorf("seed %d (%v): sound parts %v in quarantine", seed, c, out.sound)
				}
				for _, name := range slices.Sorted(maps.Keys(out.after)) {
					crashes, after = append(crashes, out.crashes[name]), append(after, out.after[name])
					worst = max(worst, out.late[name])
					if out.late[name] > lateSends {
						over++
						t.Logf("seed %d (%v): %d requests with %s sent late, %d crashes, quarantine %v after the fifth; lacked %s", seed, c, out.late[name], name, out.crashes[name], out.after[name], out.lacked[name])
					}
				}
			})
			parts, late = parts+len(after), late+over
			slices.Sort(crashes)
			slices.Sort(after)
			if len(after) > 0 {
				t.Logf("%d parts with five crashes: crashes median %d, worst %d; quarantine after the fifth: median %v, worst %v; late sends worst %d, over the bound %d, plays with sound parts blocked %d",
					len(after), crashes[len(crashes)/2], crashes[len(crashes)-1], after[len(after)/2], after[len(after)-1], worst, over, sound)
			}
		})
	}
	return parts, late
}
