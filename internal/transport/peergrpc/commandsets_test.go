package peergrpc

import (
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// TestReplicasAnnounceCommandSets has a replica join, once one of this build and once one
// that announces nothing, as earlier builds do. It guards against a replica that counts as
// able to apply a command that it doesn't know, and against one that is never heard.
func TestReplicasAnnounceCommandSets(t *testing.T) {
	for name, old := range map[string]bool{"this build": false, "earlier build": true} {
		t.Run(name, func(t *testing.T) {
			one := startReplica(t, 1, "one")
			submit(t, one, "a")
			if _, heard := one.transport.Applies(2, store.UsageCommands); heard {
				t.Error("a replica counts as heard before it has joined")
			}
			two := startReplicaOf(t, 2, "two", old)
			for join(t, one, two, "d", "two") != nil {
				time.Sleep(shortTiming.Heartbeat)
			}
			submit(t, two, "b")
			applies, heard := one.transport.Applies(2, store.UsageCommands)
			if applies == old || !heard {
				t.Errorf("replica 2 applies the commands: %t, heard: %t; want %t and true", applies, heard, !old)
			}
			if applies, _ := one.transport.Applies(2, "other"); applies {
				t.Error("replica 2 applies commands that no build has")
			}
		})
	}
}
