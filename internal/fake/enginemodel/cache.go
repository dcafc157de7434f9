package enginemodel

import "container/list"

// cache is a prefix cache that holds a fixed number of blocks and evicts the
// least recently used one first.
type cache struct {
	capacity int
	order    *list.List // block hashes (uint64), most recently used first
	blocks   map[uint64]*list.Element
}

func newCache(size int) *cache {
	return &cache{capacity: size, order: list.New(), blocks: make(map[uint64]*list.Element, size)}
}

// match returns how many leading blocks are cached and marks them as used.
func (c *cache) match(hashes []uint64) int {
	for i, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			return i
		}
		c.order.MoveToFront(element)
	}
	return len(hashes)
}

// insert adds the missing blocks and returns the blocks added and evicted.
func (c *cache) insert(hashes []uint64) (added, removed []uint64) {
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		added = append(added, hash)
		if c.order.Len() <= c.capacity {
			continue
		}
		oldest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, oldest)
		removed = append(removed, oldest)
	}
	return added, removed
}
