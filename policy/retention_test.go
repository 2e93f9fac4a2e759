package policy

import (
	"fmt"
	"testing"

	"poppyarch/internal/broker/decision"
)

// The state of a removed node is deleted, but not while its slow start, a recent send or an attempt may matter.
func TestRemovedNodesAreDeletedOnceTheirStateIsObsolete(t *testing.T) {
	h := newHarness(t, testConfig(), decision.Endpoint{Node: "a"}, decision.Endpoint{Node: "b", Shard: 1})
	h.step(h.arrival(1, 0, 0, "v", "k", 2))
	h.step(endpointsChanged(decision.Endpoint{Node: "a", State: decision.Removed}, decision.Endpoint{Node: "b", Shard: 1, State: decision.Removed}))
	for range 600 {
		h.stepAfter(compensationPeriod)
	}
	if h.scheduler.nodes.byName["b"] == nil {
		t.Error("b was deleted while a slow start was possible")
	}
	for range 200 {
		h.stepAfter(compensationPeriod)
	}
	if h.scheduler.nodes.byName["b"] != nil || h.scheduler.nodes.byName["a"] == nil || len(h.scheduler.nodes.list) != 1 {
		t.Errorf("kept b: %v, want false; kept a, which has an attempt in flight: %v, want true", h.scheduler.nodes.byName["b"] != nil, h.scheduler.nodes.byName["a"] != nil)
	}
	h.stepAfter(compensationPeriod, finalOutcome(1, "a", decision.Served))
	h.stepAfter(compensationPeriod)
	if len(h.scheduler.nodes.byName)+len(h.scheduler.nodes.list) != 0 {
		t.Error("a was not deleted after its attempt ended")
	}
}

func TestEverNewVolumesAndKeysKeepStateBounded(t *testing.T) {
	const maxVolumes = 100
	for _, rateLimit := range []float64{0, 50} {
		cfg := testConfig()
		cfg.MaxVolumes = maxVolumes
		for i := range cfg.Plans {
			cfg.Plans[i].RateLimit = rateLimit
			cfg.Plans[i].RateLimitBurst = 10 * rateLimit
		}
		h := newHarness(t, cfg, decision.Endpoint{Node: "a"})
		for i := range 5000 {
			h.stepAfter(ms, h.arrival(uint64(i+1), 0, 0, fmt.Sprint("v", i), fmt.Sprint("k", i), 8))
			if volumes, unserved := len(h.scheduler.volumes), len(h.scheduler.requests.unserved); volumes > maxVolumes || unserved > maxVolumes {
				t.Fatalf("after %d requests the state of %d volumes and %d rejected requests is kept, want at most %d", i+1, volumes, unserved, maxVolumes)
			}
			if volumes, byUse := len(h.scheduler.volumes), h.scheduler.volumesByUse.Len(); volumes != byUse {
				t.Fatalf("%d volumes, %d of them by use", volumes, byUse)
			}
		}
	}
}

func TestVolumeInUseIsNotEvictedForANewOne(t *testing.T) {
	cfg := testConfig()
	cfg.MaxVolumes = 20
	h := newHarness(t, cfg, decision.Endpoint{Node: "a"})
	h.step(h.arrival(1, 0, 0, "usual", "k", 1))
	kept := h.scheduler.volumes["usual"]
	for i := range 200 {
		h.stepAfter(ms, h.arrival(uint64(2*i+2), 0, 0, fmt.Sprint("v", i), fmt.Sprint("k", i), 1))
		if i%10 == 0 {
			h.stepAfter(ms, h.arrival(uint64(2*i+3), 0, 0, "usual", fmt.Sprint("u", i), 1))
		}
	}
	if h.scheduler.volumes["usual"] != kept {
		t.Error("the state of a volume that is in use was deleted")
	}
}
