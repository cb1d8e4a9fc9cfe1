package bucket

import (
	"testing"
	"time"
)

// TestReturnCreditsNoMoreThanASmallerCharge compares with a bucket that was charged the smaller amount from the start.
func TestReturnCreditsNoMoreThanASmallerCharge(t *testing.T) {
	tests := []struct {
		name string
		idle time.Duration
		want float64
	}{
		{name: "at once", idle: 0, want: 80},
		{name: "half refilled", idle: 5 * time.Second, want: 50},
		{name: "refilled", idle: 20 * time.Second, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewFull(10, 100, 0)
			charge, ok := b.Take(100, 0)
			if !ok {
				t.Fatal("full bucket refused its burst")
			}
			if got := b.Return(charge, 80, tt.idle); got != tt.want {
				t.Errorf("credited %v, want %v", got, tt.want)
			}
		})
	}
}

// TestReturnAfterFullRefillCreditsNothing shows that tokens that would have been lost stay lost.
func TestReturnAfterFullRefillCreditsNothing(t *testing.T) {
	b := NewFull(10, 100, 0)
	first, _ := b.Take(50, 0)
	if _, ok := b.Take(100, 10*time.Second); !ok {
		t.Fatal("bucket did not refill")
	}
	if got := b.Return(first, 50, 10*time.Second); got != 0 {
		t.Errorf("credited %v after the bucket was full, want 0", got)
	}
}

func BenchmarkTakeReturn(b *testing.B) {
	bucket := NewFull(1e9, 1e9, 0)
	for i := range b.N {
		now := time.Duration(i) * time.Microsecond
		if c, ok := bucket.Take(10, now); ok {
			bucket.Return(c, 5, now)
		}
	}
}
