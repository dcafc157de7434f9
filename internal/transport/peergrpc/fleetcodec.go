package peergrpc

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonshift/lagoonshift/internal/transport/peergrpc/peerpb"
)

// Field numbers of FleetUpdate and ListChange in peer.proto.
var (
	documentField   = (&peerpb.FleetUpdate{}).ProtoReflect().Descriptor().Fields().ByName("document").Number()
	loadDigestField = (&peerpb.FleetUpdate{}).ProtoReflect().Descriptor().Fields().ByName("load_digest").Number()
	listChangeField = (&peerpb.FleetUpdate{}).ProtoReflect().Descriptor().Fields().ByName("list_change").Number()
	wholeField      = (&peerpb.ListChange{}).ProtoReflect().Descriptor().Fields().ByName("whole").Number()
)

// maxPooledBytes is the size above which gRPC's pool of buffers has none below 1 MB. The first
// update of an entry can be larger: it has the rate limits of all servers (180 kB for 2,999) and
// the latest prompt prefixes.
const maxPooledBytes = 32 << 10

// CodecOption returns the option that a server with a FleetHub needs.
func CodecOption() grpc.ServerOption {
	return grpc.ForceServerCodecV2(fleetCodec{encoding.GetCodecV2(grpcproto.Name)})
}

// splitUpdate is an update whose large fields, which are the same for many entries, are kept
// apart so that they are sent without a copy for each entry. gRPC copies a message of more than
// 32 kB into a buffer of 1 MB, and hundreds of them are in use when all entries connect at once.
type splitUpdate struct {
	rest             *peerpb.FleetUpdate
	document, digest []byte
	change           *peerpb.ListChange
	whole            []byte
}

// split takes the large fields out of an update, which must not be used any more. The content
// of these fields must never change.
func split(update *peerpb.FleetUpdate) *splitUpdate {
	s := &splitUpdate{rest: update, document: update.GetDocument(), digest: update.GetLoadDigest()}
	update.Document, update.LoadDigest = nil, nil
	if change := update.GetListChange(); len(change.GetWhole()) > 0 {
		update.ListChange = nil
		s.whole = change.GetWhole()
		s.change = &peerpb.ListChange{Changed: change.GetChanged(), Removed: change.GetRemoved(), Incomplete: change.GetIncomplete()}
	}
	return s
}

// encode returns the encoded update. Its large fields are not copied.
func (s *splitUpdate) encode(codec encoding.CodecV2) (mem.BufferSlice, error) {
	out, err := encodeExactly(codec, s.rest)
	if err != nil {
		return nil, err
	}
	out = appendBytes(out, documentField, nil, s.document)
	out = appendBytes(out, loadDigestField, nil, s.digest)
	if len(s.whole) == 0 {
		return out, nil
	}
	change, err := proto.Marshal(s.change)
	if err != nil {
		out.Free()
		return nil, err
	}
	change = protowire.AppendTag(change, wholeField, protowire.BytesType)
	change = protowire.AppendVarint(change, uint64(len(s.whole)))
	return appendBytes(out, listChangeField, change, s.whole), nil
}

// encodeExactly encodes a message. One of more than maxPooledBytes gets a buffer of its own size.
func encodeExactly(codec encoding.CodecV2, message proto.Message) (mem.BufferSlice, error) {
	if proto.Size(message) <= maxPooledBytes {
		return codec.Marshal(message)
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(encoded)}, nil
}

// appendBytes adds a field whose content is two slices, unless the second one is empty.
func appendBytes(out mem.BufferSlice, field protowire.Number, start, rest []byte) mem.BufferSlice {
	if len(rest) == 0 {
		return out
	}
	head := protowire.AppendTag(nil, field, protowire.BytesType)
	head = protowire.AppendVarint(head, uint64(len(start)+len(rest)))
	return append(out, mem.SliceBuffer(append(head, start...)), mem.SliceBuffer(rest))
}

// fleetCodec is gRPC's codec for protocol buffers that also encodes a splitUpdate.
type fleetCodec struct{ encoding.CodecV2 }

// Marshal implements encoding.CodecV2.
func (c fleetCodec) Marshal(message any) (mem.BufferSlice, error) {
	if update, ok := message.(*splitUpdate); ok {
		return update.encode(c.CodecV2)
	}
	return c.CodecV2.Marshal(message)
}
