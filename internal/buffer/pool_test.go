package buffer

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBuffersKeepToThePool checks that buffers never take more than the pool has, that one
// always has room after others have taken all they can, and that nothing stays taken.
func TestBuffersKeepToThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1<<20, 1<<24).Draw(t, "limit")
		p := NewPool(limit)
		claims := make([]Claim, rapid.IntRange(1, 8).Draw(t, "buffers"))
		for i := range claims {
			claims[i] = p.Claim()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := &claims[rapid.IntRange(0, len(claims)-1).Draw(t, "buffer")]
			if rapid.IntRange(0, 5).Draw(t, "release") == 0 {
				c.Release()
			} else {
				before := c.held
				if err := c.Resize(rapid.IntRange(0, 1<<24).Draw(t, "size")); err != nil && c.held != before {
					t.Fatal("a refused claim has changed")
				}
			}
			if p.Used() > limit {
				t.Fatalf("%d bytes are taken, limit %d", p.Used(), limit)
			}
		}
		next := p.Claim()
		if err := next.Resize(freeBytes + int(limit-p.Used())/2); err != nil {
			t.Errorf("no room for half of the %d bytes that are left", limit-p.Used())
		}
		next.Release()
		for i := range claims {
			claims[i].Release()
		}
		if p.Used() != 0 {
			t.Errorf("%d bytes stay taken", p.Used())
		}
	})
}
