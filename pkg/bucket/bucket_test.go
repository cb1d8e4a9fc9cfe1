package bucket

import (
	"testing"
	"time"
)

// TestReturnCreditsNoMoreThanASmallerCharge guards against a late return after which a bucket has more tokens than if
// only the used tokens had been charged. A charge of 100 tokens empties the bucket; 80 of them are returned after it
// has refilled for a while.
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
				t.Fatal("full bucket rejected a charge of its burst")
			}
			if got := b.Return(charge, 80, tt.idle); got != tt.want {
				t.Errorf("credited %v tokens, want %v", got, tt.want)
			}
		})
	}
}

// TestReturnAfterFullRefillCreditsNothing guards against a credit for a charge after which the bucket was full again.
// Without that charge the bucket would have been full too, so the returned tokens would have overflowed. A later charge
// must not hide that the bucket was full.
func TestReturnAfterFullRefillCreditsNothing(t *testing.T) {
	b := NewFull(10, 100, 0)
	first, _ := b.Take(50, 0)
	if _, ok := b.Take(100, 10*time.Second); !ok {
		t.Fatal("bucket rejected a charge of 100 tokens, want it full after 10 s")
	}
	if got := b.Return(first, 50, 10*time.Second); got != 0 {
		t.Errorf("credited %v tokens after the bucket was full, want 0", got)
	}
}

// BenchmarkTakeReturn measures one charge and its return.
func BenchmarkTakeReturn(b *testing.B) {
	bucket := NewFull(1e9, 1e9, 0)
	for i := range b.N {
		now := time.Duration(i) * time.Microsecond
		if c, ok := bucket.Take(10, now); ok {
			bucket.Return(c, 5, now)
		}
	}
}
