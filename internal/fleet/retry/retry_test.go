package retry

import (
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

// outageSimulation simulates calls through a breaker to a peer that is down until it recovers at a random time.
type outageSimulation struct {
	t              *rapid.T
	breaker        Breaker
	maxOpen        clock.Micros
	now            clock.Micros
	callsWhileDown int
	lastCallDown   clock.Micros
	recoveredAt    clock.Micros
	recovered      bool
}

// step advances the time, in which the peer may recover, and calls the peer if the breaker allows it.
func (s *outageSimulation) step() {
	s.now += clock.Micros(rapid.IntRange(1, 2000).Draw(s.t, "wait"))
	if !s.recovered && rapid.IntRange(0, 100).Draw(s.t, "recovery") == 0 {
		s.recovered = true
		s.recoveredAt = s.now
	}
	allowed, retryAt := s.breaker.Allow(s.now)
	if !allowed {
		s.checkHeldBack(retryAt)
		return
	}
	if !s.recovered {
		s.callsWhileDown++
		s.lastCallDown = s.now
	}
	s.breaker.Record(s.now, s.recovered, rapid.Float64Range(0, 1).Draw(s.t, "random"))
	if s.recovered {
		if allowed, _ := s.breaker.Allow(s.now + 1); !allowed {
			s.t.Fatal("call was held back right after a success")
		}
		s.breaker.Record(s.now+1, true, 0)
	}
}

func (s *outageSimulation) checkHeldBack(retryAt clock.Micros) {
	if retryAt <= s.now || retryAt > s.now+s.maxOpen {
		s.t.Fatalf("call was held back at %d until %d, want at most %d µs", s.now, retryAt, s.maxOpen)
	}
	if s.recovered && s.now-s.recoveredAt > s.maxOpen+2000 {
		s.t.Fatal("call was held back although the peer has recovered")
	}
}

// The number of calls to a peer that is down grows only logarithmically until the longest open period is reached, the
// recovery of the peer is noticed within the longest open period, and calls are never held back while the peer
// responds.
func TestBreakerBoundsCallsToAPeerThatIsDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		threshold := rapid.IntRange(1, 5).Draw(t, "threshold")
		config := BreakerConfig{Threshold: threshold, InitialOpen: 1000, MaxOpen: 64000}
		simulation := outageSimulation{t: t, breaker: NewBreaker(config), maxOpen: config.MaxOpen}
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			simulation.step()
		}
		if limit := threshold + 8 + int(simulation.lastCallDown/(config.MaxOpen/2)); simulation.callsWhileDown > limit {
			t.Fatalf("%d calls in %d µs of an outage, want at most %d", simulation.callsWhileDown, simulation.lastCallDown, limit)
		}
	})
}

func TestBudgetBoundsRetriesWhenEveryCallFails(t *testing.T) {
	budget := NewBudget(3, 0.1)
	retries := 0
	for range 1000 {
		budget.RecordCall()
		if budget.TakeRetry() {
			retries++
		}
	}
	if retries > 103 || retries < 100 {
		t.Errorf("%d retries for 1000 failed calls, want 100 to 103", retries)
	}
}

func TestDelayDoublesUpToTheMaximum(t *testing.T) {
	policy := Policy{Attempts: 5, InitialDelay: 100, MaxDelay: 1000}
	for i, longest := range []clock.Micros{100, 200, 400, 800, 1000, 1000} {
		retry := i + 1
		if got := policy.Delay(retry, 1); got != longest {
			t.Errorf("the longest delay before retry %d is %d, want %d", retry, got, longest)
		}
		if got := policy.Delay(retry, 0); got != 0 {
			t.Errorf("the shortest delay before retry %d is %d, want 0", retry, got)
		}
	}
}

func TestBackoffRestartsAtInitialAfterReset(t *testing.T) {
	backoff := Backoff{Initial: 100, Max: 250}
	for i, want := range []clock.Micros{100, 200, 250, 250} {
		if got := backoff.Next(); got != want {
			t.Errorf("delay %d is %d, want %d", i+1, got, want)
		}
	}
	backoff.Reset()
	if got := backoff.Next(); got != 100 {
		t.Errorf("the delay after a reset is %d, want 100", got)
	}
}
