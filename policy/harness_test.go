package policy

import (
	"fmt"
	"testing"
	"time"

	"poppyarch/internal/broker/decision"
)

const ms = time.Millisecond

// harness drives a scheduler with a fake clock.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Duration
}

// testConfig returns settings with a class of each idempotency, an ordered class, and plans with and without a rate
// limit.
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

func newHarness(t *testing.T, cfg decision.Config, members ...decision.Endpoint) *harness {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, scheduler: s, now: time.Hour}
	if members == nil {
		members = []decision.Endpoint{{Node: "a"}}
	}
	h.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: members})
	return h
}

func (h *harness) step(evs ...decision.Event) []decision.Action {
	return h.scheduler.Step(h.now, evs, nil)
}

// stepAfter advances the clock, then makes one step with the timer and the events.
func (h *harness) stepAfter(d time.Duration, evs ...decision.Event) []decision.Action {
	h.now += d
	return h.step(append([]decision.Event{{Kind: decision.TimerFired, Token: 1}}, evs...)...)
}

// advance advances the clock by d, in steps short enough that the scheduler does not detect a stall.
func (h *harness) advance(d time.Duration) {
	for ; d > compensationPeriod; d -= compensationPeriod {
		h.stepAfter(compensationPeriod)
	}
	h.stepAfter(d)
}

// arrival returns the arrival of a request with the deadline of its class, on a volume that uses one broker.
func (h *harness) arrival(id uint64, class, plan int, vol, key string, units float64) decision.Event {
	return decision.Event{Kind: decision.RequestArrived, ID: id, Arrival: decision.Arrival{Class: class, Plan: plan, Volume: vol, Key: key, Units: units,
		Brokers: 1, Deadline: h.now + h.scheduler.cfg.Classes[class].Deadline}}
}

// attemptEnded returns the outcome of a request's first attempt. It is final if the attempt was served.
func attemptEnded(id uint64, node string, o decision.Outcome) decision.Event {
	return decision.Event{Kind: decision.AttemptEnded, ID: id, Node: node, Outcome: o, Final: o == decision.Served}
}

// nonFinalOutcome returns the outcome of a request's first attempt, after which the request may be retried.
func nonFinalOutcome(id uint64, node string, o decision.Outcome) decision.Event {
	return decision.Event{Kind: decision.AttemptEnded, ID: id, Node: node, Outcome: o}
}

// finalOutcome returns the outcome of a request's first attempt, after which the request must not be retried.
func finalOutcome(id uint64, node string, o decision.Outcome) decision.Event {
	ev := nonFinalOutcome(id, node, o)
	ev.Final = true
	return ev
}

func endpointsReplaced(endpoints ...decision.Endpoint) decision.Event {
	return decision.Event{Kind: decision.EndpointsReplaced, Endpoints: endpoints}
}

func endpointsChanged(endpoints ...decision.Endpoint) decision.Event {
	return decision.Event{Kind: decision.EndpointsChanged, Endpoints: endpoints}
}

// pickNode returns the node that is picked for a request of one unit and of the first class.
func (h *harness) pickNode(shard int) *node {
	return h.scheduler.pickNode(&request{
		class:   &h.scheduler.cfg.Classes[0],
		arrival: decision.Arrival{Shard: shard, Units: 1},
	})
}

// requestIDs returns the request ids of the actions of one kind, in order.
func requestIDs(acts []decision.Action, k decision.ActionKind) (ids []uint64) {
	for _, a := range acts {
		if a.Kind == k {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// wantIDs fails the test unless got has exactly the given ids, in order.
func wantIDs(t *testing.T, what string, got []uint64, ids ...uint64) {
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

// nodeList returns an endpoint list of n nodes, each with its own shard.
func nodeList(n int) []decision.Endpoint { return nodeListStartedAt(n, 0) }

// nodeListStartedAt is nodeList for nodes that all started at the given time.
func nodeListStartedAt(n int, started time.Duration) (list []decision.Endpoint) {
	for i := range n {
		list = append(list, decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i, StartedAt: started})
	}
	return list
}
