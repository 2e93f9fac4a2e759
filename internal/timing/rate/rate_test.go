package rate

import (
	"math"
	"testing"
	"time"
)

// A steady flow is measured as what it is, and forgotten with the time constant.
func TestMeter(t *testing.T) {
	var m Meter
	for now := time.Duration(0); now <= time.Minute; now += 100 * time.Millisecond {
		m.Add(now, 2)
	}
	if r := m.Rate(time.Minute); math.Abs(r-20) > 0.5 {
		t.Errorf("20 units a second are measured as %v", r)
	}
	if r := m.Rate(time.Minute + DecayTime); math.Abs(r-20/math.E) > 0.5 {
		t.Errorf("after one time constant it is %v", r)
	}
}

// A bucket fills at its rate, never over its bound, and may be overdrawn.
func TestBucket(t *testing.T) {
	b := TokenBucket{Tokens: -4, RefillRate: 2, Burst: 10}
	for _, x := range []struct {
		at   time.Duration
		want float64
	}{{0, -4}, {time.Second, -2}, {7 * time.Second, 10}, {time.Hour, 10}} {
		if got := b.Refill(x.at); got != x.want {
			t.Errorf("at %v: %v, want %v", x.at, got, x.want)
		}
	}
}

// A window allows so many events, and the next as many again.
func TestWindow(t *testing.T) {
	var w FixedWindow
	allowed := 0
	for now := time.Hour; now < time.Hour+2*time.Minute; now += time.Second {
		if w.Allow(now, time.Minute, 10) {
			allowed++
		}
	}
	if allowed != 20 {
		t.Errorf("%d events in two windows of 10", allowed)
	}
}

// A history sums what is asked for and keeps no more.
func TestHistory(t *testing.T) {
	var h SlidingWindow
	for i := range 10 {
		h.Add(time.Duration(i)*time.Second, 2)
	}
	if got := h.SumSince(7 * time.Second); got != 6 || len(h.samples) != 3 {
		t.Errorf("%v units in %d entries", got, len(h.samples))
	}
}
