package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

const ms = time.Millisecond

// rig drives one scheduler with a fake clock.
type rig struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
}

// testConfig has a class of each idempotency and an ordered one, and plans with and without a rate limit.
func testConfig() decision.Config {
	class := func(name string, weight float64, idempotency decision.Idempotency) decision.Class {
		return decision.Class{
			Name: name, LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: weight, Idempotency: idempotency,
		}
	}
	ordered := class("ordered", 2, decision.NotIdempotent)
	ordered.Ordered = true
	keyed := class("keyed", 2, decision.IdempotentByKey)
	keyed.DedupScope = decision.DedupShard
	keyed.DedupWindow = 800 * ms
	return decision.Config{
		Seed: 1, Brokers: 2, MaxAttempts: 3, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		Classes: []decision.Class{
			class("read", 3, decision.Idempotent),
			class("write", 2, decision.NotIdempotent),
			ordered,
			keyed,
		},
		Plans: []decision.Plan{
			{Name: "one", Weight: 1, PriceFactor: 1, UsualRate: 100, ReservedRate: 50},
			{Name: "three", Weight: 3, PriceFactor: 1, UsualRate: 100, ReservedRate: 50},
			{
				Name: "bound", Weight: 1, PriceFactor: 1, UsualRate: 10, ReservedRate: 5,
				RateLimit: 10, RateLimitBurst: 40, RateLimitTolerance: 4,
			},
		},
		OverloadWindow: time.Second, SlowStartDuration: 10 * time.Second, SlowStartFraction: 0.2, SlowStartCapacityUnits: 8,
		OrderedKeyQuietPeriod: 200 * ms, MeanUnits: 2, MaxUnits: 8, MaxPollInterval: 10 * time.Second,
	}
}

func newRig(t *testing.T, cfg decision.Config, members ...decision.Endpoint) *rig {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, scheduler: s, now: time.Hour}
	if members == nil {
		members = []decision.Endpoint{{Node: "a"}}
	}
	r.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: members})
	return r
}

func (r *rig) step(evs ...decision.Event) []decision.Action { return r.scheduler.Step(r.now, evs, nil) }

// after advances the clock, then fires the timer and applies the events in one step.
func (r *rig) after(d time.Duration, evs ...decision.Event) []decision.Action {
	r.now += d
	return r.step(append([]decision.Event{{Kind: decision.TimerFired, Token: 1}}, evs...)...)
}

// pass lets time go by in steps short enough that the scheduler sees no stall.
func (r *rig) pass(d time.Duration) {
	for ; d > compensationPeriod; d -= compensationPeriod {
		r.after(compensationPeriod)
	}
	r.after(d)
}

// arrive is the arrival of a request through one broker, with the deadline of its class.
func (r *rig) arrive(id uint64, class, plan int, vol, key string, units float64) decision.Event {
	return decision.Event{Kind: decision.RequestArrived, ID: id, Arrival: decision.Arrival{Class: class, Plan: plan, Volume: vol, Key: key, Units: units,
		Brokers: 1, Deadline: r.now + r.scheduler.cfg.Classes[class].Deadline}}
}

// answered is the outcome of a request's first attempt.
func answered(id uint64, node string, o decision.Outcome) decision.Event {
	return decision.Event{Kind: decision.AttemptEnded, ID: id, Node: node, Outcome: o, Final: o == decision.Served}
}

// outcomeOf is the outcome of a request's first attempt, after which another may follow.
func outcomeOf(id uint64, node string, o decision.Outcome) decision.Event {
	return decision.Event{Kind: decision.AttemptEnded, ID: id, Node: node, Outcome: o}
}

// finalOutcome is the outcome of a request's first attempt, after which no other may follow.
func finalOutcome(id uint64, node string, o decision.Outcome) decision.Event {
	ev := outcomeOf(id, node, o)
	ev.Final = true
	return ev
}

func endpointsReplaced(endpoints ...decision.Endpoint) decision.Event {
	return decision.Event{Kind: decision.EndpointsReplaced, Endpoints: endpoints}
}

func endpointsChanged(endpoints ...decision.Endpoint) decision.Event {
	return decision.Event{Kind: decision.EndpointsChanged, Endpoints: endpoints}
}

// pick is the node for a small request of the first class.
func (r *rig) pick(shard int) *node {
	return r.scheduler.pickNode(&request{
		class:   &r.scheduler.cfg.Classes[0],
		arrival: decision.Arrival{Shard: shard, Units: 1},
	})
}

// of lists the request ids of one kind of action, in order.
func of(acts []decision.Action, k decision.ActionKind) (ids []uint64) {
	for _, a := range acts {
		if a.Kind == k {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// want fails the test unless got has exactly these ids.
func want(t *testing.T, what string, got []uint64, ids ...uint64) {
	t.Helper()
	if len(got) != len(ids) {
		t.Fatalf("%s: got %v, want %v", what, got, ids)
	}
	for i := range ids {
		if got[i] != ids[i] {
			t.Fatalf("%s: got %v, want %v", what, got, ids)
		}
	}
}

// fleetOf lists n nodes, each with a shard of its own.
func fleetOf(n int) []decision.Endpoint { return fleetStartedAt(n, 0) }

// fleetStartedAt lists n nodes with a shard each, all started at the given time.
func fleetStartedAt(n int, started time.Duration) (list []decision.Endpoint) {
	for i := range n {
		list = append(list, decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i, StartedAt: started})
	}
	return list
}
