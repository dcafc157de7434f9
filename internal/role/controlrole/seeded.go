package controlrole

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raftstore"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	enginefleet "github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/state/disk"
	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc"
)

const (
	// SeededDeployment is the deployment name used when processes know only seed
	// addresses: any process that reaches them belongs to the deployment.
	SeededDeployment = "seeded"
	// reopenDelay is the delay before a stopped replica, such as one whose
	// storage failed, is reopened.
	reopenDelay = 500 * time.Millisecond
	// Within SeededOptions.CatchUp after a loss the group must be back at its full
	// number of voters. The fractions of it below leave time for two elections,
	// each at most twice the election timeout.
	replacementsPerCatchUp = 3
	rejoinsPerCatchUp      = 4
	// rejoinInterval is the interval at which a replica checks whether it must
	// rejoin the group.
	rejoinInterval = 250 * time.Millisecond
)

// seededTiming returns timing that suits VMs within one region where all control
// processes may restart at once: callers wait for the election that follows. The
// election timeout is more than four times the slowest sync of a working disk.
func seededTiming(catchUp time.Duration) raft.Timing {
	return raft.Timing{
		ElectionTimeout:         600 * time.Millisecond,
		Heartbeat:               80 * time.Millisecond,
		LeaseMargin:             60 * time.Millisecond,
		VoterReplacementTimeout: catchUp / replacementsPerCatchUp,
	}
}

// SeededOptions configures a control process that finds the others only through
// seed addresses.
type SeededOptions struct {
	PeerAddress string
	// ListenAddress is the address on which this process listens for peers. It
	// defaults to PeerAddress.
	ListenAddress string
	DataFolder    string
	// Seeds returns peer addresses of control processes, which may change over
	// time.
	Seeds func() []string
	// FirstStart reports whether the whole system is starting for the first time.
	// The process at the lowest seed address then forms the group; all others
	// join it.
	FirstStart func() bool
	// Voters is the number of voters to which the group grows. The first document
	// is accepted only once the group has that many.
	Voters int
	// CatchUp is the time after which the group must survive the next loss of a VM
	// or disk, from the end of the previous one.
	CatchUp time.Duration
	// RetryBound bounds the retries of all entries together at one service.
	RetryBound retry.Bound
	// UsageWindow is the length of the windows in which entries count the requests of
	// workspaces; zero if they don't.
	UsageWindow time.Duration
	Log         hclog.Logger
}

// Seeded is a running control process that found its group through seeds.
type Seeded struct {
	options  SeededOptions
	replica  *replica
	state    *store.Store
	server   *peerServer
	hub      *peergrpc.FleetHub
	detector *quarantine.Detector
	usage    *usageState
	gate     *applierGate
}

// ErrTooFewVoters means that the group has not yet grown to its full size.
var ErrTooFewVoters = errors.New("the control group has too few voters yet")

// RunSeeded runs a control process until ctx ends. A replica whose storage
// fails is reopened from disk, as after a restart. RunSeeded calls serve once for
// each opened replica; serve must return when its context ends.
func RunSeeded(ctx context.Context, o SeededOptions, serve func(context.Context, *Seeded) error) error {
	// What entries have used outlives a replica that is reopened.
	retries := retry.NewAggregator(clock.Boot{}, o.RetryBound)
	counted := newUsageState(o.UsageWindow)
	for ctx.Err() == nil {
		if err := runSeededOnce(ctx, o, retries, counted, serve); err != nil && ctx.Err() == nil {
			o.Log.Error("control replica stopped; reopening it", "pause", reopenDelay, "error", err)
		}
		if ctx.Err() == nil {
			clock.Sleep(ctx, reopenDelay)
		}
	}
	return nil
}

