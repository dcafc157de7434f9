package peergrpc

import (
	"context"
	"slices"

	"google.golang.org/grpc/metadata"

	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// commandSetsKey is the gRPC metadata key under which a replica announces, on each stream
// of consensus messages, the command sets that it applies. Builds before it send no such
// metadata and ignore it.
const commandSetsKey = "lagoonshift-command-sets"

// announceCommandSets returns a context for a stream on which command sets are announced.
func announceCommandSets(ctx context.Context, sets []store.CommandSet) context.Context {
	for _, set := range sets {
		ctx = metadata.AppendToOutgoingContext(ctx, commandSetsKey, string(set))
	}
	return ctx
}

// announcedCommandSets returns the command sets that the sender of a stream announced. The
// result is not nil.
func announcedCommandSets(ctx context.Context) []store.CommandSet {
	out := []store.CommandSet{}
	for _, set := range metadata.ValueFromIncomingContext(ctx, commandSetsKey) {
		out = append(out, store.CommandSet(set))
	}
	return out
}

// setCommandSets records the command sets that a replica announced.
func (t *ReplicaTransport) setCommandSets(id uint64, announced []store.CommandSet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applied[id] = announced
}

// Applies reports whether a replica applies a command set, according to the newest message
// from it. heard is false if there was none.
func (t *ReplicaTransport) Applies(id uint64, set store.CommandSet) (applies, heard bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	announced, heard := t.applied[id]
	return slices.Contains(announced, set), heard
}
