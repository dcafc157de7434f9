// Package raft is the consensus behind the replicated log, written from the
// description in "In Search of an Understandable Consensus Algorithm" (Ongaro
// and Ousterhout, extended version), called the Raft paper below, and from
// Ongaro's dissertation for PreVote, ReadIndex and leader transfer.
//
// Core is the algorithm alone: it takes events together with the instant at
// which they are handled, and returns in a Ready what must be stored, sent
// and applied. It reads no clock and does no input or output. Node drives a
// Core with storage, a transport and a state machine and implements
// replog.Log.
package raft
