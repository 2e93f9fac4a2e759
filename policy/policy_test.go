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
	t   *testing.T
	s   *Scheduler
	now time.Duration
}

func testConfig() decision.Config {
	return decision.Config{
		Seed: 1, Brokers: 2, MaxAttempts: 3, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
		Classes: []decision.Class{
			{Name: "read", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 3, Idempotency: decision.Idempotent},
			{Name: "write", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 2, Idempotency: decision.NotIdempotent},
			{Name: "ordered", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 2, Idempotency: decision.NotIdempotent, Ordered: true},
			{Name: "keyed", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 2, Idempotency: decision.IdempotentByKey, DedupScope: decision.DedupShard,
				DedupWindow: 800 * ms},
		},
		Plans: []decision.Plan{
			{Name: "one", Weight: 1, PriceFactor: 1, UsualRate: 100, ReservedRate: 50},
			{Name: "three", Weight: 3, PriceFactor: 1, UsualRate: 100, ReservedRate: 50},
			{Name: "bound", Weight: 1, PriceFactor: 1, UsualRate: 10, ReservedRate: 5, RateLimit: 10, RateLimitBurst: 40, RateLimitTolerance: 4},
		},
		OverloadWindow: time.Second, SlowStartDuration: 10 * time.Second, SlowStartFraction: 0.2, ColdCapacityUnits: 8,
		OrderedKeyQuietPeriod: 200 * ms, MeanUnits: 2, MaxUnits: 8, MaxPollInterval: 10 * time.Second,
	}
}

func newRig(t *testing.T, cfg decision.Config, members ...decision.Endpoint) *rig {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, s: s, now: time.Hour}
	if members == nil {
		members = []decision.Endpoint{{Node: "a"}}
	}
	r.step(decision.Event{Kind: decision.EndpointsReplaced, Endpoints: members})
	return r
}

func (r *rig) step(evs ...decision.Event) []decision.Action { return r.s.Step(r.now, evs, nil) }

// after moves the clock and steps.
func (r *rig) after(d time.Duration, evs ...decision.Event) []decision.Action {
	r.now += d
	return r.step(append([]decision.Event{{Kind: decision.TimerFired, Token: 1}}, evs...)...)
}

func (r *rig) arrive(id uint64, class, plan int, vol, key string, units float64) decision.Event {
	return decision.Event{Kind: decision.RequestArrived, ID: id, Arrival: decision.Arrival{Class: class, Plan: plan, Volume: vol, Key: key, Units: units,
		Brokers: 1, Deadline: r.now + r.s.cfg.Classes[class].Deadline}}
}

func answered(id uint64, node string, o decision.Outcome) decision.Event {
	return decision.Event{Kind: decision.AttemptEnded, ID: id, Node: node, Outcome: o, Final: o == decision.Served}
}

