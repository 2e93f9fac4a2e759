package rate

import (
	"testing"
	"time"
)

func TestFixedWindowAllowsItsLimitInEachWindow(t *testing.T) {
	var w FixedWindow
	allowed := 0
	for now := time.Hour; now < time.Hour+2*time.Minute; now += time.Second {
		if w.Allow(now, time.Minute, 10) {
			allowed++
		}
	}
	if allowed != 20 {
		t.Errorf("%d events allowed in two windows of 10 events, want 20", allowed)
	}
}

func TestSlidingWindowDiscardsEarlierSamples(t *testing.T) {
	var w SlidingWindow
	for i := range 10 {
		w.Add(time.Duration(i)*time.Second, 2)
	}
	if got := w.SumSince(7 * time.Second); got != 6 || len(w.samples) != 3 {
		t.Errorf("%v units in %d samples, want 6 in 3", got, len(w.samples))
	}
}
