package retry

import (
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// A peer that is down for long is asked a number of times that grows with the logarithm of the time only, is found
// again within the longest wait, and calls are never held back while it answers.
func TestBreaker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Breaker{Threshold: rapid.IntRange(1, 5).Draw(t, "after"), InitialOpen: 1000, MaxOpen: 64000}
		now, asked, down, up := int64(0), 0, int64(0), int64(0)
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now += int64(rapid.IntRange(1, 2000).Draw(t, "wait"))
			if up == 0 && rapid.IntRange(0, 100).Draw(t, "mended") == 0 {
				up = now
			}
			ok, at := b.Allow(now)
			if !ok {
				if at <= now || at > now+b.MaxOpen {
					t.Fatalf("told at %d to come again at %d", now, at)
				}
				if up > 0 && now-up > b.MaxOpen+2000 {
					t.Fatal("held back though it answers")
				}
				continue
			}
			if up == 0 {
				asked++
				down = now
			}
			b.Record(now, up > 0, rapid.Float64Range(0, 1).Draw(t, "rnd"))
			if up > 0 {
				if ok, _ := b.Allow(now + 1); !ok {
					t.Fatal("held back right after a success")
				}
				b.Record(now+1, true, 0)
			}
		}
		if most := b.Threshold + 8 + int(down/(b.MaxOpen/2)); asked > most {
			t.Fatalf("asked %d times in %d µs of silence, more than %d", asked, down, most)
		}
	})
}

func TestBudget(t *testing.T) {
	b := NewBudget(3, 0.1)
	repeats := 0
	for range 1000 { // a fault that hits every call
		b.RecordCall()
		if b.TakeRetry() {
			repeats++
		}
	}
	if repeats > 103 || repeats < 100 {
		t.Errorf("%d repeats for 1000 calls that fail", repeats)
	}
	p := Policy{Attempts: 5, InitialDelay: 100, MaxDelay: 1000}
	for n, want := range []int64{0, 100, 200, 400, 800, 1000, 1000} {
		if n > 0 && (p.Delay(n, 1) != want || p.Delay(n, 0) != 0) {
			t.Errorf("repeat %d waits up to %d, want %d", n, p.Delay(n, 1), want)
		}
	}
}