// of picks the request ids of one kind of action, in order.
func of(acts []decision.Action, k decision.ActionKind) (ids []uint64) {
	for _, a := range acts {
		if a.Kind == k {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

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

func TestTagsOfTwoVolumesOfUnlikeWeight(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.depth = 1
	// x has weight 1, y weight 3. Each asks three times for 3 units: x starts 0 3 6, y starts 0 1 2.
	acts := r.step(r.arrive(1, 0, 0, "x", "", 3), r.arrive(2, 0, 0, "x", "", 3), r.arrive(3, 0, 0, "x", "", 3),
		r.arrive(4, 0, 1, "y", "", 3), r.arrive(5, 0, 1, "y", "", 3), r.arrive(6, 0, 1, "y", "", 3))
	for id, tags := range map[uint64][2]float64{1: {0, 3}, 2: {3, 6}, 3: {6, 9}, 4: {0, 1}, 5: {1, 2}, 6: {2, 3}} {
		if q := r.s.requests.open[id]; q.startTag != tags[0] || q.finishTag != tags[1] {
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

func TestVirtualTimeBusyAndIdle(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
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
	if q := r.s.requests.open[2]; q.startTag != 4 || q.finishTag != 5 {
		t.Fatalf("after idling: tags %v %v, want 4 and 5", q.startTag, q.finishTag)
	}
}

func TestCompensationIsSetKeptAndLeftAtZero(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.depth = 1
	r.step(r.arrive(1, 0, 0, "x", "", 1), r.arrive(2, 0, 0, "x", "", 1), r.arrive(3, 0, 1, "y", "", 1),
		r.arrive(4, 0, 1, "y", "", 1))
	x, y := n.flowOf[r.s.volumes["x"]], n.flowOf[r.s.volumes["y"]]
	x.servedUnits, y.servedUnits = 3, 33 // over weight 3 and 11: gap 8, above epsUnits x 2 units
	r.s.endPeriod()
	if x.compensation != 0 || y.compensation != 24 {
		t.Fatalf("set: compensation %v and %v, want 0 and 8 x weight 3", x.compensation, y.compensation)
	}
	x.servedUnits, y.servedUnits = 1, 3
	r.s.endPeriod()
	if x.compensation != 0 || y.compensation != 24 {
		t.Fatalf("below the permitted gap: %v and %v, want zero left and 24 kept", x.compensation, y.compensation)
	}
	y.queue = nil
	r.s.endPeriod()
	if y.compensation != 0 {
		t.Fatalf("nobody waits: compensation %v, want 0", y.compensation)
	}
}

// After a surge its volume is not pushed back for longer than one period past its last waiting request.
func TestCompensationEndsWithItsQueue(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.depth = 1
	r.step(r.arrive(1, 0, 0, "x", "", 1), r.arrive(2, 0, 0, "x", "", 1), r.arrive(3, 0, 1, "y", "", 1))
	n.flowOf[r.s.volumes["x"]].compensation = 500
	r.after(5*ms, answered(1, "a", decision.Served))
	r.after(5*ms, answered(3, "a", decision.Served)) // now 2 goes, and nothing of x waits
	r.after(compensationPeriod)
	want(t, "x is served last though pushed back", of(r.after(5*ms, answered(2, "a", decision.Served),
		r.arrive(4, 0, 0, "x", "", 1)), decision.Forward), 4)
	if f := n.flowOf[r.s.volumes["x"]]; f.compensation != 0 {
		t.Fatalf("compensation %v a period after the queue ran empty", f.compensation)
	}
}

func TestOutcomeAndDrainInOneBatchCountBeforeAnySend(t *testing.T) {
	r := newRig(t, testConfig())
	r.s.nodes.byName["a"].depth = 1
	r.step(r.arrive(1, 0, 0, "x", "", 1), r.arrive(2, 0, 0, "x", "", 1))
	acts := r.after(5*ms, answered(1, "a", decision.Served),
		decision.Event{Kind: decision.EndpointsChanged, Endpoints: []decision.Endpoint{{Node: "a", State: decision.Draining}}})
	want(t, "sends to a draining node", of(acts, decision.Forward))
	want(t, "refused, as its shard has no node", of(acts, decision.Shed), 2)
}

func TestUnsafeThatMayHaveRunFails(t *testing.T) {
	for _, o := range []decision.Outcome{decision.NodeError, decision.TimedOut, decision.ConnectionLost, decision.Cancelled} {
		r := newRig(t, testConfig())
		r.step(r.arrive(1, 1, 0, "x", "", 1))
		acts := r.after(5*ms, answered(1, "a", o))
		want(t, "failed", of(acts, decision.Fail), 1)
		want(t, "refused", of(acts, decision.Shed))
		want(t, "sent", of(acts, decision.Forward))
	}
}

func TestOrderWaitsForOutcomeAndQuietTime(t *testing.T) {
	r := newRig(t, testConfig())
	r.s.nodes.byName["a"].depth = 8
	acts := r.step(r.arrive(1, 2, 0, "x", "k", 1), r.arrive(2, 2, 0, "x", "k", 1), r.arrive(3, 0, 0, "x", "", 1))
	want(t, "only the key's first and the one behind", of(acts, decision.Forward), 1, 3)
	want(t, "the client left, the attempt is unknown", of(r.after(20*ms, decision.Event{Kind: decision.ClientDisconnected, ID: 1}), decision.Forward))
	want(t, "resting", of(r.after(20*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Node: "a", Outcome: decision.TimedOut, Final: true}), decision.Forward))
	want(t, "resting still", of(r.after(180*ms), decision.Forward))
	want(t, "rested", of(r.after(30*ms), decision.Forward), 2)
}

func TestLimitStartsEmptyAndIsAPartOfTheWhole(t *testing.T) {
	r := newRig(t, testConfig())
	sent := 0.0
	for i := uint64(1); i <= 400; i++ {
		ev := r.arrive(i, 0, 2, "v", "", 2)
		ev.Arrival.Brokers = 2
		for _, id := range of(r.after(10*ms, ev), decision.Forward) {
			sent += 2
			r.after(0, answered(id, "a", decision.Served))
		}
	}
	// 4 s at half of 10 units a second, plus this host's part of the slack.
	if sent > 4*5+2 || sent < 4*5-4 {
		t.Fatalf("sent %v units in 4 s, want about 20", sent)
	}
}

func TestLimitStoreFillsFromBirthNotFromFirstSight(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.depth = 16
	r.now += 2 * time.Second // 20 units, and the slack of 4
	sent := 0
	for _, id := range of(r.step(r.arrive(1, 0, 2, "v", "", 8), r.arrive(2, 0, 2, "v", "", 8), r.arrive(3, 0, 2, "v", "", 8),
		r.arrive(4, 0, 2, "v", "", 8)), decision.Forward) {
		sent += int(id)
	}
	if sent != 1+2+3 {
		t.Fatalf("sent requests of sum %d, want the first three of 8 units each", sent)
	}
}

func TestColdNodeGetsThisHostsPart(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "a", StartedAt: time.Hour + 2*time.Second})
	r.now += 2 * time.Second
	sent := 0
	for i := uint64(1); i <= 30; i++ {
		for _, id := range of(r.after(30*ms, r.arrive(i, 0, 0, "x", "", 1)), decision.Forward) {
			sent++
			r.after(0, answered(id, "a", decision.Served))
		}
	}
	if sent > 4 || sent == 0 {
		t.Fatalf("%d units in the first window, want 1 to 4 (half of 8)", sent)
	}
}

func TestHostYoungerThanTheWindowSendsNothingToAColdNode(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "a", StartedAt: time.Hour - time.Second})
	want(t, "sends", of(r.step(r.arrive(1, 0, 0, "x", "", 1)), decision.Forward))
}

func TestShortClientWaitIsNoLateRetry(t *testing.T) {
	r := newRig(t, testConfig())
	ev := r.arrive(1, 0, 0, "x", "k", 1)
	ev.Arrival.Deadline = r.now + 600*ms // the class's deadline is 4 s, its aim 1 s
	want(t, "sent", of(r.step(ev), decision.Forward), 1)
}

func TestRequestsHeldByALimitAreNoBacklog(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.latency, n.depth = 0.3, 1
	r.step(r.arrive(8, 0, 2, "v", "", 4)) // spends what the limit holds at birth
	r.step(answered(8, "a", decision.Served), r.arrive(1, 0, 2, "v", "", 4), r.arrive(2, 0, 2, "v", "", 3))
	n.latency, n.depth = 0.3, 1
	acts := r.step(r.arrive(3, 0, 0, "x", "", 4))
	want(t, "refused", of(acts, decision.Shed))
	want(t, "sent past the limited volume", of(acts, decision.Forward), 3)
}

// An attempt is out until its answer would be late and is not sent again then: a node's queue stays short.
func TestAttemptIsOutUntilItsAimOnly(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	acts := r.step(r.arrive(1, 0, 0, "x", "", 1))
	if len(acts) == 0 || acts[0].Kind != decision.Forward || acts[0].After != time.Second {
		t.Fatalf("got %+v, want a send for the 1 s of the aim", acts)
	}
	for i := 0; i < 9; i++ {
		r.after(100 * ms)
	}
	acts = r.after(100*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Node: "a", Outcome: decision.TimedOut})
	want(t, "refused after its time-out", of(acts, decision.Shed), 1)
	want(t, "sent again", of(acts, decision.Forward))
	if !n.health.suspect || n.latency < 1 {
		t.Fatalf("suspect %v, latency %v after a time-out of 1 s", n.health.suspect, n.latency)
	}
	r.step(r.arrive(2, 0, 0, "x", "", 1))
	if r.after(ms, answered(2, "a", decision.Served)); n.health.suspect {
		t.Fatal("still suspect after an answer")
	}
}

