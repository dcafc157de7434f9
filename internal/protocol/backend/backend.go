// Package backend defines the messages that model engines and plain services
// exchange with the system, as their published protocol gives them.
package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// CompletionRequest asks an engine for one stream of tokens.
type CompletionRequest struct {
	// Attempt identifies this attempt; the engine repeats it in each event.
	Attempt string `json:"attempt"`
	// Model is the model deployment.
	Model string `json:"model"`
	// Prompt is the text to continue.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the number of tokens of the whole answer.
	MaxTokens int `json:"max_tokens"`
	// Priority orders work inside the engine; a higher number goes first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the offset of the first token wanted.
	ResumeFrom int `json:"resume_from,omitempty"`
	// TimeoutMillis bounds the work, in milliseconds; zero is no bound.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}

// TokenEvent is one token of a stream.
type TokenEvent struct {
	Attempt string `json:"attempt"`
	// Offset counts tokens of the whole answer from zero.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// DoneEvent ends a whole stream.
type DoneEvent struct {
	Attempt string `json:"attempt"`
	// Tokens is the number of tokens of the whole answer.
	Tokens int `json:"tokens"`
	// Digest is the hex SHA-256 of the whole answer's text.
	Digest string `json:"digest"`
}

// LoadReport is an engine's own account of its load.
type LoadReport struct {
	// Incarnation is new at each start of the engine.
	Incarnation string        `json:"incarnation"`
	Model       string        `json:"model"`
	Role        settings.Role `json:"role"`
	// Draining means that the engine takes no new work.
	Draining bool `json:"draining"`
	// Queued and Running count requests.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// QueuedPromptTokens counts prompt tokens not yet prefilled.
	QueuedPromptTokens int `json:"queued_prompt_tokens"`
	// AtUnixMilli is when the report was made, in the engine's wall time.
	AtUnixMilli int64 `json:"at_ms"`
}

// Names of the server-sent events of a completion stream.
const (
	EventToken = "token"
	EventDone  = "done"
	EventMoved = "moved"
	EventError = "error"
)

// Digest accumulates the digest of an answer's text.
type Digest struct {
	sum hash.Hash
	// buffer saves an allocation for each token.
	buffer []byte
}

// NewDigest returns the digest of the empty answer.
func NewDigest() *Digest {
	return &Digest{sum: sha256.New()}
}

// Add appends the text of one token.
func (d *Digest) Add(text string) {
	d.buffer = append(d.buffer[:0], text...)
	d.sum.Write(d.buffer)
}

// Hex returns the digest of the text added so far.
func (d *Digest) Hex() string {
	return hex.EncodeToString(d.sum.Sum(nil))
}
