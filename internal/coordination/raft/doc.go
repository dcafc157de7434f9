// Package raft implements the Raft consensus algorithm for the replicated log.
// It follows "In Search of an Understandable Consensus Algorithm" (Ongaro and
// Ousterhout, extended version), cited as "Raft paper", and Ongaro's
// dissertation for PreVote, ReadIndex and leadership transfer, cited as
// "dissertation".
//
// Core contains only the algorithm. It receives events, each with the instant
// at which it is handled, and returns in a Ready what must be stored, sent and
// applied. It reads no clock and does no I/O. Node runs a Core with a storage,
// a transport and a state machine, and implements replog.Log.
package raft