// A connection that falls silent takes its attempt along and tells nothing of its node. So the first time-out of a quick
// node counts only if the next answer is slow too or does not come; until then one request is out there at most.
func TestLoneTimeOutIsNoLoad(t *testing.T) {
	for _, x := range []struct {
		stay    time.Duration
		outcome decision.Outcome
		counts  bool
	}{{50 * ms, decision.Served, false}, {400 * ms, decision.Served, true}, {time.Second, decision.TimedOut, true}} {
		r := newRig(t, testConfig())
		n := r.s.nodes.byName["a"]
		n.latency, n.depth = 0.05, 3
		r.step(r.arrive(1, 0, 0, "x", "", 1))
		for range 10 {
			r.after(100 * ms)
		}
		r.step(decision.Event{Kind: decision.AttemptEnded, ID: 1, Node: "a", Outcome: decision.TimedOut})
		if !n.health.suspect || n.depth != 3 || n.latency != 0.05 {
			t.Fatalf("suspect %v, depth %v, latency %v right after the time-out", n.health.suspect, n.depth, n.latency)
		}
		acts := r.step(r.arrive(2, 0, 0, "x", "", 1), r.arrive(3, 0, 0, "x", "", 1))
		want(t, "sent before the next answer", of(acts, decision.Forward), 2)
		for range x.stay / (50 * ms) {
			r.after(50 * ms)
		}
		r.step(decision.Event{Kind: decision.AttemptEnded, ID: 2, Node: "a", Outcome: x.outcome, Final: x.outcome == decision.Served})
		if counts := n.depth < 2; counts != x.counts || (n.latency > 0.1) != x.counts {
			t.Errorf("next answer %d after %v: depth %v, latency %v", x.outcome, x.stay, n.depth, n.latency)
		}
	}
}

