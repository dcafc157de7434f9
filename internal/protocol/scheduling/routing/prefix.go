package routing

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockTokens is the length of one block of the prefix cache, in tokens.
	PrefixBlockTokens = 256
	// BytesPerToken is the mean length of a token of prompt text.
	BytesPerToken = 4
	// maxBlocks is the greatest number of blocks of a prompt that are hashed.
	maxBlocks = 64
)

// PrefixHashes returns one hash for each complete block of a prompt, up to
// maxBlocks. Each hash covers the prompt from its start to the end of that
// block, so that equal hashes mean equal prefixes.
func PrefixHashes(prompt string) []uint64 {
	const blockBytes = PrefixBlockTokens * BytesPerToken
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
	// waysPerBucket is the greatest number of engines that are recorded for
	// one block.
	waysPerBucket = 8
	// engineBits is the width of an engine's position in a slot of the index.
	engineBits = 16
	engineMask = 1<<engineBits - 1
)

// prefixIndex records which engines may have which blocks in their prefix
// caches. It is a lossy hash table of fixed size: new hints displace old ones,
// and a hint may be wrong. Readers and writers use only atomics.
type prefixIndex struct {
	slots []atomic.Uint64
}

// newPrefixIndex returns an index with room for at least the given number of
// hints.
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

// add records that an engine has a block. The newest hint is first in its
// bucket; the oldest is lost when the bucket is full.
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

// remove drops a hint; later hints fill the gap.
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

// holders holds how many leading blocks of a prompt each engine is estimated to
// have in its prefix cache.
type holders struct {
	// blocksByEngine holds the engines found in the index, by position.
	blocksByEngine map[uint16]int
	// commonBlocks is the number of leading blocks with so many holders that
	// every engine is assumed to have them.
	commonBlocks int
}

// blocks returns the number of leading blocks that an engine is estimated to
// have.
func (h *holders) blocks(engine uint16) int {
	return max(h.blocksByEngine[engine], h.commonBlocks)
}

// match returns the holders of a prompt's leading blocks. An engine that has a
// block is assumed to have those before it, since they were used at the same
// times.
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
