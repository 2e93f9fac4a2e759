// Package policy decides when the requests of many volumes leave one broker for shared storage nodes, to
// which node each goes, whether it is retried and whether it is rejected. It does no I/O and has no clock.
//
// It is a state machine: Step applies a batch of events and returns the actions that follow. An arriving
// request is classified (acceptRequest), queued for a node (placeRequest), sent when its node has capacity
// and its start tag is the lowest (dispatch; every send passes maySend), and closed when its outcome is
// known (endAttempt).
//
// Fairness between volumes follows ASFQ, start-time fair queueing with an adaptive depth: start tags,
// finish tags and virtual time are kept per node, and a compensation corrects what volumes were served
// elsewhere.
package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// Timing of steps, and limits on what one step writes.
const (
	// timerSlack is how late the expiry of a queued request may be noticed.
	timerSlack = 20 * time.Millisecond
	// maxLogLinesPerMinute bounds the log lines of one scheduler.
	maxLogLinesPerMinute = 60
)

// Retry-After of rejections, before the limit of the settings on it.
const (
	shortRetryAfter  = 200 * time.Millisecond // the obstacle may be brief
	longRetryAfter   = 2 * time.Second        // the node's queue is too long
	noNodeRetryAfter = 2 * shortRetryAfter    // no node serves the shard
)

// Scheduler decides for one broker. It is not safe for concurrent use: one goroutine owns it.
type Scheduler struct {
	cfg    decision.Config
	random *rand.Rand

	started    bool // a step has been made
	startedAt  time.Duration
	now        time.Duration // of the step being made
	stalledFor time.Duration // how long this process was stalled before this step

	actions    []decision.Action // of the step being made
	logLimiter rate.FixedWindow

	timers      timers
	watch       endpointWatch
	nodes       nodeTable
	requests    requestTable
	volumes     map[string]*volume
	retryBudget retryBudget
	fleet       fleetEstimate
}

// timers holds the scheduler's timer and the end of the compensation period.
type timers struct {
	armed        bool
	at           time.Duration // when the timer is due, if armed
	periodEndsAt time.Duration
}

// New checks the settings and returns a scheduler that knows nothing else. The error is a
// *decision.SettingError.
func New(cfg decision.Config) (*Scheduler, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.WithDefaults()
	return &Scheduler{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		watch:    newEndpointWatch(&cfg),
		nodes:    newNodeTable(),
		requests: newRequestTable(),
		volumes:  map[string]*volume{},
		fleet:    newFleetEstimate(),
	}, nil
}

// NextTimer is when the timer that the scheduler asked for is due; ok is false before its first step.
func (s *Scheduler) NextTimer() (at time.Duration, ok bool) { return s.timers.at, s.started }

// OpenRequests counts the requests that are not closed or have an attempt without an outcome.
func (s *Scheduler) OpenRequests() int { return len(s.requests.open) }

// Step applies every event of the batch, then decides once. The actions are appended to actions.
func (s *Scheduler) Step(now time.Duration, events []decision.Event,
	actions []decision.Action) []decision.Action {
	s.beginStep(now, actions)
	for i := range events {
		s.applyEvent(&events[i])
	}
	s.decideOpen()
	s.rejectExpired()
	if now >= s.timers.periodEndsAt {
		s.timers.periodEndsAt = now + compensationPeriod
		s.forgetIdle()
		s.endPeriod()
	}
	s.dispatchBacklog()
	s.pollEndpoints()
	s.armTimer()
	return s.actions
}

// beginStep sets the time of the step.
func (s *Scheduler) beginStep(now time.Duration, actions []decision.Action) {
	s.stalledFor = 0
	// The timer is never further off than a period: a larger jump of the clock means that the process stalled.
	if s.started && now > s.now+2*compensationPeriod {
		s.stalledFor = now - s.now
	}
	s.now = now
	s.actions = actions
	if s.started {
		return
	}
	s.started = true
	s.startedAt = now
	s.timers.periodEndsAt = now + compensationPeriod
	s.watch.start(now)
}

// applyEvent handles one event; what it makes possible is decided later in the step.
func (s *Scheduler) applyEvent(ev *decision.Event) {
	switch ev.Kind {
	case decision.RequestArrived:
		s.acceptRequest(ev)
	case decision.AttemptEnded:
		s.endAttempt(ev)
	case decision.ResponseStarted, decision.ClientDisconnected:
		if r := s.requests.open[ev.ID]; r != nil {
			r.streamed = ev.Kind == decision.ResponseStarted
			s.dequeue(r)
			s.closeRequest(r)
		}
	case decision.EndpointWatchFailed:
		s.watch.fail(s.now, ev.RetryWithin)
	case decision.EndpointsReplaced, decision.EndpointsChanged:
		s.updateEndpoints(ev)
	case decision.TimerFired:
		if s.now >= s.timers.at {
			s.timers.armed = false
		}
	}
}

// decideOpen decides on the requests that this batch brought something new for.
func (s *Scheduler) decideOpen() {
	for _, r := range s.requests.undecided {
		s.decide(r)
	}
	clear(s.requests.undecided)
	s.requests.undecided = s.requests.undecided[:0]
}

// rejectExpired rejects the requests that have been queued for as long as they may be.
func (s *Scheduler) rejectExpired() {
	for len(s.requests.queueExpiry) > 0 && s.requests.queueExpiry[0].queueUntil <= s.now {
		s.reject(s.requests.queueExpiry[0], shortRetryAfter)
	}
}

// dispatchBacklog sends what the nodes with queued requests have capacity for.
func (s *Scheduler) dispatchBacklog() {
	s.nodes.backlogged = slices.DeleteFunc(s.nodes.backlogged, func(n *node) bool {
		s.dispatch(n)
		return n.queuedUnits <= 0
	})
}

// armTimer keeps one timer running, at the latest until the period's end or the next check of queued
// requests.
func (s *Scheduler) armTimer() {
	in := compensationPeriod
	if len(s.requests.queueExpiry) > 0 {
		in = timerSlack
	}
	if !s.timers.armed || s.timers.at > s.now+in {
		s.timers.armed = true
		s.timers.at = s.now + in
		s.act(decision.Action{Kind: decision.SetTimer, After: in, Token: 1})
	}
}

// act adds an action to the step.
func (s *Scheduler) act(a decision.Action) { s.actions = append(s.actions, a) }

// logf writes a line on a change of state, within the limit on log lines.
func (s *Scheduler) logf(format string, args ...any) {
	if s.logLimiter.Allow(s.now, time.Minute, maxLogLinesPerMinute) {
		s.act(decision.Action{Kind: decision.WriteLog, Text: fmt.Sprintf(format, args...)})
	}
}

// seconds converts seconds to a duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
