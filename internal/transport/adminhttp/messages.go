package adminhttp

import (
	"encoding/json"

	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Problem is an error response in the problem details format (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// Subtree is one subtree of the settings with its version.
type Subtree struct {
	Version uint64          `json:"version"`
	Content json.RawMessage `json:"content"`
}

// SettingsAnswer holds the settings by subtree.
type SettingsAnswer struct {
	// Version is the newest accepted settings version.
	Version  uint64             `json:"version"`
	Subtrees map[string]Subtree `json:"subtrees"`
}

// EditRequest is one subtree of a ChangeRequest.
type EditRequest struct {
	Path        string `json:"path"`
	BaseVersion uint64 `json:"base_version"`
	// Content is the new content; null removes the subtree.
	Content json.RawMessage `json:"content"`
}

// ChangeRequest is the body of a settings change.
type ChangeRequest struct {
	// Number identifies the change among the operator's changes; a change that
	// is sent again keeps its number.
	Number uint64        `json:"number"`
	Edits  []EditRequest `json:"edits"`
}

// ChangeAnswer is the answer to a settings change.
type ChangeAnswer struct {
	settings.ChangeResult
	// Current is, after a conflict, the current subtree at Path.
	Current *Subtree `json:"current,omitempty"`
}

// HistoryAnswer lists accepted changes, newest first.
type HistoryAnswer struct {
	Changes []settings.HistoryEntry `json:"changes"`
}

// StatusAnswer describes the deployment as one control replica sees it.
type StatusAnswer struct {
	Replica ReplicaStatus `json:"replica"`
	// Settings reports where the newest settings version is in force.
	Settings inforce.Report `json:"settings"`
	Members  []MemberStatus `json:"members"`
	// LeavingVMs holds the addresses of VMs that the platform reported as
	// leaving; they get no new work.
	LeavingVMs []string `json:"leaving_vms"`
}

// ReplicaStatus describes a control replica and its consensus group.
type ReplicaStatus struct {
	ID            uint64   `json:"id"`
	ClusterID     string   `json:"cluster_id"`
	Term          uint64   `json:"term"`
	LeaderID      uint64   `json:"leader_id"`
	LeaderAddress string   `json:"leader_address,omitempty"`
	Voters        []uint64 `json:"voters"`
	CommitIndex   uint64   `json:"commit_index"`
	AppliedIndex  uint64   `json:"applied_index"`
}

// MemberStatus describes one entry.
type MemberStatus struct {
	member.Member
	// SettingsVersion is the settings version that the entry has in force.
	SettingsVersion uint64 `json:"settings_version"`
	// RenewedMillisAgo is the time since the entry last renewed its lease at the
	// responding replica, in milliseconds; it is negative if there was no renewal.
	RenewedMillisAgo int64 `json:"renewed_ms_ago"`
}

// EntryAnswer describes what one entry has in force.
type EntryAnswer struct {
	Name string `json:"name"`
	// Lease reports whether the entry may take new work now.
	Lease    bool                    `json:"lease"`
	Version  uint64                  `json:"version"`
	Settings *settings.Configuration `json:"settings"`
	Members  []member.Member         `json:"members"`
}
