package policy

import (
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/backoff"
)

// endpointWatch schedules watches of the endpoint list, with a backoff after failures.
type endpointWatch struct {
	active   bool          // a watch has been requested and has not failed
	nextAt   time.Duration // earliest time of the next watch
	failures int           // consecutive failures
	backoff  backoff.Backoff
	random   *rand.Rand
}

func newEndpointWatch(cfg *decision.Config) endpointWatch {
	return endpointWatch{
		backoff: backoff.New(cfg.DiscoveryClients(), cfg.MaxPollInterval/2),
		random:  rand.New(rand.NewPCG(cfg.Seed, 2)),
	}
}

// start sets the time of the first watch.
func (w *endpointWatch) start(now time.Duration) {
	w.nextAt = now + w.backoff.InitialDelay(w.random.Float64())
}

// fail schedules the next watch after a failure, within bound from now if bound is above 0. Without the
// backoff, a discovery service that was slow once could never catch up with the calls of many brokers.
func (w *endpointWatch) fail(now, bound time.Duration) {
	w.nextAt = now + w.backoff.RetryDelay(w.failures, bound, w.random.Float64())
	w.active = false
	w.failures++
}

// pollEndpoints requests a watch of the endpoint list at the start and after failures.
func (s *Scheduler) pollEndpoints() {
	if s.cfg.PollsEndpoints && !s.watch.active && s.now >= s.watch.nextAt {
		s.watch.active = true
		s.act(decision.Action{Kind: decision.WatchEndpoints})
	}
}