// With one host in many, D under 1 is a pause between sends; what is inside a reserve does not wait for it.
func TestDepthUnderOneIsAPause(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.latency, n.depth, n.lastSendAt = 0.4, 0.5, r.now
	r.s.cfg.Plans[0].ReservedRate = 0
	r.s.volumeOf(&decision.Arrival{Volume: "x", Brokers: 1}).reserveCredit = 0
	want(t, "sent in the pause", of(r.step(r.arrive(1, 0, 0, "x", "", 1)), decision.Forward))
	want(t, "reserved in the pause", of(r.step(r.arrive(2, 0, 1, "y", "", 1)), decision.Forward), 2)
	r.after(10*ms, answered(2, "a", decision.Served))
	n.latency, n.depth = 0.4, 0.5
	want(t, "sent before lat / D", of(r.after(300*ms), decision.Forward))
	n.latency, n.depth = 0.4, 0.8
	want(t, "sent after lat / D", of(r.after(220*ms), decision.Forward), 1)
}

// The labels of 24 hosts that hear from the meter add up to the volume's reserve, not to 24 times it.
func TestLabelsOfManyHostsAddUp(t *testing.T) {
	labelled := 0.0
	for host := uint64(0); host < 24; host++ {
		r := newRig(t, testConfig())
		for i := uint64(1); i <= 40; i++ { // 1 unit a second at each host, 24 over all, of a reserve of 5
			r.s.cfg.Plans[0].ReservedRate, r.s.cfg.Plans[0].UsualRate = 5, 10
			a := r.arrive(i, 0, 0, "x", "", 1)
			a.Arrival.Brokers = 24
			r.step(a)
			if i > 20 && r.s.requests.open[i].reserved {
				labelled++
			}
			ev := answered(i, "a", decision.Served)
			ev.VolumeUsage = 241
			r.after(10*ms, ev)
			r.now += 990 * ms
		}
	}
	if labelled < 60 || labelled > 160 {
		t.Fatalf("%v units labelled in 20 s, want about the 100 of the reserve", labelled)
	}
}

// A list call whose news are owed is made again soon: what it should have told counts as told a few seconds later, and
// four seconds after a move of discovery. Hosts that failed together do not come again together.
func TestWatchIsAskedAgainSoonAndOutOfStep(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints = true
	again := map[time.Duration]int{}
	for seed := range uint64(100) {
		cfg.Seed = seed
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, s: s, now: time.Hour}
		asked := []time.Duration{}
		for range 1500 {
			for _, a := range r.step(decision.Event{Kind: decision.TimerFired, Token: 1}) {
				if a.Kind == decision.WatchEndpoints {
					asked = append(asked, r.now)
					within := 1500 * ms
					if len(asked) == 1 {
						within = 750 * ms
					}
					r.step(decision.Event{Kind: decision.EndpointWatchFailed, RetryWithin: within})
				}
			}
			r.now += 20 * ms
		}
		if len(asked) < 20 || len(asked) > 45 {
			t.Fatalf("asked %d times in 30 s of failures", len(asked))
		}
		for i := 1; i < len(asked); i++ {
			if gap := asked[i] - asked[i-1]; gap < 240*ms || gap > 1540*ms {
				t.Fatalf("%v between two calls", gap)
			}
		}
		again[asked[1]]++
	}
	for at, n := range again {
		if n > 20 {
			t.Errorf("%d of 100 hosts ask again %v after a failure that all had", n, at-time.Hour)
		}
	}
}

func TestNewNamesTheField(t *testing.T) {
	for what, spoil := range map[string]func(*decision.Config){
		"no class":      func(c *decision.Config) { c.Classes = nil },
		"negative rate": func(c *decision.Config) { c.Plans[0].UsualRate = -1 },
		"unknown kind":  func(c *decision.Config) { c.Classes[1].Idempotency = 9 },
		"no aim":        func(c *decision.Config) { c.Classes[0].LatencyObjective = 0 },
		"negative time": func(c *decision.Config) { c.OrderedKeyQuietPeriod = -1 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: no error", what)
		}
	}
}

