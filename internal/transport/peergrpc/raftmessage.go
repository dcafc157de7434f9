package peergrpc

import (
	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/raft"
	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

func toProto(m raft.Message) *peerpb.RaftMessage {
	out := &peerpb.RaftMessage{
		Type:    uint32(m.Type),
		From:    m.From,
		To:      m.To,
		Term:    m.Term,
		Index:   m.Index,
		LogTerm: m.LogTerm,
		Commit:  m.Commit,
		Reject:  m.Reject,
		Hint:    m.Hint,
		Force:   m.Force,
		Sent:    int64(m.Sent),
		Round:   m.Round,
		ReadId:  m.ReadID,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &peerpb.RaftEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return out
}

func fromProto(m *peerpb.RaftMessage) raft.Message {
	out := raft.Message{
		Type:    raft.MessageType(m.GetType()),
		From:    m.GetFrom(),
		To:      m.GetTo(),
		Term:    m.GetTerm(),
		Index:   m.GetIndex(),
		LogTerm: m.GetLogTerm(),
		Commit:  m.GetCommit(),
		Reject:  m.GetReject(),
		Hint:    m.GetHint(),
		Force:   m.GetForce(),
		Sent:    clock.Instant(m.GetSent()),
		Round:   m.GetRound(),
		ReadID:  m.GetReadId(),
	}
	for _, e := range m.GetEntries() {
		out.Entries = append(out.Entries, raft.Entry{
			Index: e.GetIndex(),
			Term:  e.GetTerm(),
			Kind:  raft.EntryKind(e.GetKind()),
			Data:  e.GetData(),
		})
	}
	return out
}

// firstChunk returns the chunk that describes a snapshot and has no data.
func firstChunk(m raft.Message) *peerpb.SnapshotChunk {
	meta := m.Snapshot.Meta
	out := &peerpb.SnapshotChunk{
		To:            m.To,
		From:          m.From,
		Term:          m.Term,
		Index:         meta.Index,
		IndexTerm:     meta.Term,
		MembersIndex:  meta.MembersIndex,
		SettingsIndex: meta.SettingsIndex,
	}
	for _, member := range meta.Members {
		out.Members = append(out.Members, &peerpb.RaftMember{
			Id:      member.ID,
			Name:    member.Name,
			Address: member.Address,
			Voter:   member.Voter,
		})
	}
	return out
}

// fromChunks returns the snapshot message with the metadata of the first chunk
// and the data of all chunks.
func fromChunks(first *peerpb.SnapshotChunk, data []byte) raft.Message {
	meta := raft.SnapshotMeta{
		Index:         first.GetIndex(),
		Term:          first.GetIndexTerm(),
		MembersIndex:  first.GetMembersIndex(),
		SettingsIndex: first.GetSettingsIndex(),
	}
	for _, m := range first.GetMembers() {
		meta.Members = append(meta.Members, raft.Member{
			ID:      m.GetId(),
			Name:    m.GetName(),
			Address: m.GetAddress(),
			Voter:   m.GetVoter(),
		})
	}
	return raft.Message{
		Type:     raft.MsgSnapshot,
		From:     first.GetFrom(),
		To:       first.GetTo(),
		Term:     first.GetTerm(),
		Snapshot: &raft.Snapshot{Meta: meta, Data: data},
	}
}
