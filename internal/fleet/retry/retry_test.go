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
		b := &Breaker{After: rapid.IntRange(1, 5).Draw(t, "after"), First: 1000, Most: 64000}
		now, asked, down, up := int64(0), 0, int64(0), int64(0)
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now += int64(rapid.IntRange(1, 2000).Draw(t, "wait"))
			if up == 0 && rapid.IntRange(0, 100).Draw(t, "mended") == 0 {
				up = now
			}
			ok, at := b.Allow(now)
			if !ok {
				if at <= now || at > now+b.Most {
					t.Fatalf("told at %d to come again at %d", now, at)
				}
				if up > 0 && now-up > b.Most+2000 {
					t.Fatal("held back though it answers")
				}
				continue
			}
			if up == 0 {
				asked++
				down = now
			}
			b.Done(now, up > 0, rapid.Float64Range(0, 1).Draw(t, "rnd"))
			if up > 0 {
				if ok, _ := b.Allow(now + 1); !ok {
					t.Fatal("held back right after a success")
				}
				b.Done(now+1, true, 0)
			}
		}
		if most := b.After + 8 + int(down/(b.Most/2)); asked > most {
			t.Fatalf("asked %d times in %d µs of silence, more than %d", asked, down, most)
		}
	})
}

func TestBudget(t *testing.T) {
	b := NewBudget(3, 0.1)
	repeats := 0
	for range 1000 { // a fault that hits every call
		b.Call()
		if b.Repeat() {
			repeats++
		}
	}
	if repeats > 103 || repeats < 100 {
		t.Errorf("%d repeats for 1000 calls that fail", repeats)
	}
	p := Policy{Tries: 5, First: 100, Most: 1000}
	for n, want := range []int64{0, 100, 200, 400, 800, 1000, 1000} {
		if n > 0 && (p.Wait(n, 1) != want || p.Wait(n, 0) != 0) {
			t.Errorf("repeat %d waits up to %d, want %d", n, p.Wait(n, 1), want)
		}
	}
}