// A host that stood still for 1.5 s learns nothing of the node from that batch, counts the aim of what came
// meanwhile from when it came, and answers what is doomed at once.
func TestHostThatStoodStill(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.latency, n.depth = 0.05, 4
	r.step(r.arrive(1, 0, 0, "x", "", 1))
	doomed, late := r.arrive(2, 0, 0, "x", "p", 1), r.arrive(3, 0, 0, "x", "q", 1)
	late.Arrival.Deadline += 1200 * ms // came 1.2 s into the 1.5 s
	acts := r.after(1500*ms, answered(1, "a", decision.Served), doomed, late)
	if n.latency != 0.05 || n.depth != 4 {
		t.Errorf("learnt latency %v and depth %v from its own stall", n.latency, n.depth)
	}
	want(t, "refused at once", of(acts, decision.Shed), 2)
	want(t, "sent", of(acts, decision.Forward), 3)
	if q := r.s.requests.open[3]; q.objectiveAt != r.now+700*ms {
		t.Errorf("aim ends %v from now, want 700 ms", q.objectiveAt-r.now)
	}
}

// Where trials at suspect nodes are hardly ever served, even work inside its reserve goes there seldom.
func TestReserveWaitsWhereTrialsAreHardlyServed(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	n.latency, n.depth, n.health.suspect = 0.6, 0.02, true
	want(t, "trials are served: sent", of(r.step(r.arrive(1, 0, 0, "x", "", 1)), decision.Forward), 1)
	for i := 0; i < 5; i++ { // each lets its trial time out
		r.s.observeOutcome(n, r.s.requests.open[1], &decision.Event{Kind: decision.AttemptEnded, Outcome: decision.TimedOut})
	}
	r.after(100*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Node: "a", Outcome: decision.Rejected, Final: true})
	n.latency, n.depth = 0.6, 0.02
	want(t, "none was: sent", of(r.after(100*ms, r.arrive(2, 0, 0, "x", "", 1)), decision.Forward))
	n.lastSendAt = r.now - 3*time.Second
	want(t, "after the pause", of(r.after(100*ms), decision.Forward), 2)
}

// An outcome of an attempt that is not the one out, late or repeated, changes nothing.
// Spoilt answers come from good nodes too. Counted as a break or as silence they made nodes cold or suspect, and
// with all nodes cold most work was refused. Only the attempt fails: it may have run.
func TestSpoiltAnswersSayNothingAgainstTheNode(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	depth := n.depth
	want(t, "sends", of(r.step(r.arrive(1, 0, 0, "v", "k", 2)), decision.Forward), 1)
	want(t, "a safe one goes again", of(r.after(20*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Node: "a", Outcome: decision.MalformedResponse}), decision.Forward), 1)
	r.after(20*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Attempt: 1, Node: "a", Outcome: decision.Served, Final: true})
	r.step(r.arrive(2, 1, 0, "v", "k", 2))
	want(t, "an unsafe one fails", of(r.after(20*ms, decision.Event{Kind: decision.AttemptEnded, ID: 2, Node: "a", Outcome: decision.MalformedResponse}), decision.Fail), 2)
	if _, cold := r.s.slowStartSince(n); cold || n.health.suspect || n.pausedUntil > r.now || n.depth < depth {
		t.Errorf("cold %v, suspect %v, depth %v, was %v", cold, n.health.suspect, n.depth, depth)
	}
}

// A connection that breaks is no restart: taken for one, the node got next to nothing for a whole warm-up, and nothing at
// all for 200 ms; with one attempt in ten broken, all nodes were cold. Where none can be made, or one breaks after a
// silence, it is.
func TestWhatCountsAsARestart(t *testing.T) {
	for _, x := range []struct {
		outcomes []decision.Outcome
		cold     bool
	}{
		{[]decision.Outcome{decision.ConnectionLost, decision.ConnectionLost, decision.SendIncomplete, decision.SendIncomplete}, false},
		{[]decision.Outcome{decision.ConnectFailed, decision.Served, decision.ConnectFailed}, false},
		{[]decision.Outcome{decision.ConnectFailed, decision.ConnectFailed}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.TimedOut, decision.ConnectionLost}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.ConnectFailed}, true},
		{[]decision.Outcome{decision.TimedOut, decision.TimedOut, decision.TimedOut, decision.Served, decision.ConnectionLost}, false},
		{[]decision.Outcome{decision.Served, decision.TimedOut, decision.ConnectionLost}, false},
	} {
		r := newRig(t, testConfig())
		n := r.s.nodes.byName["a"]
		for id, o := range x.outcomes {
			for n.depth < 1 && len(of(r.after(compensationPeriod), decision.Forward)) == 0 {
				n.depth = 1 // no pause: this is about what the outcome says
			}
			r.s.fleet.depth = 1
			want(t, "sends", of(r.step(r.arrive(uint64(id+1), 0, 0, "v", fmt.Sprint(id), 2)), decision.Forward), uint64(id+1))
			for range 4 {
				r.after(compensationPeriod)
			}
			r.step(decision.Event{Kind: decision.AttemptEnded, ID: uint64(id + 1), Node: "a", Outcome: o, Final: true})
		}
		if _, cold := r.s.slowStartSince(n); cold != x.cold || (n.pausedUntil > r.now) != x.cold {
			t.Errorf("%v: cold %v, nothing sent for %v", x.outcomes, cold, n.pausedUntil-r.now)
		}
	}
}

