package model

import (
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// recordingDesign records the events that the membership passes on.
type recordingDesign struct{ got []decision.Event }

func (t *recordingDesign) Step(_ time.Duration, events []decision.Event, act []decision.Action) []decision.Action {
	for _, ev := range events {
		ev.Endpoints = append([]decision.Endpoint(nil), ev.Endpoints...)
		t.got = append(t.got, ev)
	}
	return act
}

func (t *recordingDesign) last() *decision.Event { return &t.got[len(t.got)-1] }

// A node that leaves and returns repeatedly is suppressed for some time, and the membership's own timer lets it back
// in. Its removals are always passed on.
func TestMembershipSuppressesFlappingNode(t *testing.T) {
	inner := &recordingDesign{}
	now := time.Minute
	m := newMembershipDesign(inner, now, 0)
	up, removed := decision.Endpoint{Node: "a", Shard: 3}, decision.Endpoint{Node: "a", Shard: 3, State: decision.Removed}
	timerAt := time.Duration(0) // of the membership's timer; 0 if none is pending
	handle := func(ev decision.Event) {
		for _, a := range m.Step(now, []decision.Event{ev}, nil) {
			if a.Kind == decision.SetTimer && a.Token == membershipTimerToken {
				timerAt = now + a.After
			}
		}
	}
	update := func(k decision.EventKind, x decision.Endpoint) {
		now += time.Second
		handle(decision.Event{Kind: k, Endpoints: []decision.Endpoint{x}})
	}
	update(decision.EndpointsReplaced, up)
	if e := inner.last(); e.Kind != decision.EndpointsReplaced || len(e.Endpoints) != 1 || e.Endpoints[0].Shard != 3 {
		t.Fatalf("first list passed on as %+v", e)
	}
	returns := 0
	for range 6 {
		update(decision.EndpointsChanged, removed)
		if e := inner.last(); len(e.Endpoints) == 1 && e.Endpoints[0].State != decision.Removed {
			t.Fatalf("removal passed on as %+v", e)
		}
		update(decision.EndpointsChanged, up)
		if len(inner.last().Endpoints) == 0 {
			break
		}
		returns++
	}
	if returns < 2 || returns > 4 || len(inner.last().Endpoints) != 0 {
		t.Fatalf("%d returns were passed on before the node was suppressed, want 2 to 4", returns)
	}
	suppressedAt := now
	for range 1000 {
		if len(inner.last().Endpoints) > 0 {
			break
		}
		if timerAt == 0 {
			t.Fatal("no timer is pending that would end the suppression")
		}
		now, timerAt = max(now, timerAt), 0
		handle(decision.Event{Kind: decision.TimerFired, Token: membershipTimerToken})
	}
	if now < suppressedAt+10*time.Second || now > suppressedAt+5*time.Minute {
		t.Errorf("the node was suppressed for %v, want 10 s to 5 min", now-suppressedAt)
	}
	if e := inner.last(); e.Kind != decision.EndpointsChanged || len(e.Endpoints) != 1 || e.Endpoints[0].State != decision.Ready {
		t.Errorf("return after the suppression passed on as %+v", e)
	}
}

// Without faults the membership changes nothing. With flapping nodes all rules hold, among them those for drains and
// slow start.
func TestMembershipInSimulation(t *testing.T) {
	s := &Scenario{Name: "flap", Brokers: 4, Duration: Duration(20e9), WarmUp: Duration(time.Second), Nodes: []NodeGroup{{Count: 6, Cores: 2, Speed: 1, QueueCapacity: 20}},
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: Duration(15e9), OverloadFactor: 3, Window: Duration(time.Second)}, Link: Link{Delay: Duration(time.Millisecond), IdleTimeout: Duration(5e9)},
		Load:  Load{Rate: 60, Work: Duration(30e6), Distribution: "exponential", Deadline: Duration(2e9)},
		Rules: Rules{MaxAttempts: 3, DrainGrace: Duration(500e6), ResponseGrace: Duration(50e6), NotificationDeadline: Duration(10e9)}}
	simulate := func(design string) *Result {
		r, err := Run(s, design, 4)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if a, b := simulate("module"), simulate("members"); a.ServedValueRatio != b.ServedValueRatio || a.Attempts != b.Attempts {
		t.Errorf("without faults: service %v and %v, %d and %d attempts", a.ServedValueRatio, b.ServedValueRatio, a.Attempts, b.Attempts)
	}
	s.Faults = []Fault{{Kind: "flap", Probability: 0.3, MeanInterval: Duration(3e9), Duration: Duration(400e6)}}
	for _, d := range []string{"module", "members"} {
		if r := simulate(d); len(r.ViolationCounts) > 0 || r.ServedValueRatio < 0.3 {
			t.Errorf("%s: service %v, violated rules: %v", d, r.ServedValueRatio, r.ViolationSummary())
		}
	}
}
