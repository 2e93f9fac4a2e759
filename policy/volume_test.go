package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// The requests that 24 brokers count inside a reserve add up to the reserve, not to 24 times the reserve.
func TestBrokersTogetherCountTheReserveOnce(t *testing.T) {
	counted := 0.0
	for broker := uint64(0); broker < 24; broker++ {
		h := newHarness(t, testConfig())
		for i := uint64(1); i <= 40; i++ { // 1 unit per second at each broker, 24 in total, with a reserve of 5
			h.scheduler.cfg.Plans[0].ReservedRate, h.scheduler.cfg.Plans[0].UsualRate = 5, 10
			a := h.arrival(i, 0, 0, "x", "", 1)
			a.Arrival.Brokers = 24
			h.step(a)
			if i > 20 && h.scheduler.requests.open[i].reserved {
				counted++
			}
			ev := attemptEnded(i, "a", decision.Served)
			ev.Usage = decision.VolumeUsage{Known: true, Percent: 240}
			h.stepAfter(10*ms, ev)
			h.now += 990 * ms
		}
	}
	if counted < 60 || counted > 160 {
		t.Fatalf("%v units counted inside the reserve in 20 s, want 60 to 160 (the reserve is 100)", counted)
	}
}

// With any broker count in the settings or for a volume, even a changing one, nothing panics and every request is
// answered.
func TestAnyBrokerCountIsAccepted(t *testing.T) {
	for _, brokers := range []int{0, 1, 500} {
		cfg := testConfig()
		cfg.Brokers = brokers
		h := newHarness(t, cfg, nodeListStartedAt(3, time.Hour-time.Second)...)
		h.stepAfter(1500 * ms)
		answers := 0
		for id := uint64(1); id <= 300; id++ {
			a := h.arrival(id, int(id%3), int(id%3), fmt.Sprint("v", id%5), fmt.Sprint("k", id%7), float64(id%4))
			a.Arrival.Brokers, a.Arrival.Shard = []int{0, 1, 500, -3}[id%4], int(id%3)
			acts := h.stepAfter(10*ms, a)
			answers += len(requestIDs(acts, decision.Shed)) + len(requestIDs(acts, decision.Fail))
			for _, x := range requestIDs(acts, decision.Forward) {
				answers++
				acts = h.step(attemptEnded(x, fmt.Sprint("n", h.scheduler.requests.open[x].arrival.Shard), decision.Served))
				answers += len(requestIDs(acts, decision.Shed)) + len(requestIDs(acts, decision.Fail))
			}
		}
		for i := 0; i < 300 && len(h.scheduler.requests.open) > 0; i++ {
			acts := h.stepAfter(20 * ms)
			answers += len(requestIDs(acts, decision.Shed)) + len(requestIDs(acts, decision.Fail))
			for _, x := range requestIDs(acts, decision.Forward) {
				answers++
				h.step(attemptEnded(x, fmt.Sprint("n", h.scheduler.requests.open[x].arrival.Shard), decision.Served))
			}
		}
		if len(h.scheduler.requests.open) > 0 {
			t.Errorf("%d brokers: %d requests are still open, %d were answered", brokers, len(h.scheduler.requests.open), answers)
		}
	}
}