// A node that fails at once looks like the fastest of all. Taken for that it drew all new objects, which must not run
// twice and so were lost. It stays in use for what only it has, and comes back with what it serves.
func TestFastErrorsDrawNoWork(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "bad"}, decision.Endpoint{Node: "good", Shard: 1})
	bad := r.s.nodes.byName["bad"]
	fails, id := true, uint64(0)
	count := func(shard int) (toBad int) {
		for range 100 {
			id++
			ev := r.arrive(id, 1, 0, "v", fmt.Sprint(id), 2)
			ev.Arrival.Shard = shard
			for _, a := range r.after(100*ms, ev) {
				if a.Kind != decision.Forward {
					continue
				}
				out, wait := decision.Served, 50*ms
				if a.Node == "bad" {
					toBad++
					if fails {
						out, wait = decision.NodeError, ms
					}
				}
				r.after(wait, decision.Event{Kind: decision.AttemptEnded, ID: a.ID, Node: a.Node, Outcome: out, Final: true})
			}
		}
		return toBad
	}
	if n := count(0); n != 100 {
		t.Errorf("%d of 100 sent to the only node that has the data", n)
	}
	if n := count(-1); n > 5 {
		t.Errorf("%d of 100 new objects sent to a node that fails", n)
	}
	if bad.latency < 0.03 { // it knows of it what it knows of the others, where it has served nothing
		t.Errorf("its errors count as answers within %v s", bad.latency)
	}
	fails = false
	count(0)
	if n := count(-1); n < 20 {
		t.Errorf("%d of 100 new objects sent to it since it serves again", n)
	}
}

// An attempt with little time left that gets no answer in it does not make its node suspect.
func TestLittleTimeMakesNoSuspect(t *testing.T) {
	r := newRig(t, testConfig())
	n := r.s.nodes.byName["a"]
	r.step(r.arrive(1, 0, 0, "v", "k", 2))
	r.after(50*ms, decision.Event{Kind: decision.AttemptEnded, ID: 1, Node: "a", Outcome: decision.TimedOut, Final: true})
	if n.health.suspect {
		t.Error("suspect after 50 ms of an aim of a second")
	}
	r.step(r.arrive(2, 0, 0, "v", "k2", 2))
	for range 4 {
		r.after(compensationPeriod)
	}
	r.after(compensationPeriod, decision.Event{Kind: decision.AttemptEnded, ID: 2, Node: "a", Outcome: decision.TimedOut, Final: true})
	if !n.health.suspect {
		t.Error("not suspect after 500 ms of silence")
	}
}

// A node that left the list is forgotten, but not while its cold start, a send of late or an attempt may still count.
func TestGoneNodesAreForgotten(t *testing.T) {
	r := newRig(t, testConfig(), decision.Endpoint{Node: "a"}, decision.Endpoint{Node: "b", Shard: 1})
	r.step(r.arrive(1, 0, 0, "v", "k", 2))
	r.step(decision.Event{Kind: decision.EndpointsChanged, Endpoints: []decision.Endpoint{{Node: "a", State: decision.Removed}, {Node: "b", Shard: 1, State: decision.Removed}}})
	for range 600 {
		r.after(compensationPeriod)
	}
	if r.s.nodes.byName["b"] == nil {
		t.Error("b is forgotten within its warm-up")
	}
	for range 200 {
		r.after(compensationPeriod)
	}
	if r.s.nodes.byName["b"] != nil || r.s.nodes.byName["a"] == nil || len(r.s.nodes.list) != 1 {
		t.Errorf("b known: %v; a, with an attempt out: %v", r.s.nodes.byName["b"] != nil, r.s.nodes.byName["a"] != nil)
	}
	r.after(compensationPeriod, decision.Event{Kind: decision.AttemptEnded, ID: 1, Node: "a", Outcome: decision.Served, Final: true})
	r.after(compensationPeriod)
	if len(r.s.nodes.byName)+len(r.s.nodes.list) != 0 {
		t.Error("a is still known")
	}
}

