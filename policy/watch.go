package policy

import (
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/backoff"
)

// endpointWatch says when the endpoint list is to be watched again after a failure.
type endpointWatch struct {
	active   bool          // a watch has been asked for and has not failed
	nextAt   time.Duration // earliest next watch
	failures int           // in a row
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

// fail sets the time of the next watch. It comes no later than bound from now, where bound is above 0.
// Without a backoff a discovery service that is slow once would never work off the calls of many brokers.
func (w *endpointWatch) fail(now, bound time.Duration) {
	w.nextAt = now + w.backoff.RetryDelay(w.failures, bound, w.random.Float64())
	w.active = false
	w.failures++
}

// pollEndpoints asks for a watch at the start and after failures.
func (s *Scheduler) pollEndpoints() {
	if s.cfg.PollsEndpoints && !s.watch.active && s.now >= s.watch.nextAt {
		s.watch.active = true
		s.act(decision.Action{Kind: decision.WatchEndpoints})
	}
}
