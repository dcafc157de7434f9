package limit

import (
	"errors"
	"testing"
)

func TestDecide(t *testing.T) {
	tests := []struct {
		name   string
		bounds Bounds
		use    Usage
		want   error
	}{
		{"idle", Bounds{}, Usage{Weights: 1}, nil},
		{"at the customer's limit", Bounds{MaxConcurrent: 3}, Usage{Customer: 3, Total: 3, Weights: 1}, ErrCustomerLimit},
		{"alone above half", Bounds{}, Usage{Customer: 60, Total: 60, Weights: 1}, nil},
		{"above its share", Bounds{Share: 1}, Usage{Customer: 50, Total: 60, Weights: 2}, ErrFairShare},
		{"above its share while there is room", Bounds{Share: 1}, Usage{Customer: 49, Total: 49, Weights: 10}, nil},
		{"within its larger share", Bounds{Share: 3}, Usage{Customer: 50, Total: 60, Weights: 4}, nil},
		{"full", Bounds{}, Usage{Customer: 1, Total: 100, Weights: 2}, ErrFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Decide(test.bounds, test.use, 100); !errors.Is(got, test.want) {
				t.Errorf("Decide = %v, want %v", got, test.want)
			}
		})
	}
}

// TestGreedyCustomerIsHeldToFairShare checks that a customer that sends as many
// requests as possible leaves other customers their fair share.
func TestGreedyCustomerIsHeldToFairShare(t *testing.T) {
	g := NewGate(100)
	greedy, modest := Tenant{Team: "desk", Customer: "greedy"}, Tenant{Team: "desk", Customer: "modest"}
	if _, err := g.Enter(modest, Bounds{}); err != nil {
		t.Fatal(err)
	}
	taken := 0
	for {
		if _, err := g.Enter(greedy, Bounds{}); err != nil {
			break
		}
		taken++
	}
	if taken != 50 {
		t.Errorf("greedy customer has %d of 100 requests in progress, want 50", taken)
	}
	for range 49 {
		if _, err := g.Enter(modest, Bounds{}); err != nil {
			t.Fatalf("modest customer refused with %d requests in progress: %v", g.Total(), err)
		}
	}
}

func TestLeaveReleasesCapacity(t *testing.T) {
	g := NewGate(1)
	for range 3 {
		leave, err := g.Enter(Tenant{}, Bounds{})
		if err != nil {
			t.Fatal(err)
		}
		leave()
	}
	if g.Total() != 0 || g.scaledWeights.Load() != 0 {
		t.Errorf("%d requests with weight %d remain, want 0 and 0", g.Total(), g.scaledWeights.Load())
	}
}

func BenchmarkEnter(b *testing.B) {
	g := NewGate(1000)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if leave, err := g.Enter(Tenant{Team: "desk", Customer: "north"}, Bounds{}); err == nil {
				leave()
			}
		}
	})
}
