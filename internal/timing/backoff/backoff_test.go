package backoff

import (
	"testing"
	"time"
)

func TestRetryDelayGrowsUpToItsLimits(t *testing.T) {
	const ms = time.Millisecond
	for _, x := range []struct {
		clients   int
		failures  int
		meanLimit time.Duration
		limit     time.Duration
		shortest  time.Duration
		longest   time.Duration
	}{
		{4, 0, 0, 0, 250 * ms, 750 * ms},
		{4, 1, 0, 0, 500 * ms, 1500 * ms},
		{4, 9, 0, 0, 500 * ms, 1500 * ms},
		{80, 0, 0, 0, 800 * ms, 2400 * ms},
		{80, 9, 0, 0, 3200 * ms, 9600 * ms},
		{300, 9, 5000 * ms, 0, 2500 * ms, 7500 * ms},
		{300, 9, 5000 * ms, 3000 * ms, 1000 * ms, 3000 * ms},
		{4, 0, 0, 60 * ms, 20 * ms, 60 * ms},
	} {
		b := New(x.clients, x.meanLimit)
		shortest := b.RetryDelay(x.failures, x.limit, 0)
		longest := b.RetryDelay(x.failures, x.limit, 1)
		if shortest != x.shortest || longest != x.longest {
			t.Errorf("%+v: delays from %v to %v", x, shortest, longest)
		}
	}
}

func TestInitialDelaySpreadsManyClients(t *testing.T) {
	for _, x := range []struct {
		clients int
		longest time.Duration
	}{
		{4, 0},
		{300, 1500 * time.Millisecond},
	} {
		if got := New(x.clients, 0).InitialDelay(1); got != x.longest {
			t.Errorf("%d clients: first calls are spread over %v, want %v", x.clients, got, x.longest)
		}
	}
}
