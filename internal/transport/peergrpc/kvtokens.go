package peergrpc

import "github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"

// streamKVTokens is what a stream of a process that reports no KV tokens is taken to need: the
// part of a slot in the KV cache of the largest known engines, which is above the mean stream.
const streamKVTokens = 8192

// toKVTokens returns the KV tokens of a load. Those of an earlier version, which reports none,
// are estimated from its streams and pending prompts.
func toKVTokens(l *peerpb.EngineLoad) int {
	if reported := l.GetKvTokens(); reported > 0 {
		return int(reported)
	}
	return streamKVTokens*int(l.GetStreams()) + int(l.GetPromptTokens())
}
