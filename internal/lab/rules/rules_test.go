package rules

import (
	"strings"
	"testing"

	"poppyarch/internal/lab/history"
)

// Each rule is checked with a short history that breaks it and a similar one that keeps it.
func TestEachRuleIsBrokenAndKept(t *testing.T) {
	settings := Settings{Classes: []Class{{}, {Idempotency: NotIdempotent}, {Idempotency: IdempotentByKey, DeduplicationScope: SameZone, DeduplicationWindow: 100}, {Ordered: true}}, MaxAttempts: 3, DrainGrace: 500, ResponseGrace: 50, SlowStartWindow: 1000,
		RetryBudget: true, RetryBudgetRatio: 1, RetryBudgetWindow: 1000, RateLimit: func(int32) RateLimit { return RateLimit{Rate: 1e6, Burst: 8, Tolerance: 1} }}
	receive := func(at int64, id uint64, class int32) history.Record {
		return history.Record{At: at, Kind: history.RequestReceived, Request: id, Class: class, Units: 1, Deadline: 10_000, Key: 7}
	}
	send := func(at int64, id uint64, number, node int32) history.Record {
		return history.Record{At: at, Kind: history.AttemptSent, Request: id, Attempt: number, Node: node}
	}
	ended := func(at int64, id uint64, number int32, neverRan bool) history.Record {
		return history.Record{At: at, Kind: history.AttemptEnded, Request: id, Attempt: number, NeverRan: neverRan}
	}
	respond := func(at int64, id uint64, result history.Result) history.Record {
		return history.Record{At: at, Kind: history.ResponseSent, Request: id, Result: result}
	}
	notified := func(at int64, node int32, s history.State, startedAt int64) history.Record {
		return history.Record{At: at, Kind: history.NodeNotified, Node: node, State: s, NodeStartedAt: startedAt}
	}
	start := history.Record{At: 5, Kind: history.NodeStarted, Node: 1}
	records := func(r ...history.Record) []history.Record { return r }
	large := receive(10, 1, 0)
	large.Units = 10
	for name, histories := range map[string]struct {
		rule         string
		broken, kept []history.Record
	}{
		"no response":     {"answer", records(receive(10, 1, 0)), records(receive(10, 1, 0), respond(20, 1, history.Rejected))},
		"second response": {"answer", records(receive(10, 1, 0), respond(20, 1, history.Failed), respond(21, 1, history.Failed)), records(receive(10, 1, 0), respond(20, 1, history.Failed))},
		"late response":   {"answer", records(receive(10, 1, 0), respond(10_051, 1, history.Failed)), records(receive(10, 1, 0), respond(10_050, 1, history.Failed))},
		"attempt after the response": {"answer", records(receive(10, 1, 0), send(11, 1, 0, 0), respond(20, 1, history.Rejected), send(21, 1, 1, 0)),
			records(receive(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), respond(20, 1, history.Served))},
		"run twice": {"repeat", records(receive(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, false), send(13, 1, 1, 0), respond(14, 1, history.Failed)),
			records(receive(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), respond(14, 1, history.Failed))},
		"rejected after it may have run": {"refusal", records(receive(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, false), respond(14, 1, history.Rejected)),
			records(receive(10, 1, 1), send(11, 1, 0, 0), ended(12, 1, 0, false), respond(14, 1, history.Failed))},
		"outside the deduplication window": {"repeat", records(receive(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(112, 1, 1, 0), respond(114, 1, history.Failed)),
			records(receive(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(111, 1, 1, 0), respond(114, 1, history.Failed))},
		"outside the deduplication scope": {"repeat", records(receive(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(13, 1, 1, 1), respond(114, 1, history.Failed)),
			records(receive(10, 1, 2), send(11, 1, 0, 0), ended(12, 1, 0, false), send(13, 1, 1, 2), respond(114, 1, history.Failed))},
		"too many attempts": {"attempts", records(receive(1, 2, 0), receive(1, 3, 0), receive(1, 4, 0), receive(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), ended(14, 1, 1, true), send(15, 1, 2, 0),
			ended(16, 1, 2, true), send(17, 1, 3, 0), respond(18, 1, history.Failed), respond(18, 2, history.Failed), respond(18, 3, history.Failed), respond(18, 4, history.Failed)),
			records(receive(1, 2, 0), receive(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), ended(14, 1, 1, true), send(15, 1, 2, 0), respond(18, 1, history.Failed), respond(18, 2, history.Failed))},
		"attempt at a draining node": {"drain", records(receive(10, 1, 0), notified(11, 0, history.Draining, 0), send(512, 1, 0, 0), respond(600, 1, history.Served)),
			records(receive(10, 1, 0), notified(11, 0, history.Draining, 0), send(511, 1, 0, 0), respond(600, 1, history.Served))},
		"node never listed": {"list", records(receive(10, 1, 0), send(11, 1, 0, 9), respond(600, 1, history.Served)), records(receive(10, 1, 0), notified(10, 9, history.Ready, 0), send(11, 1, 0, 9), respond(600, 1, history.Served))},
		"request order": {"order", records(receive(10, 1, 3), receive(11, 2, 3), send(12, 2, 0, 0), respond(13, 2, history.Served), respond(13, 1, history.Failed)),
			records(receive(10, 1, 3), receive(11, 2, 3), send(12, 1, 0, 0), ended(13, 1, 0, false), respond(13, 1, history.Served), send(14, 2, 0, 0), respond(15, 2, history.Served))},
		"retry budget": {"budget", records(receive(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), ended(14, 1, 1, true), send(15, 1, 2, 0), respond(16, 1, history.Failed)),
			records(receive(10, 1, 0), send(11, 1, 0, 0), ended(12, 1, 0, true), send(13, 1, 1, 0), respond(16, 1, history.Failed))},
		"rate limit": {"limit", records(large, send(11, 1, 0, 0), respond(12, 1, history.Served)), records(receive(10, 1, 0), send(11, 1, 0, 0), respond(12, 1, history.Served))},
		"overload in slow start": {"cold", records(start, notified(6, 1, history.Ready, 5), receive(10, 1, 0), send(11, 1, 0, 1), history.Record{At: 12, Kind: history.NodeOverloaded, Node: 1}, respond(13, 1, history.Failed)),
			records(start, notified(6, 1, history.Ready, 0), receive(10, 1, 0), send(11, 1, 0, 1), history.Record{At: 12, Kind: history.NodeOverloaded, Node: 1}, respond(13, 1, history.Failed))},
		"record out of time order": {"history", records(receive(10, 1, 0), respond(9, 1, history.Failed)), records(receive(10, 1, 0), respond(11, 1, history.Failed))},
	} {
		check := func(rs []history.Record) *Checker {
			c := New(settings)
			for i := range int32(4) {
				c.AddNode(i, i, i%2)
				c.Add(&history.Record{Kind: history.NodeNotified, Node: i, State: history.Ready})
			}
			for i := range rs {
				c.Add(&rs[i])
			}
			c.Finish(1e6)
			return c
		}
		if c := check(histories.broken); len(c.Counts()) != 1 || c.Counts()[histories.rule] == 0 || c.Violations()[0].Text == "" {
			t.Errorf("%s: violations %v, want one of rule %s", name, c.Violations(), histories.rule)
		}
		if c := check(histories.kept); len(c.Counts()) != 0 {
			t.Errorf("%s: violations %v by the history that keeps the rule", name, c.Violations())
		}
	}
}

// The requests of a broker that dies need no response, and the next process knows nothing of what the first one was
// notified of.
func TestDeadBrokerForgetsItsRequestsAndNotifications(t *testing.T) {
	c := New(Settings{Classes: []Class{{}}, DrainGrace: 500})
	c.AddNode(0, 0, 0) // on the first list of the first process; a second process knows only what it is notified of
	for _, r := range []history.Record{{Kind: history.RequestReceived, Request: 9, Deadline: 9}, {Kind: history.AttemptSent, Request: 9}, {Kind: history.AttemptEnded, Request: 9}, {Kind: history.ResponseSent, Request: 9}, {At: 1, Kind: history.RequestReceived, Request: 1, Deadline: 9}, {At: 2, Kind: history.BrokerCrashed}, {At: 3, Kind: history.RequestReceived, Request: 2, Deadline: 9},
		{At: 4, Kind: history.AttemptSent, Request: 2}, {At: 5, Kind: history.ResponseSent, Request: 2}} {
		c.Add(&r)
	}
	c.Finish(100)
	if got := c.Violations(); len(got) != 1 || got[0].Rule != "list" || !strings.Contains(got[0].Text, "the broker's list has never named") {
		t.Errorf("violations %v, want one of rule list", got)
	}
}

// Requests are forgotten once they have their response and all their outcomes are known.
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
		t.Errorf("%d requests kept, at most %d open, %d keys kept; want 0, 1, 0", len(c.requests), c.MaxOpen(), len(c.keys))
	}
}
