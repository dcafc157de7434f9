package peergrpc

import (
	"context"
	"fmt"
	"hash/crc32"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

const (
	// sendQueueBatches is the number of batches that may wait for a slow replica.
	// Further ones are dropped, which is safe: consensus sends its messages again.
	sendQueueBatches = 256
	// maxEnvelopeBytes bounds the total size of the log entries in one envelope
	// with several messages.
	maxEnvelopeBytes = 2 << 20
	// chunkBytes is the size of a snapshot's chunks.
	chunkBytes = 256 << 10
	// reopenDelay is the time before a failed stream is opened again.
	reopenDelay = 50 * time.Millisecond
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ReplicaTransport sends consensus messages to other replicas. It implements
// raft.Transport.
type ReplicaTransport struct {
	pool      *Pool
	clusterID string
	// self is this replica's peer address.
	self string
	// commandSets are those that this replica applies.
	commandSets []store.CommandSet
	log         hclog.Logger

	ctx            context.Context
	cancel         context.CancelFunc
	sendersRunning sync.WaitGroup

	mu sync.Mutex // guards the fields below
	// addresses holds the address from which each replica last sent.
	addresses map[uint64]string
	// applied holds the command sets that each replica last announced.
	applied map[uint64][]store.CommandSet
	senders map[uint64]*sender
}

// NewReplicaTransport returns a transport for the replica at the peer address
// self. Close must be called.
func NewReplicaTransport(pool *Pool, clusterID, self string, log hclog.Logger) *ReplicaTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &ReplicaTransport{
		pool:      pool,
		clusterID: clusterID,
		self:      self,

		commandSets: store.CommandSets(),

		log:       log,
		ctx:       ctx,
		cancel:    cancel,
		addresses: make(map[uint64]string),
		applied:   make(map[uint64][]store.CommandSet),
		senders:   make(map[uint64]*sender),
	}
}

// Close stops all senders and waits for them.
func (t *ReplicaTransport) Close() {
	t.cancel()
	t.sendersRunning.Wait()
}

// setAddress records the address from which a replica sent.
func (t *ReplicaTransport) setAddress(id uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses[id] = address
}

// Send implements raft.Transport. It drops the messages if the replica's address
// is unknown or its queue is full.
func (t *ReplicaTransport) Send(to raft.Member, messages []raft.Message) {
	s := t.sender(to)
	if s == nil {
		return
	}
	select {
	case s.queue <- messages:
	default:
	}
}

// sender returns the sender for a replica. It returns nil if the replica's
// address is unknown or, where a new sender is needed, the transport is closed.
func (t *ReplicaTransport) sender(to raft.Member) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := to.Address
	if address == "" {
		address = t.addresses[to.ID]
	}
	s := t.senders[to.ID]
	if s != nil && (address == "" || s.address == address) {
		return s
	}
	if address == "" || t.ctx.Err() != nil {
		return nil
	}
	if s != nil {
		s.cancel()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	s = &sender{transport: t, id: to.ID, address: address, queue: make(chan []raft.Message, sendQueueBatches), cancel: cancel}
	t.senders[to.ID] = s
	t.sendersRunning.Go(func() { s.run(ctx) })
	return s
}

// sender sends batches over one stream to one replica.
type sender struct {
	transport *ReplicaTransport
	id        uint64
	address   string
	queue     chan []raft.Message
	cancel    context.CancelFunc
}

// run opens a stream when there is something to send, and again after it failed.
func (s *sender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			err := s.stream(ctx, first)
			s.transport.log.Debug("stream to replica ended", "peer", s.address, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reopenDelay):
		}
	}
}

// stream opens a stream and sends batch and then the queued batches until the
// stream fails or ctx ends.
func (s *sender) stream(ctx context.Context, batch []raft.Message) error {
	conn, err := s.transport.pool.conn(s.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerpb.NewReplicaClient(conn).Deliver(announceCommandSets(ctx, s.transport.commandSets))
	if err != nil {
		return fmt.Errorf("open stream to %s: %w", s.address, err)
	}
	for {
		for _, envelope := range s.envelopes(batch) {
			if err := stream.Send(envelope); err != nil {
				_, err = stream.CloseAndRecv()
				return fmt.Errorf("send messages to %s: %w", s.address, err)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case batch = <-s.queue:
		}
	}
}

// envelopes packs a batch into envelopes of bounded size.
func (s *sender) envelopes(batch []raft.Message) []*peerpb.Envelope {
	var out []*peerpb.Envelope
	size := 0
	for _, m := range batch {
		bytes := 0
		for _, e := range m.Entries {
			bytes += len(e.Data)
		}
		if len(out) == 0 || size+bytes > maxEnvelopeBytes {
			out = append(out, &peerpb.Envelope{ClusterId: s.transport.clusterID, To: s.id, FromAddress: s.transport.self})
			size = 0
		}
		last := out[len(out)-1]
		last.Messages = append(last.Messages, toProto(m))
		size += bytes
	}
	return out
}

// SendSnapshot implements raft.Transport.
func (t *ReplicaTransport) SendSnapshot(ctx context.Context, to raft.Member, m raft.Message) error {
	conn, err := t.pool.conn(to.Address)
	if err != nil {
		return err
	}
	stream, err := peerpb.NewReplicaClient(conn).InstallSnapshot(ctx)
	if err != nil {
		return fmt.Errorf("open snapshot stream to %s: %w", to.Address, err)
	}
	for _, chunk := range t.chunks(m) {
		if err := stream.Send(chunk); err != nil {
			break // CloseAndRecv returns the reason.
		}
	}
	if _, err := stream.CloseAndRecv(); err != nil {
		return fmt.Errorf("send snapshot to %s: %w", to.Address, err)
	}
	return nil
}

// chunks splits a snapshot into chunks that share its memory. The last one has
// the checksum of all data.
func (t *ReplicaTransport) chunks(m raft.Message) []*peerpb.SnapshotChunk {
	first := firstChunk(m)
	first.ClusterId = t.clusterID
	first.FromAddress = t.self
	out := []*peerpb.SnapshotChunk{first}
	rest := m.Snapshot.Data
	for len(rest) > 0 {
		n := min(chunkBytes, len(rest))
		out = append(out, &peerpb.SnapshotChunk{Data: rest[:n]})
		rest = rest[n:]
	}
	last := out[len(out)-1]
	last.Last = true
	last.Checksum = crc32.Checksum(m.Snapshot.Data, castagnoli)
	return out
}
