// Package backend defines the messages that this system exchanges with backend
// servers, which are model engines and plain services. Their published protocol
// fixes the messages.
package backend

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// CompletionRequest asks an engine for one stream of tokens.
type CompletionRequest struct {
	// Attempt identifies this attempt; the engine echoes it in each event.
	Attempt string `json:"attempt"`
	// Model names the model deployment.
	Model string `json:"model"`
	// Prompt is the text to continue.
	Prompt string `json:"prompt"`
	// MaxTokens limits the tokens of the complete answer, including those before
	// ResumeFrom.
	MaxTokens int `json:"max_tokens"`
	// Priority orders requests within the engine; higher numbers go first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the offset of the first token to send.
	ResumeFrom int `json:"resume_from,omitempty"`
	// TimeoutMillis limits the time for the request, in milliseconds; zero
	// means no limit.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
}

// TokenEvent is one token of a stream.
type TokenEvent struct {
	Attempt string `json:"attempt"`
	// Offset is the token's index in the complete answer, from zero.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// DoneEvent is the last event of a complete stream.
type DoneEvent struct {
	Attempt string `json:"attempt"`
	// Tokens is the number of tokens of the complete answer.
	Tokens int `json:"tokens"`
	// Digest is the hex SHA-256 of the complete answer's text.
	Digest string `json:"digest"`
}

// LoadReport is the load that an engine reports of itself.
type LoadReport struct {
	// Incarnation changes at each start of the engine.
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
	// Software is the version of the engine's software. What two versions generate
	// doesn't fit together. Empty if all engines of the model run the same version.
	Software string `json:"software,omitempty"`
	// AtUnixMilli is the time of the report by the engine's wall clock, in
	// milliseconds since the Unix epoch.
	AtUnixMilli int64 `json:"at_ms"`
}

// Names of the server-sent events of a completion stream.
const (
	EventToken = "token"
	EventDone  = "done"
	EventMoved = "moved"
	EventError = "error"
)

// Digest computes the SHA-256 of an answer's text. It is not safe for
// concurrent use.
type Digest struct {
	sum hash.Hash
	// buffer is reused to avoid an allocation for each token.
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

// Hex returns the digest of the text added so far as lower-case hex.
func (d *Digest) Hex() string {
	return hex.EncodeToString(d.sum.Sum(nil))
}