func runSeededOnce(ctx context.Context, o SeededOptions, retries *retry.Aggregator, counted *usageState, serve func(context.Context, *Seeded) error) error {
	if err := o.formFirstGroup(); err != nil {
		return err
	}
	state := store.New()
	r, err := openReplica(ctx, o.replicaOptions(), state, o.Log)
	if err != nil {
		return err
	}
	stopReplica := r.start(ctx)
	s := &Seeded{options: o, replica: r, state: state, server: newPeerServer(insecure.NewCredentials()), usage: counted, gate: newApplierGate(r)}
	s.detector = quarantine.NewDetector(clock.Boot{}, o.Log)
	s.hub = peergrpc.NewFleetHub(peergrpc.HubOptions{
		ReplicaID:        r.identity.ReplicaID,
		Document:         state.Document,
		ControlAddresses: s.controlAddresses,
		Leads: func() bool {
			_, leads := s.Authority()
			return leads
		},
		Quarantine: s.detector,
		Retries:    retries,
		Usage:      counted.counts,
		TrueTime:   counted.time,
		Log:        o.Log,
	})
	err = s.run(ctx, serve)
	if stopErr := stopReplica(); err == nil {
		err = stopErr
	}
	return err
}

// formFirstGroup creates the data folder of the group's first replica if this
// process is the one at the lowest seed address and FirstStart reports true.
func (o SeededOptions) formFirstGroup() error {
	seeds := o.Seeds()
	if !o.FirstStart() || len(seeds) == 0 || slices.Min(seeds) != o.PeerAddress {
		return nil
	}
	cluster, err := formGroup(SeededDeployment, o.PeerAddress, o.PeerAddress, o.DataFolder)
	if errors.Is(err, raftstore.ErrNotEmpty) {
		// A log without an identity is left by an interrupted earlier attempt.
		// Such a replica has never answered a request, so it can be deleted.
		o.Log.Warn("deleting the data folder of an interrupted first start", "data_folder", o.DataFolder, "error", err)
		if err := os.RemoveAll(o.DataFolder); err != nil {
			return fmt.Errorf("form the first group: %w", err)
		}
		cluster, err = formGroup(SeededDeployment, o.PeerAddress, o.PeerAddress, o.DataFolder)
	}
	switch {
	case errors.Is(err, ErrInitialized):
		return nil
	case err != nil:
		return fmt.Errorf("form the first group: %w", err)
	}
	o.Log.Info("control group formed", "cluster", cluster)
	return nil
}

// replicaOptions returns the options of this process's replica. The replica is
// named after its address, so that after a disk loss it replaces the member that
// it was before.
func (o SeededOptions) replicaOptions() replicaOptions {
	return replicaOptions{
		deployment:  SeededDeployment,
		name:        o.PeerAddress,
		peerAddress: o.PeerAddress,
		dataFolder:  o.DataFolder,
		peers:       o.otherSeeds,
		credentials: insecure.NewCredentials(),
		maxVoters:   o.Voters,
		timing:      seededTiming(o.CatchUp),
	}
}

func (o SeededOptions) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(o.Seeds()), func(address string) bool { return address == o.PeerAddress })
}

// run serves requests until ctx ends or the replica stops.
func (s *Seeded) run(ctx context.Context, serve func(context.Context, *Seeded) error) error {
	folder, err := disk.Open(s.options.DataFolder)
	if err != nil {
		return fmt.Errorf("open folder of the origins of streams and of the quarantine list: %w", err)
	}
	s.restoreQuarantine(folder)
	s.restoreOrigins(folder)
	control := peergrpc.NewControlServer(s.replica.log, s.state)
	control.Register(s.server.Server)
	s.hub.Register(s.server.Server)
	s.replica.register(s.server.Server)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.server.listen(cmp.Or(s.options.ListenAddress, s.options.PeerAddress)) })
	group.Go(func() error {
		<-ctx.Done()
		s.hub.Stop()
		return nil
	})
	group.Go(func() error { return s.replica.stopServer(ctx, s.server) })
	group.Go(func() error { return s.hub.Run(ctx) })
	group.Go(func() error { return s.rejoin(ctx) })
	group.Go(func() error { return s.keepQuarantine(ctx, folder) })
	group.Go(func() error { return s.keepOrigins(ctx, folder) })
	group.Go(func() error { return serve(ctx, s) })
	s.options.Log.Info("control started", "peer_address", s.options.PeerAddress, "document", s.state.Document().Version)
	return group.Wait()
}

