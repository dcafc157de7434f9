package routing

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// PieceTokens is the length of one cached piece of a prompt, in tokens.
	PieceTokens = 256
	// BytesPerToken is the mean length of a token of prompt text.
	BytesPerToken = 4
	// maxBlocks bounds how many pieces of a prompt are looked at.
	maxBlocks = 64
)

// PrefixHashes returns one hash for each whole piece of a prompt. Each hash
// covers the prompt from its start to the end of that piece, so that equal
// hashes mean equal prefixes.
func PrefixHashes(prompt string) []uint64 {
	const blockBytes = PieceTokens * BytesPerToken
	n := min(len(prompt)/blockBytes, maxBlocks)
	hashes := make([]uint64, n)
	var chained [8]byte
	d := xxhash.New()
	for i := range hashes {
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		hashes[i] = d.Sum64()
		binary.LittleEndian.PutUint64(chained[:], hashes[i])
		d.Reset()
		_, _ = d.Write(chained[:])
	}
	return hashes
}

const (
	// waysPerBucket is how many holders of one piece are remembered.
	waysPerBucket = 8
	// engineBits is the width of an engine's number in an index slot.
	engineBits = 16
	engineMask = 1<<engineBits - 1
)

// prefixIndex remembers which engines may hold which pieces. It is a lossy
// table of fixed size: new hints overwrite old ones, and a hint may be wrong.
// Readers and writers use atomics only.
type prefixIndex struct {
	slots []atomic.Uint64
}

// newPrefixIndex returns an index with room for the given number of hints.
func newPrefixIndex(hints int) *prefixIndex {
	size := waysPerBucket
	for size < hints {
		size *= 2
	}
	return &prefixIndex{slots: make([]atomic.Uint64, size)}
}

func (x *prefixIndex) bucket(hash uint64) []atomic.Uint64 {
	start := int(hash&uint64(len(x.slots)/waysPerBucket-1)) * waysPerBucket
	return x.slots[start : start+waysPerBucket]
}

func packSlot(hash uint64, engine uint16) uint64 {
	return hash&^engineMask | uint64(engine)
}

// add notes that an engine holds a piece. The newest hint stands first.
func (x *prefixIndex) add(hash uint64, engine uint16) {
	bucket := x.bucket(hash)
	displaced := packSlot(hash, engine)
	for i := range bucket {
		old := bucket[i].Swap(displaced)
		if old == packSlot(hash, engine) || old == 0 {
			return
		}
		displaced = old
	}
}

// remove drops a hint; the gap it leaves is filled by later hints.
func (x *prefixIndex) remove(hash uint64, engine uint16) {
	bucket := x.bucket(hash)
	for i := range bucket {
		bucket[i].CompareAndSwap(packSlot(hash, engine), 0)
	}
}

// clear drops all hints about an engine.
func (x *prefixIndex) clear(engine uint16) {
	for i := range x.slots {
		if slot := x.slots[i].Load(); slot != 0 && uint16(slot&engineMask) == engine {
			x.slots[i].CompareAndSwap(slot, 0)
		}
	}
}

// holders tells how many leading pieces of a prompt engines seem to hold.
type holders struct {
	// blocksByEngine holds the engines that are known to hold pieces.
	blocksByEngine map[uint16]int
	// commonBlocks is the number of pieces with so many holders that every engine
	// is taken to hold them.
	commonBlocks int
}

// blocks returns the number of leading blocks that an engine seems to hold.
func (h *holders) blocks(engine uint16) int {
	return max(h.blocksByEngine[engine], h.commonBlocks)
}

// match returns the holders of a prompt's leading pieces. An engine that holds
// a piece also holds those before it, since they were used at the same times.
func (x *prefixIndex) match(hashes []uint64) holders {
	h := holders{blocksByEngine: make(map[uint16]int, waysPerBucket)}
	for i, hash := range hashes {
		bucket := x.bucket(hash)
		found := 0
		for w := range bucket {
			slot := bucket[w].Load()
			if slot == 0 || slot&^engineMask != hash&^engineMask {
				continue
			}
			h.blocksByEngine[uint16(slot&engineMask)] = i + 1
			found++
		}
		if found == 0 {
			break
		}
		if found == waysPerBucket {
			h.commonBlocks = i + 1
		}
	}
	return h
}
