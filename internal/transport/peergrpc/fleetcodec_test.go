package peergrpc

import (
	"testing"

	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// TestSplitUpdatesAreEncodedAlike guards against entries that get other fields, or a message of
// another length, than with gRPC's codec.
func TestSplitUpdatesAreEncodedAlike(t *testing.T) {
	codec := fleetCodec{encoding.GetCodecV2(grpcproto.Name)}
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 400)
		update := &peerpb.FleetUpdate{
			ReplicaId:       rapid.Uint64().Draw(t, "replica"),
			DocumentVersion: rapid.Uint64().Draw(t, "version"),
			DigestReport:    rapid.Uint64().Draw(t, "report"),
			Document:        content.Draw(t, "document"),
			LoadDigest:      content.Draw(t, "digest"),
		}
		if rapid.Bool().Draw(t, "has list") {
			update.ListChange = &peerpb.ListChange{
				Whole:      content.Draw(t, "list"),
				Incomplete: rapid.Bool().Draw(t, "incomplete"),
				Removed:    rapid.SliceOf(rapid.Uint32()).Draw(t, "removed"),
				Changed:    []*peerpb.Engine{{Id: "a", Number: 1}},
			}
		}
		want, err := proto.Marshal(update)
		if err != nil {
			t.Fatal(err)
		}
		sent, err := codec.Marshal(split(proto.CloneOf(update)))
		if err != nil {
			t.Fatal(err)
		}
		encoded := sent.Materialize()
		if len(encoded) != len(want) {
			t.Errorf("got %d bytes, want %d", len(encoded), len(want))
		}
		var got peerpb.FleetUpdate
		if err := proto.Unmarshal(encoded, &got); err != nil || !proto.Equal(&got, update) {
			t.Errorf("got %v, error %v, want %v", &got, err, update)
		}
	})
}

// TestLargeFieldsAreNotCopied guards against a copy of the document, the list and the digest for
// each entry.
func TestLargeFieldsAreNotCopied(t *testing.T) {
	codec := fleetCodec{encoding.GetCodecV2(grpcproto.Name)}
	large := func() []byte { return make([]byte, 64<<10) }
	fields := [][]byte{large(), large(), large()}
	sent, err := codec.Marshal(split(&peerpb.FleetUpdate{ReplicaId: 1, Document: fields[0], LoadDigest: fields[1], ListChange: &peerpb.ListChange{Whole: fields[2]}}))
	if err != nil {
		t.Fatal(err)
	}
	for i, field := range fields {
		shared := false
		for _, part := range sent {
			data := part.ReadOnlyData()
			shared = shared || len(data) == len(field) && &data[0] == &field[0]
		}
		if !shared {
			t.Errorf("field %d was copied", i)
		}
	}
}

// TestBuffersHaveTheSizeOfUpdates guards against a buffer of 1 MB for each entry whose first
// update has the rate limits of all servers.
func TestBuffersHaveTheSizeOfUpdates(t *testing.T) {
	codec := fleetCodec{encoding.GetCodecV2(grpcproto.Name)}
	for _, limits := range []int{1, 100, 3000} {
		update := &peerpb.FleetUpdate{}
		for range limits {
			update.RateLimits = append(update.RateLimits, &peerpb.RateLimit{Server: "i-00000000000000000/1700000000000", Limited: true, PerSecond: 2.9})
		}
		sent, err := codec.Marshal(split(proto.CloneOf(update)))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range sent {
			if data := part.ReadOnlyData(); cap(data) > max(maxPooledBytes, 5*len(data)/4) {
				t.Errorf("%d limits: buffer of %d bytes for %d", limits, cap(data), len(data))
			}
		}
		var got peerpb.FleetUpdate
		if err := proto.Unmarshal(sent.Materialize(), &got); err != nil || !proto.Equal(&got, update) {
			t.Errorf("%d limits: got another update, error %v", limits, err)
		}
	}
}