// rejoin asks for membership while this replica knows no leader: it may have
// been replaced while it was down or unreachable.
func (s *Seeded) rejoin(ctx context.Context) error {
	lastLeader := time.Now()
	return clock.Every(ctx, rejoinInterval, func(ctx context.Context) {
		if s.replica.node.View().LeaderID != 0 {
			lastLeader = time.Now()
			return
		}
		if time.Since(lastLeader) < s.options.CatchUp/rejoinsPerCatchUp {
			return
		}
		lastLeader = time.Now()
		_, err := peergrpc.JoinAny(ctx, s.replica.pool, s.otherControls(), s.options.replicaOptions().joinRequest(s.replica.identity))
		s.options.Log.Info("asked to rejoin the group", "error", err)
	})
}

// otherControls returns the peer addresses of the other seeds and replicas.
func (s *Seeded) otherControls() []string {
	peers := append(s.options.otherSeeds(), s.controlAddresses()...)
	slices.Sort(peers)
	return slices.DeleteFunc(slices.Compact(peers), func(address string) bool { return address == s.options.PeerAddress })
}

// controlAddresses returns the peer addresses of all replicas of the group.
func (s *Seeded) controlAddresses() []string {
	return s.replica.node.View().MemberAddresses
}

// PutDocument commits a document and returns once that version, or a higher one,
// is committed and synced. Before the first document it fails with
// ErrTooFewVoters until the group has its full number of voters.
func (s *Seeded) PutDocument(ctx context.Context, version uint64, content []byte) error {
	if voters := len(s.replica.node.View().Voters); voters < s.options.Voters && s.state.Document().Version == 0 {
		return fmt.Errorf("%w: %d of %d", ErrTooFewVoters, voters, s.options.Voters)
	}
	command := store.Command{Document: &document.Put{Version: version, Content: content}}
	encoded, err := command.Encode()
	if err != nil {
		return err
	}
	applied, err := s.replica.log.Submit(ctx, encoded)
	if err != nil {
		return fmt.Errorf("commit document %d: %w", version, err)
	}
	_, err = store.DecodeResult(applied.Result)
	return err
}

// ReadDocument returns the newest committed document; the read is linearizable.
func (s *Seeded) ReadDocument(ctx context.Context) (document.Document, error) {
	if err := s.replica.log.ReadBarrier(ctx); err != nil {
		return document.Document{}, fmt.Errorf("read document: %w", err)
	}
	return s.state.Document(), nil
}

// IsVoter reports whether this replica is a voter.
func (s *Seeded) IsVoter() bool {
	view := s.replica.node.View()
	return slices.Contains(view.Voters, view.ReplicaID)
}

// Document returns the newest document that this replica has applied.
func (s *Seeded) Document() document.Document {
	return s.state.Document()
}

// Entries returns the entries connected to this replica, each
// incarnation once.
func (s *Seeded) Entries() []peergrpc.EntryInfo {
	return s.hub.Entries()
}

// Withdraw replaces the set of engines that entries send no requests to, by ID.
func (s *Seeded) Withdraw(engines []string) {
	s.hub.Withdraw(engines)
}

// Pace returns the recent streams of all entries, by service.
func (s *Seeded) Pace() map[string]enginefleet.Pace {
	return s.hub.Pace()
}

// Demand returns what callers ask for at all entries, by service.
func (s *Seeded) Demand() map[string]enginefleet.DemandRate {
	return s.hub.Demand()
}

// Loads returns the load reported by the entries, by engine ID.
func (s *Seeded) Loads() map[string]enginefleet.Load {
	return s.hub.Loads()
}

// SetEngines sends the entries a new list of engines.
func (s *Seeded) SetEngines(list enginefleet.List) {
	s.hub.SetEngines(list)
}

// Lease returns this replica's authority to act for the deployment; ok is false if it
// has none.
func (s *Seeded) Lease() (a replog.Authority, ok bool) {
	return s.replica.node.Authority()
}

// Authority returns the term in which this replica may currently send orders to
// engines; ok is false if it may not.
func (s *Seeded) Authority() (term uint64, ok bool) {
	authority, ok := s.replica.node.Authority()
	return authority.Term, ok
}
