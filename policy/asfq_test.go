package policy

import (
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

func TestTagsAndOrderFollowWeights(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.depth = 1
	// x has weight 1, y weight 3. Each asks three times for 3 units: x starts 0 3 6, y starts 0 1 2.
	acts := r.step(r.arrive(1, 0, 0, "x", "", 3), r.arrive(2, 0, 0, "x", "", 3), r.arrive(3, 0, 0, "x", "", 3),
		r.arrive(4, 0, 1, "y", "", 3), r.arrive(5, 0, 1, "y", "", 3), r.arrive(6, 0, 1, "y", "", 3))
	for id, tags := range map[uint64][2]float64{1: {0, 3}, 2: {3, 6}, 3: {6, 9}, 4: {0, 1}, 5: {1, 2}, 6: {2, 3}} {
		if q := r.scheduler.requests.open[id]; q.startTag != tags[0] || q.finishTag != tags[1] {
			t.Errorf("request %d has tags %v %v, want %v", id, q.startTag, q.finishTag, tags)
		}
	}
	order := of(acts, decision.Forward)
	for len(order) < 6 {
		order = append(order, of(r.after(5*ms, answered(order[len(order)-1], "a", decision.Served)), decision.Forward)...)
		n.depth = 1
	}
	want(t, "order", order, 1, 4, 5, 6, 2, 3)
}

func TestVirtualTimeIsStartTagWhenBusyAndFinishTagWhenIdle(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.depth = 1
	r.step(r.arrive(1, 0, 0, "x", "", 4)) // tags 0 and 4
	if n.virtualTime() != 0 {
		t.Fatalf("busy: virtual time %v, want the highest start tag 0", n.virtualTime())
	}
	r.after(5*ms, answered(1, "a", decision.Served))
	if n.virtualTime() != 4 {
		t.Fatalf("idle: virtual time %v, want the highest finish tag 4", n.virtualTime())
	}
	r.step(r.arrive(2, 0, 1, "y", "", 3))
	if q := r.scheduler.requests.open[2]; q.startTag != 4 || q.finishTag != 5 {
		t.Fatalf("after idling: tags %v %v, want 4 and 5", q.startTag, q.finishTag)
	}
}

func TestCompensationIsSetAboveToleranceAndResetWhenIdle(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.depth = 1
	r.step(r.arrive(1, 0, 0, "x", "", 1), r.arrive(2, 0, 0, "x", "", 1), r.arrive(3, 0, 1, "y", "", 1),
		r.arrive(4, 0, 1, "y", "", 1))
	x, y := n.flowOf[r.scheduler.volumes["x"]], n.flowOf[r.scheduler.volumes["y"]]
	x.servedUnits, y.servedUnits = 3, 33 // over weight 3 and 11: gap 8, above unfairnessTolerance x 2 units
	r.scheduler.endPeriod()
	if x.compensation != 0 || y.compensation != 24 {
		t.Fatalf("set: compensation %v and %v, want 0 and 8 x weight 3", x.compensation, y.compensation)
	}
	x.servedUnits, y.servedUnits = 1, 3
	r.scheduler.endPeriod()
	if x.compensation != 0 || y.compensation != 24 {
		t.Fatalf("within the tolerance: %v and %v, want 0 and 24 unchanged", x.compensation, y.compensation)
	}
	y.queue = nil
	r.scheduler.endPeriod()
	if y.compensation != 0 {
		t.Fatalf("nothing queued: compensation %v, want 0", y.compensation)
	}
}

// A volume that surged is not held back for longer than one period after its last queued request.
func TestCompensationIsResetAPeriodAfterItsQueueIsEmpty(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.depth = 1
	r.step(r.arrive(1, 0, 0, "x", "", 1), r.arrive(2, 0, 0, "x", "", 1), r.arrive(3, 0, 1, "y", "", 1))
	n.flowOf[r.scheduler.volumes["x"]].compensation = 500
	r.after(5*ms, answered(1, "a", decision.Served))
	r.after(5*ms, answered(3, "a", decision.Served)) // now 2 is sent, and nothing of x is queued
	r.after(compensationPeriod)
	want(t, "x is sent though it had a compensation", of(r.after(5*ms, answered(2, "a", decision.Served),
		r.arrive(4, 0, 0, "x", "", 1)), decision.Forward), 4)
	if f := n.flowOf[r.scheduler.volumes["x"]]; f.compensation != 0 {
		t.Fatalf("compensation %v a period after the queue ran empty", f.compensation)
	}
}

// A depth under 1 is a pause between sends. Work inside a reserve does not wait for it.
func TestDepthUnderOnePausesBetweenSends(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.latency, n.depth, n.lastSendAt = 0.4, 0.5, r.now
	r.scheduler.cfg.Plans[0].ReservedRate = 0
	r.scheduler.volumeOf(&decision.Arrival{Volume: "x", Brokers: 1}).reserveCredit = 0
	want(t, "sent in the pause", of(r.step(r.arrive(1, 0, 0, "x", "", 1)), decision.Forward))
	want(t, "reserved in the pause", of(r.step(r.arrive(2, 0, 1, "y", "", 1)), decision.Forward), 2)
	r.after(10*ms, answered(2, "a", decision.Served))
	n.latency, n.depth = 0.4, 0.5
	want(t, "sent before latency / depth", of(r.after(300*ms), decision.Forward))
	n.latency, n.depth = 0.4, 0.8
	want(t, "sent after latency / depth", of(r.after(220*ms), decision.Forward), 1)
}

// Where trials at suspect nodes are hardly ever served, work inside a reserve is paused too.
func TestReservedWorkPausesWhenTrialsFail(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.scheduler.nodes.byName["a"]
	n.latency, n.depth, n.health.suspect = 0.6, 0.02, true
	want(t, "sent while trials are served", of(r.step(r.arrive(1, 0, 0, "x", "", 1)), decision.Forward), 1)
	for i := 0; i < 5; i++ { // each lets its trial time out
		r.scheduler.observeOutcome(n, r.scheduler.requests.open[1], &decision.Event{Kind: decision.AttemptEnded, Outcome: decision.TimedOut})
	}
	r.after(100*ms, finalOutcome(1, "a", decision.Rejected))
	n.latency, n.depth = 0.6, 0.02
	want(t, "sent after trials failed", of(r.after(100*ms, r.arrive(2, 0, 0, "x", "", 1)), decision.Forward))
	n.lastSendAt = r.now - 3*time.Second
	want(t, "after the pause", of(r.after(100*ms), decision.Forward), 2)
}
