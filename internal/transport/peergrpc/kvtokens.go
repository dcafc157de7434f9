package peergrpc

import (
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// streamKVTokens is what a stream of a process that reports no KV tokens is taken to need: the
// part of a slot in the KV cache of the largest known engines, which is above the mean stream.
const streamKVTokens = 8192

// toEarlierWork returns work in the form of an earlier version, which reports no KV tokens: they
// are estimated from the streams and the pending prompts of each engine.
func toEarlierWork(loads []*peerpb.EngineLoad, waiting map[string]uint64) fleet.Work {
	w := toWork(loads, waiting)
	for engine, load := range w.Engines {
		if load.KVTokens == 0 {
			load.KVTokens = streamKVTokens*load.Streams + load.PromptTokens
			w.Engines[engine] = load
		}
	}
	return w
}
