package fakegroup

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
)

// linkQueueLength is the number of batches queued on a link; further batches are
// dropped.
const linkQueueLength = 1024

var errCut = errors.New("fakegroup: link is cut")

// linkKey identifies a link in one direction.
type linkKey struct {
	from, to int
}

// network delivers messages in order on each link, with delay and loss.
type network struct {
	group   *Group
	latency time.Duration
	stopped chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	rand  *rand.Rand
	cut   map[linkKey]bool
	delay map[linkKey]time.Duration
	drop  float64
	links map[linkKey]chan packet
}

// packet is a batch of messages that is due at the time at.
type packet struct {
	at       time.Time
	messages []raft.Message
}

func newNetwork(g *Group, latency time.Duration, seed uint64) *network {
	return &network{
		group:   g,
		latency: latency,
		stopped: make(chan struct{}),
		rand:    rand.New(rand.NewPCG(seed, seed+1)),
		cut:     make(map[linkKey]bool),
		delay:   make(map[linkKey]time.Duration),
		links:   make(map[linkKey]chan packet),
	}
}

// Cut takes down the link from one replica to another, in this direction only.
func (g *Group) Cut(from, to int) {
	g.network.mu.Lock()
	defer g.network.mu.Unlock()
	g.network.cut[linkKey{from, to}] = true
}

// CutOff takes down the links between a replica and all others, in both
// directions.
func (g *Group) CutOff(i int) {
	for j := range g.Size() {
		if j != i {
			g.Cut(i, j)
			g.Cut(j, i)
		}
	}
}

// Heal restores all links and removes delays and losses.
func (g *Group) Heal() {
	g.network.mu.Lock()
	defer g.network.mu.Unlock()
	clear(g.network.cut)
	clear(g.network.delay)
	g.network.drop = 0
}

// SetDelay sets the one-way delay of a link.
func (g *Group) SetDelay(from, to int, delay time.Duration) {
	g.network.mu.Lock()
	defer g.network.mu.Unlock()
	g.network.delay[linkKey{from, to}] = delay
}

// SetDrop sets the probability, 0 to 1, that a batch is lost.
func (g *Group) SetDrop(share float64) {
	g.network.mu.Lock()
	defer g.network.mu.Unlock()
	g.network.drop = share
}

func (n *network) isCut(from, to int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[linkKey{from, to}]
}

func (n *network) stop() {
	close(n.stopped)
	n.running.Wait()
}

// send queues a batch on its link, or drops it if the link is down or its queue
// full, or at random.
func (n *network) send(from, to int, messages []raft.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := linkKey{from, to}
	if n.cut[p] || n.rand.Float64() < n.drop {
		return
	}
	delay, ok := n.delay[p]
	if !ok {
		delay = n.latency
	}
	link := n.links[p]
	if link == nil {
		link = make(chan packet, linkQueueLength)
		n.links[p] = link
		n.running.Go(func() { n.carry(p, link) })
	}
	select {
	case link <- packet{at: time.Now().Add(delay), messages: messages}:
	default:
	}
}

// carry delivers the batches of one link in order, each after its delay. A batch
// is dropped if the link is down by then.
func (n *network) carry(p linkKey, link chan packet) {
	for {
		select {
		case <-n.stopped:
			return
		case next := <-link:
			time.Sleep(time.Until(next.at))
			if n.isCut(p.from, p.to) {
				continue
			}
			n.deliver(p.to, next.messages)
		}
	}
}

// deliver passes on the messages that are addressed to the current identity of a
// replica whose process runs.
func (n *network) deliver(to int, messages []raft.Message) {
	target := n.group.process(to)
	for _, m := range messages {
		if target != nil && !target.ended() && m.To == target.id {
			target.node.Deliver(m)
		}
	}
}

// endpoint is the raft.Transport of one process.
type endpoint struct {
	network *network
	from    int
	process *process
}

// Send implements raft.Transport.
func (e *endpoint) Send(to raft.Member, messages []raft.Message) {
	e.process.gate.pass()
	i := e.network.group.byID(to.ID)
	if i < 0 || e.process.killed.Load() {
		return
	}
	e.network.send(e.from, i, messages)
}

// SendSnapshot implements raft.Transport.
func (e *endpoint) SendSnapshot(ctx context.Context, to raft.Member, m raft.Message) error {
	e.process.gate.pass()
	i := e.network.group.byID(to.ID)
	time.Sleep(e.network.latency)
	if i < 0 || e.process.killed.Load() || ctx.Err() != nil || e.network.isCut(e.from, i) {
		return errCut
	}
	e.network.deliver(i, []raft.Message{m})
	return nil
}
