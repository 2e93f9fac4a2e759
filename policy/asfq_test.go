package policy

import (
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestTagsAndOrderFollowWeights(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.depth = 1
	// x has weight 1, y weight 3. Each sends three requests of 3 units: start tags 0 3 6 for x, 0 1 2 for y.
	acts := h.step(h.arrival(1, 0, 0, "x", "", 3), h.arrival(2, 0, 0, "x", "", 3), h.arrival(3, 0, 0, "x", "", 3),
		h.arrival(4, 0, 1, "y", "", 3), h.arrival(5, 0, 1, "y", "", 3), h.arrival(6, 0, 1, "y", "", 3))
	for id, tags := range map[uint64][2]float64{1: {0, 3}, 2: {3, 6}, 3: {6, 9}, 4: {0, 1}, 5: {1, 2}, 6: {2, 3}} {
		if q := h.scheduler.requests.open[id]; q.startTag != tags[0] || q.finishTag != tags[1] {
			t.Errorf("request %d has start tag %v and finish tag %v, want %v", id, q.startTag, q.finishTag, tags)
		}
	}
	order := requestIDs(acts, decision.Forward)
	for len(order) < 6 {
		order = append(order, requestIDs(h.stepAfter(5*ms, attemptEnded(order[len(order)-1], "a", decision.Served)), decision.Forward)...)
		n.depth = 1
	}
	wantIDs(t, "order of sends", order, 1, 4, 5, 6, 2, 3)
}

func TestVirtualTimeIsStartTagWhenBusyAndFinishTagWhenIdle(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.depth = 1
	h.step(h.arrival(1, 0, 0, "x", "", 4)) // tags 0 and 4
	if n.virtualTime() != 0 {
		t.Fatalf("with a request in flight: virtual time %v, want the highest start tag 0", n.virtualTime())
	}
	h.stepAfter(5*ms, attemptEnded(1, "a", decision.Served))
	if n.virtualTime() != 4 {
		t.Fatalf("with none in flight: virtual time %v, want the highest finish tag 4", n.virtualTime())
	}
	h.step(h.arrival(2, 0, 1, "y", "", 3))
	if q := h.scheduler.requests.open[2]; q.startTag != 4 || q.finishTag != 5 {
		t.Fatalf("after an idle time: start tag %v and finish tag %v, want 4 and 5", q.startTag, q.finishTag)
	}
}

func TestCompensationIsSetAboveToleranceAndResetWhenIdle(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.depth = 1
	h.step(h.arrival(1, 0, 0, "x", "", 1), h.arrival(2, 0, 0, "x", "", 1), h.arrival(3, 0, 1, "y", "", 1),
		h.arrival(4, 0, 1, "y", "", 1))
	x, y := n.flowOf[h.scheduler.volumes["x"]], n.flowOf[h.scheduler.volumes["y"]]
	x.servedUnits, y.servedUnits = 3, 33 // over weight 3 and 11: gap 8, above unfairnessTolerance x 2 units
	h.scheduler.endPeriod()
	if x.compensation != 0 || y.compensation != 24 {
		t.Fatalf("above the tolerance: compensation %v and %v, want 0 and 24 (gap 8 x weight 3)", x.compensation, y.compensation)
	}
	x.servedUnits, y.servedUnits = 1, 3
	h.scheduler.endPeriod()
	if x.compensation != 0 || y.compensation != 24 {
		t.Fatalf("within the tolerance: compensation %v and %v, want 0 and 24 unchanged", x.compensation, y.compensation)
	}
	y.queue = nil
	h.scheduler.endPeriod()
	if y.compensation != 0 {
		t.Fatalf("nothing queued: compensation %v, want 0", y.compensation)
	}
}

// After a surge, a volume is not delayed for more than one period after its last queued request.
func TestCompensationIsResetAPeriodAfterTheQueueEmpties(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.depth = 1
	h.step(h.arrival(1, 0, 0, "x", "", 1), h.arrival(2, 0, 0, "x", "", 1), h.arrival(3, 0, 1, "y", "", 1))
	n.flowOf[h.scheduler.volumes["x"]].compensation = 500
	h.stepAfter(5*ms, attemptEnded(1, "a", decision.Served))
	h.stepAfter(5*ms, attemptEnded(3, "a", decision.Served)) // request 2 is sent and no request of x is queued
	h.stepAfter(compensationPeriod)
	wantIDs(t, "request of x sent despite its earlier compensation", requestIDs(h.stepAfter(5*ms, attemptEnded(2, "a", decision.Served),
		h.arrival(4, 0, 0, "x", "", 1)), decision.Forward), 4)
	if f := n.flowOf[h.scheduler.volumes["x"]]; f.compensation != 0 {
		t.Fatalf("compensation %v a period after the queue became empty, want 0", f.compensation)
	}
}

// A depth below 1 means a pause between sends, for which reserved requests do not wait.
func TestDepthBelowOnePausesBetweenSends(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.latency, n.depth, n.lastSendAt = 0.4, 0.5, h.now
	h.scheduler.cfg.Plans[0].ReservedRate = 0
	h.scheduler.volumeOf(&decision.Arrival{Volume: "x", Brokers: 1}).reserveCredit = 0
	wantIDs(t, "not reserved, sent during the pause", requestIDs(h.step(h.arrival(1, 0, 0, "x", "", 1)), decision.Forward))
	wantIDs(t, "reserved, sent during the pause", requestIDs(h.step(h.arrival(2, 0, 1, "y", "", 1)), decision.Forward), 2)
	h.stepAfter(10*ms, attemptEnded(2, "a", decision.Served))
	n.latency, n.depth = 0.4, 0.5
	wantIDs(t, "sent before the pause of latency / depth ends", requestIDs(h.stepAfter(300*ms), decision.Forward))
	n.latency, n.depth = 0.4, 0.8
	wantIDs(t, "sent after the pause of latency / depth", requestIDs(h.stepAfter(220*ms), decision.Forward), 1)
}

// If attempts at suspect nodes rarely succeed, reserved requests wait for the pauses between sends too.
func TestReservedRequestsPauseWhenSuspectNodesFail(t *testing.T) {
	h := newHarness(t, testConfig())
	n := h.scheduler.nodes.byName["a"]
	n.latency, n.depth, n.health.suspect = 0.6, 0.02, true
	wantIDs(t, "sent while the success ratio at suspect nodes is high", requestIDs(h.step(h.arrival(1, 0, 0, "x", "", 1)), decision.Forward), 1)
	for i := 0; i < 5; i++ { // each counts as an attempt that timed out at a suspect node
		h.scheduler.observeOutcome(n, h.scheduler.requests.open[1], &decision.Event{Kind: decision.AttemptEnded, Outcome: decision.TimedOut})
	}
	h.stepAfter(100*ms, finalOutcome(1, "a", decision.Rejected))
	n.latency, n.depth = 0.6, 0.02
	wantIDs(t, "sent after the attempts failed", requestIDs(h.stepAfter(100*ms, h.arrival(2, 0, 0, "x", "", 1)), decision.Forward))
	n.lastSendAt = h.now - 3*time.Second
	wantIDs(t, "sent after the pause", requestIDs(h.stepAfter(100*ms), decision.Forward), 2)
}