// What cannot be sent is refused by half of its client's time: later it costs more than a refusal.
func TestNothingWaitsForOverHalfItsTime(t *testing.T) {
	r := newRig(t, testConfig())
	r.s.nodes.byName["a"].depth = 1
	r.step(r.arrive(1, 0, 0, "v", "k", 2)) // holds the node
	ev := r.arrive(2, 0, 0, "v", "k2", 2)
	ev.Arrival.Deadline = r.now + 600*ms
	r.step(ev)
	want(t, "refused early", of(r.after(260*ms), decision.Shed))
	want(t, "refused at half", of(r.after(25*ms), decision.Shed), 2)
}

func TestOutcomeOfAnotherAttemptIsIgnored(t *testing.T) {
	r := newRig(t, testConfig())
	r.s.nodes.byName["a"].depth = 8
	r.step(r.arrive(1, 0, 0, "x", "", 1))
	full := answered(1, "a", decision.Rejected)
	r.after(5*ms, full)
	want(t, "second try", of(r.after(30*ms), decision.Forward), 1)
	acts := r.after(5*ms, full)
	want(t, "sent on the repeated outcome", of(append(acts, r.after(30*ms)...), decision.Forward))
	if q := r.s.requests.open[1]; !q.inFlight || q.attempts != 2 {
		t.Fatalf("in flight %v, attempts %d, want true and 2", q.inFlight, q.attempts)
	}
}

// A kind's capacity is what is expected of a node until it is measured: new objects go to the stronger kind more often, and its first depth is
// larger.
func TestKindIsThePrior(t *testing.T) {
	share := func(capacity float64) float64 {
		cfg := testConfig()
		r := newRig(t, cfg)
		r.after(0, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: []decision.Endpoint{{Node: "a", Shard: 0}}})
		for id := uint64(1); id < 40; id++ { // some stays are known of the usual node
			for _, x := range r.after(50*ms, r.arrive(id, 0, 0, "v", "", 1)) {
				if x.Kind == decision.Forward {
					r.after(50*ms, decision.Event{Kind: decision.AttemptEnded, ID: x.ID, Node: x.Node, Final: true})
				}
			}
		}
		r.after(0, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: []decision.Endpoint{{Node: "b", Shard: 1, Capacity: capacity}, {Node: "c", Shard: 2, Capacity: 1}}})
		strong := 0
		for range 200 {
			if r.s.pickNode(&request{class: &r.s.cfg.Classes[0], arrival: decision.Arrival{Shard: -1, Units: 1}}).Node == "b" {
				strong++
			}
		}
		if b, c := r.s.nodes.byName["b"].depth, r.s.nodes.byName["c"].depth; (b > c) != (capacity > 1) {
			t.Errorf("capacity %v: depths %v and %v", capacity, b, c)
		}
		return float64(strong) / 200
	}
	strong, weak := share(4), share(0.25)
	if strong < weak+0.3 {
		t.Errorf("a strong kind gets %v of new objects, a weak one %v", strong, weak)
	}
}

// New objects stay in the host's own zone unless a node elsewhere is better by the given time; objects that lie somewhere are
// read there all the same.
func TestNewObjectsStayInTheRoom(t *testing.T) {
	cfg := testConfig()
	cfg.LocalZone, cfg.RemoteZonePenalty = 2, 50*ms
	r := newRig(t, cfg)
	r.after(0, decision.Event{Kind: decision.EndpointsReplaced, Endpoints: []decision.Endpoint{{Node: "near", Shard: 0, Zone: 1}, {Node: "far", Shard: 1, Zone: 0}}})
	for range 50 {
		if n := r.s.pickNode(&request{class: &r.s.cfg.Classes[0], arrival: decision.Arrival{Shard: -1, Units: 1}}); n.Node != "near" {
			t.Fatalf("a new object goes to %s", n.Node)
		}
	}
	if n := r.s.pickNode(&request{class: &r.s.cfg.Classes[0], arrival: decision.Arrival{Shard: 1, Units: 1}}); n.Node != "far" {
		t.Errorf("an object on shard 1 is sought at %s", n.Node)
	}
	r.s.nodes.byName["near"].latency = 0.2
	if n := r.s.pickNode(&request{class: &r.s.cfg.Classes[0], arrival: decision.Arrival{Shard: -1, Units: 1}}); n.Node != "far" {
		t.Errorf("a new object waits at %s", n.Node)
	}
}

