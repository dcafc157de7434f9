package guard

import (
	"errors"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

func TestKernelTimerWritesOnlyWithinLease(t *testing.T) {
	k, err := NewKernelTimer()
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Boot{}.Now()
	written := 0
	if err := k.Do(now.Add(time.Hour), func() { written++ }); err != nil || written != 1 {
		t.Fatalf("within the lease: got %d writes and error %v, want 1 write and no error", written, err)
	}
	if err := k.Do(now, func() { written++ }); !errors.Is(err, ErrLapsed) || written != 1 {
		t.Fatalf("after the lease: got %d writes in total and error %v, want 1 write and ErrLapsed", written, err)
	}
}

func BenchmarkKernelTimer(b *testing.B) {
	k, err := NewKernelTimer()
	if err != nil {
		b.Fatal(err)
	}
	until := clock.Boot{}.Now().Add(time.Hour)
	for b.Loop() {
		if err := k.Do(until, func() {}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkClockCheck(b *testing.B) {
	check := ClockCheck{Clock: clock.Boot{}}
	until := clock.Boot{}.Now().Add(time.Hour)
	for b.Loop() {
		if err := check.Do(until, func() {}); err != nil {
			b.Fatal(err)
		}
	}
}
