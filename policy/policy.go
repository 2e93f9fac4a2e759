// Package policy decides when the requests of many volumes leave one host for shared storage nodes, to which
// node each goes, whether it goes again and whether it is refused. It does no I/O and has no clock.
//
// A request's way: take labels it, place queues it, dispatch sends it when its node has room and its tag is
// lowest (every send passes maySend), answer ends it.
package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/backoff"
	"poppyarch/internal/timing/rate"
)

// Tuned values. Times are wall times; the rest are plain ratios unless a unit is named.
const (
	tickBusy    = 20 * time.Millisecond  // how late a held request's end may be noticed
	period      = 100 * time.Millisecond // compensation period, as in the paper
	epsUnits    = 2.0                    // permitted unfairness, in mean requests (units over weight)
	firstDepth  = 3.0                    // D of a node not yet measured
	maxDepth    = 16.0                   // hard ceiling of D
	aimPart     = 0.17                   // part of the aim that the stay at a node may take before D shrinks
	depthUp     = 0.5                    // growth of D a round of D answers, while the room is wanted
	depthDown   = 0.10                   // cut of D an answer when the stay is too long
	latGain     = 0.12                   // weight of one answer in a node's mean latency
	sureStay    = 0.6                    // part of the expected stay for which a send has to have time left
	leastWorth  = 0.25                   // what pays less than this need not be surer still
	backlogAim  = 0.60                   // part of the aim that waiting here may take before something is shed
	lookPast    = 8                      // requests looked at behind a blocked head
	nodeAge     = 3 * time.Second        // what is known of one node fades into what is known of all
	pauseAim    = 0.3                    // part of the aim that the stay may take before D falls under 1
	allTime     = 0.25                   // aims in which what is known of all nodes together follows
	allLeast    = 0.05                   // least D of all nodes together
	coldShare   = 0.5                    // part of what a cold node bears that lots send in the mean
	trustLeast  = 0.35                   // under this part of trials served, work inside its reserve pauses too
	trustGain   = 0.1                    // weight of one trial
	errorGain   = 0.1                    // weight of one answer in a node's part of errors
	errorCost   = 5.0                    // a node that only fails is as good as one with a queue of so many aims
	sureRefused = 2                      // so many refused connections in a row mean that a process is down
	sureSilence = time.Second            // a node that broke off after so long without an answer was down
	leastStay   = 0.001                  // seconds; or all hosts would begin with one node not measured
	minDepth    = 0.02                   // least D: under 1 it is a pause between sends
	lateStretch = 1.5                    // an attempt that timed out counts as so many times what it was out
	hintShort   = 200 * time.Millisecond // come-back time when the obstacle may be brief
	hintLong    = 2 * time.Second        // come-back time for work beyond its reserve
	endMargin   = 30 * time.Millisecond  // a held request is answered this long before the client leaves
	forget      = time.Minute            // a volume without a request for so long is forgotten
	maxLogs     = 60                     // log lines of one instance a minute
)

// Scheduler decides for one host.
type Scheduler struct {
	cfg               decision.Config
	rng, jitter       *rand.Rand
	now, born, stood  time.Duration // stood: how long this host stood still before this step
	wakeAt, periodAt  time.Duration // next timer, end of a period
	logs              rate.FixedWindow
	askAt             time.Duration // next list call
	backoff           backoff.Backoff
	started, watching bool
	reqs              map[uint64]*request
	vols              map[string]*volume
	nodes             map[string]*node
	list, busy        []*node         // all; those where something waits
	byShard           map[int][]*node // -1: all
	turns             map[string]*turn
	ends, todo        []*request // what waits, by its end; news of this batch, decided on once all is in
	act               []decision.Action
	taken, further    rate.SlidingWindow      // arrivals and further attempts within the budget's window
	unserved          map[piece]time.Duration // refused or failed; until when its client may try again
	failed            int                     // list calls that failed in a row
	trust             float64                 // part of the trials at suspect nodes that were served
	asked, outcomes   rate.Meter              // units of all volumes; outcomes that tell of a stay
	askedOf           map[int]*rate.Meter     // units of each shard that was ever listed
	all               history                 // of all nodes together
}

