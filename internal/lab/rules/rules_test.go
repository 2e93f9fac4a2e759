package rules

import (
	"strings"
	"testing"

	"poppyarch/internal/lab/history"
)

// Each rule is broken by a short history, and kept by one that differs little.
func TestEachRuleIsCheckedFromBothSides(t *testing.T) {
	terms := Settings{Classes: []Class{{}, {Idempotency: NotIdempotent}, {Idempotency: IdempotentByKey, DeduplicationScope: SameZone, DeduplicationWindow: 100}, {Ordered: true}}, MaxAttempts: 3, DrainGrace: 500, ResponseGrace: 50, SlowStartWindow: 1000,
		RetryBudget: true, RetryBudgetRatio: 1, RetryBudgetWindow: 1000, RateLimit: func(int32) RateLimit { return RateLimit{Rate: 1e6, Burst: 8, Tolerance: 1} }}
	take := func(at int64, id uint64, class int32) history.Record {
		return history.Record{At: at, Kind: history.RequestReceived, Request: id, Class: class, Units: 1, Deadline: 10_000, Key: 7}
	}
	send := func(at int64, id uint64, no, node int32) history.Record {
		return history.Record{At: at, Kind: history.AttemptSent, Request: id, Attempt: no, Node: node}
	}
	ended := func(at int64, id uint64, no int32, never bool) history.Record {
		return history.Record{At: at, Kind: history.AttemptEnded, Request: id, Attempt: no, NeverRan: never}
	}
	answer := func(at int64, id uint64, a history.Result) history.Record {
		return history.Record{At: at, Kind: history.ResponseSent, Request: id, Result: a}
	}
	told := func(at int64, node int32, s history.State, since int64) history.Record {
		return history.Record{At: at, Kind: history.NodeNotified, Node: node, State: s, NodeStartedAt: since}
	}
	start := history.Record{At: 5, Kind: history.NodeStarted, Node: 1}
	h := func(r ...history.Record) []history.Record { return r }
	big := take(10, 1, 0)
	big.Units = 10
	for name, x := range map[string]struct {
		rule         string
		broken, kept []history.Record
	}{
		"never answered": {"answer", h(take(10, 1, 0)), h(take(10, 1, 0), answer(20, 1, history.Rejected))},
		"twice":          {"answer", h(take(10, 1, 0), answer(20, 1, history.Failed), answer(21, 1, history.Failed)), h(take(10, 1, 0), answer(20, 1, history.Failed))},
		"late":           {"answer", h(take(10, 1, 0), answer(10_051, 1, history.Failed)), h(take(10, 1, 0), answer(10_050, 1, history.Failed))},
		"sent after its answer": {"answer", h(take(10, 1, 0), send(11, 1, 0, 0), answer(20, 1, history.Rejected), send(21, 1, 1, 0)),
			h(take(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), answer(20, 1, history.Served))},
		"run twice": {"repeat", h(take(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, false), send(13, 1, 1, 0), answer(14, 1, history.Failed)),
			h(take(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), answer(14, 1, history.Failed))},
		"refused though it may have run": {"refusal", h(take(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, false), answer(14, 1, history.Rejected)),
			h(take(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, false), answer(14, 1, history.Failed))},
		"outside the window": {"repeat", h(take(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(112, 1, 1, 0), answer(114, 1, history.Failed)),
			h(take(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(111, 1, 1, 0), answer(114, 1, history.Failed))},
		"outside the group": {"repeat", h(take(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(13, 1, 1, 1), answer(114, 1, history.Failed)),
			h(take(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(13, 1, 1, 2), answer(114, 1, history.Failed))},
		"too many attempts": {"attempts", h(take(1, 2, 0), take(1, 3, 0), take(1, 4, 0), take(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), ended(14, 1, 1, true), send(15, 1, 2, 0),
			ended(16, 1, 2, true), send(17, 1, 3, 0), answer(18, 1, history.Failed), answer(18, 2, history.Failed), answer(18, 3, history.Failed), answer(18, 4, history.Failed)),
			h(take(1, 2, 0), take(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), ended(14, 1, 1, true), send(15, 1, 2, 0), answer(18, 1, history.Failed), answer(18, 2, history.Failed))},
		"drain": {"drain", h(take(10, 1, 0), told(11, 0, history.Draining, 0), send(512, 1, 0, 0), answer(600, 1, history.Served)),
			h(take(10, 1, 0), told(11, 0, history.Draining, 0), send(511, 1, 0, 0), answer(600, 1, history.Served))},
		"never named": {"list", h(take(10, 1, 0), send(11, 1, 0, 9), answer(600, 1, history.Served)), h(take(10, 1, 0), told(10, 9, history.Up, 0), send(11, 1, 0, 9), answer(600, 1, history.Served))},
		"order": {"order", h(take(10, 1, 3), take(11, 2, 3), send(12, 2, 0, 0), answer(13, 2, history.Served), answer(13, 1, history.Failed)),
			h(take(10, 1, 3), take(11, 2, 3), send(12, 1, 0, 0), ended(13, 1, 0, false), answer(13, 1, history.Served), send(14, 2, 0, 0), answer(15, 2, history.Served))},
		"budget": {"budget", h(take(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), ended(14, 1, 1, true), send(15, 1, 2, 0), answer(16, 1, history.Failed)),
			h(take(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), answer(16, 1, history.Failed))},
		"limit": {"limit", h(big, send(11, 1, 0, 0), answer(12, 1, history.Served)), h(take(10, 1, 0), send(11, 1, 0, 0), answer(12, 1, history.Served))},
		"cold": {"cold", h(start, told(6, 1, history.Up, 5), take(10, 1, 0), send(11, 1, 0, 1), history.Record{At: 12, Kind: history.NodeOverloaded, Node: 1}, answer(13, 1, history.Failed)),
			h(start, told(6, 1, history.Up, 0), take(10, 1, 0), send(11, 1, 0, 1), history.Record{At: 12, Kind: history.NodeOverloaded, Node: 1}, answer(13, 1, history.Failed))},
		"time": {"history", h(take(10, 1, 0), answer(9, 1, history.Failed)), h(take(10, 1, 0), answer(11, 1, history.Failed))},
	} {
		play := func(rs []history.Record) *Checker {
			c := New(terms)
			for i := range int32(4) {
				c.AddNode(i, i, i%2)
				c.Add(&history.Record{Kind: history.NodeNotified, Node: i, State: history.Up})
			}
			for i := range rs {
				c.Add(&rs[i])
			}
			c.Finish(1e6)
			return c
		}
		if c := play(x.broken); len(c.Counts()) != 1 || c.Counts()[x.rule] == 0 || c.Violations()[0].Text == "" {
			t.Errorf("%s: %v, want %s", name, c.Violations(), x.rule)
		}
		if c := play(x.kept); len(c.Counts()) != 0 {
			t.Errorf("%s, kept: %v", name, c.Violations())
		}
	}
}

// The requests of a broker that dies need no response; the next process knows nothing of what it was notified of.
func TestDeadBrokerForgetsItsRequestsAndNotifications(t *testing.T) {
	c := New(Settings{Classes: []Class{{}}, DrainGrace: 500})
	c.AddNode(0, 0, 0) // on every first list; a second process knows only what it is told
	for _, r := range []history.Record{{Kind: history.RequestReceived, Request: 9, Deadline: 9}, {Kind: history.AttemptSent, Request: 9}, {Kind: history.AttemptEnded, Request: 9}, {Kind: history.ResponseSent, Request: 9}, {At: 1, Kind: history.RequestReceived, Request: 1, Deadline: 9}, {At: 2, Kind: history.BrokerDied}, {At: 3, Kind: history.RequestReceived, Request: 2, Deadline: 9},
		{At: 4, Kind: history.AttemptSent, Request: 2}, {At: 5, Kind: history.ResponseSent, Request: 2}} {
		c.Add(&r)
	}
	c.Finish(100)
	if got := c.Violations(); len(got) != 1 || got[0].Rule != "list" || !strings.Contains(got[0].Text, "never named") {
		t.Error(got)
	}
}

// Requests are forgotten when they have their response and all outcomes are known.
func TestMemoryIsBoundedByOpenRequests(t *testing.T) {
	c := New(Settings{Classes: []Class{{Ordered: true}}, RetryBudget: true, RetryBudgetBase: 1, RetryBudgetWindow: 10, DrainGrace: 1})
	c.Add(&history.Record{Kind: history.NodeNotified})
	for i := range int64(5000) {
		id := uint64(i + 1)
		for _, r := range []history.Record{{At: i, Kind: history.RequestReceived, Request: id, Key: id, Deadline: i + 9}, {At: i, Kind: history.AttemptSent, Request: id},
			{At: i, Kind: history.ResponseSent, Request: id}, {At: i, Kind: history.AttemptEnded, Request: id}} {
			c.Add(&r)
		}
	}
	if len(c.requests) > 0 || c.MaxOpen() != 1 || len(c.keys) > 0 {
		t.Errorf("%d open, %d at most, %d keys", len(c.requests), c.MaxOpen(), len(c.keys))
	}
}
