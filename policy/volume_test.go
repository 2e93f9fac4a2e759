package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// What 24 brokers count inside a reserve adds up to the reserve, not to 24 times it.
func TestBrokersTogetherCountTheReserveOnce(t *testing.T) {
	counted := 0.0
	for broker := uint64(0); broker < 24; broker++ {
		r := newRig(t, testConfig())
		for i := uint64(1); i <= 40; i++ { // 1 unit a second at each broker, 24 over all, of a reserve of 5
			r.scheduler.cfg.Plans[0].ReservedRate, r.scheduler.cfg.Plans[0].UsualRate = 5, 10
			a := r.arrive(i, 0, 0, "x", "", 1)
			a.Arrival.Brokers = 24
			r.step(a)
			if i > 20 && r.scheduler.requests.open[i].reserved {
				counted++
			}
			ev := answered(i, "a", decision.Served)
			ev.Usage = decision.VolumeUsage{Known: true, Percent: 240}
			r.after(10*ms, ev)
			r.now += 990 * ms
		}
	}
	if counted < 60 || counted > 160 {
		t.Fatalf("%v units counted in 20 s, want about the 100 of the reserve", counted)
	}
}

// Any count of brokers in the settings or of a volume, and a count that changes: no panic, and every request is
// answered.
func TestAnyBrokerCountIsAccepted(t *testing.T) {
	for _, brokers := range []int{0, 1, 500} {
		cfg := testConfig()
		cfg.Brokers = brokers
		r := newRig(t, cfg, fleetStartedAt(3, time.Hour-time.Second)...)
		r.after(1500 * ms)
		answers := 0
		for id := uint64(1); id <= 300; id++ {
			a := r.arrive(id, int(id%3), int(id%3), fmt.Sprint("v", id%5), fmt.Sprint("k", id%7), float64(id%4))
			a.Arrival.Brokers, a.Arrival.Shard = []int{0, 1, 500, -3}[id%4], int(id%3)
			acts := r.after(10*ms, a)
			answers += len(of(acts, decision.Shed)) + len(of(acts, decision.Fail))
			for _, x := range of(acts, decision.Forward) {
				answers++
				acts = r.step(answered(x, fmt.Sprint("n", r.scheduler.requests.open[x].arrival.Shard), decision.Served))
				answers += len(of(acts, decision.Shed)) + len(of(acts, decision.Fail))
			}
		}
		for i := 0; i < 300 && len(r.scheduler.requests.open) > 0; i++ {
			acts := r.after(20 * ms)
			answers += len(of(acts, decision.Shed)) + len(of(acts, decision.Fail))
			for _, x := range of(acts, decision.Forward) {
				answers++
				r.step(answered(x, fmt.Sprint("n", r.scheduler.requests.open[x].arrival.Shard), decision.Served))
			}
		}
		if len(r.scheduler.requests.open) > 0 {
			t.Errorf("%d brokers: %d requests left, %d answers", brokers, len(r.scheduler.requests.open), answers)
		}
	}
}
