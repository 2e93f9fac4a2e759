// Package policy schedules the requests that one broker receives for many volumes onto shared storage nodes.
// It decides to which node each request is sent and when, whether it is retried and whether it is rejected.
// It does no I/O and reads no clock.
//
// It is a state machine: Step applies a batch of events and returns the actions that follow. An arriving
// request is classified (acceptRequest), queued for a node (placeRequest), sent when its node has capacity
// and its start tag is the lowest (dispatch; every send passes maySend), and closed when its outcome is
// known (endAttempt).
//
// Fairness between volumes follows ASFQ, start-time fair queueing with an adaptive depth: start tags,
// finish tags and virtual time are kept per node, and a compensation accounts for the service that volumes
// received through other brokers.
package policy

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// Timer resolution and log rate limit.
const (
	// timerSlack is the longest delay with which the expiry of a queued request is noticed.
	timerSlack = 20 * time.Millisecond
	// maxLogLinesPerMinute limits the log lines of one scheduler.
	maxLogLinesPerMinute = 60
)

// Retry-After values of rejections. The settings may lower them or disable Retry-After.
const (
	shortRetryAfter  = 200 * time.Millisecond // for causes that may pass quickly
	longRetryAfter   = 2 * time.Second        // the node's queue is too long
	noNodeRetryAfter = 2 * shortRetryAfter    // no node accepts requests for the shard
)

// Scheduler makes the decisions of one broker. It is not safe for concurrent use.
type Scheduler struct {
	cfg    decision.Config
	random *rand.Rand

	started    bool          // whether Step has been called
	startedAt  time.Duration // time of the first step
	now        time.Duration // time of the current step
	stalledFor time.Duration // how long this process was stalled before the current step; 0 if it was not

	actions    []decision.Action // actions of the current step
	logLimiter rate.FixedWindow

	timers       timers
	watch        endpointWatch
	nodes        nodeTable
	requests     requestTable
	volumes      map[string]*volume
	volumesByUse *list.List // the same, least recently used first
	retryBudget  retryBudget
	overall      overallEstimate
}

// timers holds the scheduler's timer and the end of the compensation period.
type timers struct {
	armed        bool
	at           time.Duration // when the timer is due, if armed
	periodEndsAt time.Duration // end of the current compensation period
}

// New returns a scheduler with the given settings and without nodes. Invalid settings are reported as a
// *decision.SettingError.
func New(cfg decision.Config) (*Scheduler, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg = cfg.WithDefaults()
	return &Scheduler{
		cfg:          cfg,
		random:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		watch:        newEndpointWatch(&cfg),
		nodes:        newNodeTable(),
		requests:     newRequestTable(),
		volumes:      map[string]*volume{},
		volumesByUse: list.New(),
		overall:      newOverallEstimate(),
	}, nil
}

// NextTimer returns the time at which the scheduler's timer is due. ok is false before the first step.
func (s *Scheduler) NextTimer() (at time.Duration, ok bool) { return s.timers.at, s.started }

// OpenRequests returns the number of requests that are not closed or have an attempt in flight.
func (s *Scheduler) OpenRequests() int { return len(s.requests.open) }

// Step applies every event of the batch and then decides once. It appends the resulting actions to actions
// and returns the extended slice.
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
		s.evictIdle()
		s.endPeriod()
	}
	s.dispatchBacklog()
	s.pollEndpoints()
	s.armTimer()
	return s.actions
}

// beginStep sets the time of the step and detects whether this process was stalled before it.
func (s *Scheduler) beginStep(now time.Duration, actions []decision.Action) {
	s.stalledFor = 0
	// The timer is due within a period, so a much larger gap between steps means that the process stalled.
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

// applyEvent updates the state for one event. The decisions that follow are made later in the step.
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

// decideOpen decides on the requests that arrived or whose attempts ended in this batch.
func (s *Scheduler) decideOpen() {
	for _, r := range s.requests.undecided {
		s.decide(r)
	}
	clear(s.requests.undecided)
	s.requests.undecided = s.requests.undecided[:0]
}

// rejectExpired rejects the queued requests whose queueUntil has passed.
func (s *Scheduler) rejectExpired() {
	for len(s.requests.queueExpiry) > 0 && s.requests.queueExpiry[0].queueUntil <= s.now {
		s.reject(s.requests.queueExpiry[0], shortRetryAfter)
	}
}

// dispatchBacklog sends queued requests as far as the depth of their nodes allows.
func (s *Scheduler) dispatchBacklog() {
	s.nodes.backlogged = slices.DeleteFunc(s.nodes.backlogged, func(n *node) bool {
		s.dispatch(n)
		return n.queuedUnits <= 0
	})
}

// armTimer keeps one timer armed. It is due within a period, or within timerSlack while requests are queued.
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

// act appends an action to those of the current step.
func (s *Scheduler) act(a decision.Action) { s.actions = append(s.actions, a) }

// logf writes a log line, unless the limit on log lines is reached.
func (s *Scheduler) logf(format string, args ...any) {
	if s.logLimiter.Allow(s.now, time.Minute, maxLogLinesPerMinute) {
		s.act(decision.Action{Kind: decision.WriteLog, Text: fmt.Sprintf(format, args...)})
	}
}

// seconds converts a number of seconds to a duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