// New checks the settings and returns a scheduler that knows nothing else.
func New(cfg decision.Config) (*Scheduler, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.WithDefaults()
	return &Scheduler{
		cfg: cfg, reqs: map[uint64]*request{}, byShard: map[int][]*node{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), jitter: rand.New(rand.NewPCG(cfg.Seed, 2)),
		vols: map[string]*volume{}, nodes: map[string]*node{}, turns: map[string]*turn{},
		backoff:  backoff.New(cfg.DiscoveryClients(), cfg.MaxPollInterval/2),
		unserved: map[piece]time.Duration{}, askedOf: map[int]*rate.Meter{}, trust: 0.5, all: history{depth: 1},
	}, nil
}

// NextTimer is when the timer that the scheduler asked for is due; ok is false before its first step.
func (s *Scheduler) NextTimer() (at time.Duration, ok bool) { return s.wakeAt, s.started }

// OpenRequests counts the requests that are not over or have an attempt without an outcome.
func (s *Scheduler) OpenRequests() int { return len(s.reqs) }

// orOne is v, or 1 for what cannot be.
func orOne(v float64) float64 { return cmp.Or(max(v, 0), 1) }

// Step takes in every event of the batch, then decides once. Actions are appended to act.
func (s *Scheduler) Step(now time.Duration, events []decision.Event,
	act []decision.Action) []decision.Action {
	// The timer is never further off than a period: where the clock jumps over more, this host stood still.
	if s.stood = 0; s.started && now > s.now+2*period {
		s.stood = now - s.now
	}
	s.now, s.act = now, act
	if !s.started {
		s.started, s.born, s.wakeAt, s.periodAt = true, now, -1, now+period
		s.askAt = now + s.backoff.InitialDelay(s.jitter.Float64())
	}
	for i := range events {
		s.takeIn(&events[i])
	}
	for _, r := range s.todo {
		s.decide(r)
	}
	clear(s.todo)
	s.todo = s.todo[:0]
	for len(s.ends) > 0 && s.ends[0].endAt <= now { // waited as long as it can pay
		s.giveUp(s.ends[0], hintShort)
	}
	if now >= s.periodAt {
		s.periodAt = now + period
		s.tidy()
		s.endPeriod()
	}
	s.busy = slices.DeleteFunc(s.busy, func(n *node) bool {
		s.dispatch(n)
		return n.queued <= 0
	})
	if s.cfg.PollsEndpoints && !s.watching && s.now >= s.askAt { // at the start and after failures
		s.watching = true
		s.act = append(s.act, decision.Action{Kind: decision.WatchEndpoints})
	}
	s.wake()
	return s.act
}

// takeIn handles one event; what it makes possible is decided later in the step.
func (s *Scheduler) takeIn(ev *decision.Event) {
	switch ev.Kind {
	case decision.RequestArrived:
		s.take(ev)
	case decision.AttemptEnded:
		s.answer(ev)
	case decision.ResponseStarted, decision.ClientDisconnected:
		if r := s.reqs[ev.ID]; r != nil {
			r.streamed = ev.Kind == decision.ResponseStarted
			s.leave(r)
			s.close(r)
		}
	case decision.EndpointsReplaced, decision.EndpointsChanged, decision.EndpointWatchFailed:
		s.learn(ev)
	case decision.TimerFired:
		if s.now >= s.wakeAt {
			s.wakeAt = -1
		}
	}
}

// log writes a rare line on a change of state.
func (s *Scheduler) log(format string, args ...any) {
	if s.logs.Allow(s.now, time.Minute, maxLogs) {
		s.act = append(s.act, decision.Action{Kind: decision.WriteLog, Text: fmt.Sprintf(format, args...)})
	}
}

// wake keeps one timer running while anything is held, out or owed to the period.
func (s *Scheduler) wake() {
	in := period
	if len(s.ends) > 0 {
		in = tickBusy
	}
	if s.wakeAt < 0 || s.wakeAt > s.now+in {
		s.wakeAt = s.now + in
		s.act = append(s.act, decision.Action{Kind: decision.SetTimer, After: in, Token: 1})
	}
}
