package model

import (
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

// teller records what the membership passes on.
type teller struct{ got []decision.Event }

func (t *teller) Step(_ time.Duration, events []decision.Event, act []decision.Action) []decision.Action {
	for _, ev := range events {
		ev.Endpoints = append([]decision.Endpoint(nil), ev.Endpoints...)
		t.got = append(t.got, ev)
	}
	return act
}

func (t *teller) last() *decision.Event { return &t.got[len(t.got)-1] }

// A node that leaves and comes back again and again stays out, and is let back in by the membership's own timer; its going is never held back.
func TestMembersKeepsOutWhoComesBackTooOften(t *testing.T) {
	in := &teller{}
	now := time.Minute
	m := newMembers(in, now, 0)
	up, gone := decision.Endpoint{Node: "a", Shard: 3}, decision.Endpoint{Node: "a", Shard: 3, State: decision.Removed}
	due := time.Duration(0) // of the membership's timer
	do := func(ev decision.Event) {
		for _, a := range m.Step(now, []decision.Event{ev}, nil) {
			if a.Kind == decision.SetTimer && a.Token == memberToken {
				due = now + a.After
			}
		}
	}
	step := func(k decision.EventKind, x decision.Endpoint) {
		now += time.Second
		do(decision.Event{Kind: k, Endpoints: []decision.Endpoint{x}})
	}
	step(decision.EndpointsReplaced, up)
	if e := in.last(); e.Kind != decision.EndpointsReplaced || len(e.Endpoints) != 1 || e.Endpoints[0].Shard != 3 {
		t.Fatalf("the first list: %+v", e)
	}
	returns := 0
	for range 6 {
		step(decision.EndpointsChanged, gone)
		if e := in.last(); len(e.Endpoints) == 1 && e.Endpoints[0].State != decision.Removed {
			t.Fatalf("its going: %+v", e)
		}
		step(decision.EndpointsChanged, up)
		if len(in.last().Endpoints) == 0 {
			break
		}
		returns++
	}
	if returns < 2 || returns > 4 || len(in.last().Endpoints) != 0 {
		t.Fatalf("%d returns were passed on", returns)
	}
	out := now
	for range 1000 {
		if len(in.last().Endpoints) > 0 {
			break
		}
		if due == 0 {
			t.Fatal("nothing is due that would let it back in")
		}
		now, due = max(now, due), 0
		do(decision.Event{Kind: decision.TimerFired, Token: memberToken})
	}
	if now < out+10*time.Second || now > out+5*time.Minute {
		t.Errorf("it stayed out for %v", now-out)
	}
	if e := in.last(); e.Kind != decision.EndpointsChanged || len(e.Endpoints) != 1 || e.Endpoints[0].State != decision.Ready {
		t.Errorf("after its time: %+v", e)
	}
}

// Without trouble the membership changes nothing; with a flapping node the rules hold, drains and cold starts among them.
func TestMembersInTheModel(t *testing.T) {
	s := &Scenario{Name: "flap", Brokers: 4, Duration: Duration(20e9), WarmUp: Duration(time.Second), Nodes: []NodeGroup{{Count: 6, Cores: 2, Speed: 1, QueueCapacity: 20}},
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: Duration(15e9), OverloadFactor: 3, Window: Duration(time.Second)}, Link: Link{Delay: Duration(time.Millisecond), IdleTimeout: Duration(5e9)},
		Load:  Load{Rate: 60, Work: Duration(30e6), Distribution: "exponential", Deadline: Duration(2e9)},
		Rules: Rules{Attempts: 3, DrainGrace: Duration(500e6), ResponseGrace: Duration(50e6), NotificationDeadline: Duration(10e9)}}
	play := func(design string) *Result {
		r, err := Play(s, design, 4)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if a, b := play("module"), play("members"); a.Service != b.Service || a.Attempts != b.Attempts {
		t.Errorf("without trouble: %v and %v, %d and %d attempts", a.Service, b.Service, a.Attempts, b.Attempts)
	}
	s.Faults = []Fault{{Kind: "flap", Share: 0.3, Every: Duration(3e9), Duration: Duration(400e6)}}
	for _, d := range []string{"module", "members"} {
		if r := play(d); len(r.Broken) > 0 || r.Service < 0.3 {
			t.Errorf("%s: service %v, broken %v", d, r.Service, r.BrokenRules())
		}
	}
}