// One bad node that holds much of what this host's volumes ask for brings D of all nodes together down to its least value
// here. Work inside its reserve still goes to the others; it was refused by lot, half of it at that value.
func TestReserveIsNotRefusedForWhatOneNodeTells(t *testing.T) {
	for seed := range uint64(20) {
		cfg := testConfig()
		cfg.Seed, cfg.Brokers = seed, 80
		r := newRig(t, cfg, decision.Endpoint{Node: "bad", Shard: 1}, decision.Endpoint{Node: "good", Shard: 2})
		at := func(id uint64, shard int, vol string) decision.Event {
			ev := r.arrive(id, 0, 0, vol, "", 1)
			ev.Arrival.Shard = shard
			return ev
		}
		for id := range uint64(30) {
			sent := of(r.after(100*ms, at(id, 1, "v")), decision.Forward)
			for range 10 { // not at once: the clock that jumps means that this host stood still
				r.after(100 * ms)
			}
			for _, x := range sent {
				r.step(answered(x, "bad", decision.TimedOut))
			}
		}
		if r.s.fleet.depth > 2*minFleetDepth {
			t.Fatalf("D of all nodes is %.2f after time-outs alone", r.s.fleet.depth)
		}
		r.s.fleet.trialSuccess = 0.5 // what is tried at silent nodes is served as often as not, so that nothing pauses for that
		for id := uint64(100); id < 120; id++ {
			acts := r.after(100*ms, at(id, 2, "w"))
			if len(of(acts, decision.Shed)) > 0 {
				t.Fatalf("seed %d: request %d inside its reserve was refused", seed, id)
			}
			for _, x := range of(acts, decision.Forward) {
				r.step(answered(x, "good", decision.Served))
			}
		}
	}
}

// Where a new connection has a price, new objects go to nodes that this host has a connection to, unless others are better by
// more than the price. At eighty hosts and sixty nodes each of a host's objects went to a node it had not met for long.
func TestNewObjectsGoWhereConnectionsStand(t *testing.T) {
	unmet := func(price float64, slow string) (sends, atSlow int) {
		cfg := testConfig()
		cfg.HandshakeCost, cfg.ConnectionReuseWindow = price, 5*time.Second
		members := make([]decision.Endpoint, 60)
		for i := range members {
			members[i] = decision.Endpoint{Node: fmt.Sprint("n", i), Shard: i}
		}
		r := newRig(t, cfg, members...)
		heard := map[string]time.Duration{}
		for id := range uint64(300) {
			ev := r.arrive(id, 1, 0, "v", fmt.Sprint(id), 2)
			ev.Arrival.Shard = -1
			for _, a := range r.after(100*ms, ev) {
				if a.Kind != decision.Forward {
					continue
				}
				if at, ok := heard[a.Node]; id >= 100 && (!ok || r.now > at+cfg.ConnectionReuseWindow) {
					sends++
				}
				took := 50 * ms
				if a.Node == slow { // by more than the price is worth
					took, atSlow = 190*ms, atSlow+1
				}
				r.after(took)
				r.step(answered(a.ID, a.Node, decision.Served))
				heard[a.Node] = r.now
			}
		}
		return sends, atSlow
	}
	free, _ := unmet(0, "")
	priced, _ := unmet(0.08, "")
	if priced > free/4 || free < 50 {
		t.Errorf("of 200 objects %d went to nodes without a connection, %d where one has a price", free, priced)
	}
	if _, n := unmet(0.08, "n7"); n > 10 {
		t.Errorf("%d of 300 objects went to the one slow node", n)
	}
}

// However dear a new connection, it is no reason to wait at a node that is slow; and it is none where nobody told how long one stands.
func TestPriceOfConnectionsIsBounded(t *testing.T) {
	for keep, stay := range map[time.Duration]float64{5 * time.Second: 0.5, 0: 0.1} {
		cfg := testConfig()
		cfg.HandshakeCost, cfg.ConnectionReuseWindow = 5, keep
		r := newRig(t, cfg, decision.Endpoint{Node: "slow"}, decision.Endpoint{Node: "quick", Shard: 1})
		r.s.nodes.byName["slow"].health.respondedAt, r.s.nodes.byName["slow"].latency, r.s.nodes.byName["quick"].latency = r.now, stay, 0.05
		for range 50 {
			if n := r.s.pickNode(&request{class: &cfg.Classes[0], arrival: decision.Arrival{Shard: -1, Units: 1}}); n.Node != "quick" {
				t.Fatalf("keep %v: a new object goes to %s", keep, n.Node)
			}
		}
	}
}
