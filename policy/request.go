package policy

import (
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
)

// reservedDrawRange is the upper bound of slowStartDraw for requests inside their volume's reserve. Other
// requests have 1-reservedDrawRange added to their draw, so that a node in slow start also serves reserved
// requests first.
const reservedDrawRange = 0.8

// request is one client request from its arrival until it is closed and all its attempts have outcomes.
type request struct {
	id      uint64
	arrival decision.Arrival
	class   *decision.Class
	volume  *volume

	clientStartedAt time.Duration // when the client first sent the request, before any retries by the client
	objectiveAt     time.Duration // time by which the latency objective wants a response
	queueUntil      time.Duration // a request still queued at this time is rejected
	maxQueueUntil   time.Duration // upper bound of queueUntil that follows from the client's deadline

	slowStartDraw float64 // random, 0 to 1; low values are preferred at a node in slow start
	admissionDraw float64 // random, 0 to 1; admitted if it does not exceed the admission ratio

	node      *node // node that it is queued for or was last sent to
	flow      *flow
	startTag  float64
	finishTag float64
	keyQueue  *keyQueue // nil unless its class is ordered and it has a key

	attempts     int
	sentAt       time.Duration
	mayHaveRunOn *node         // node of the earliest attempt that may have been executed; nil if there is none
	mayHaveRunAt time.Duration // send time of that attempt

	requestState
}

// requestState holds the flags that change as a request is processed.
type requestState struct {
	reserved    bool // counted inside its volume's reserve
	rateCharged bool // charged to its volume's rate limit
	queued      bool // waiting in its flow's queue
	inFlight    bool // its last attempt has no outcome yet
	countedSlow bool // its attempt in flight has already lowered the overall depth for being slow
	streamed    bool // the client is reading the response, so its duration depends on the client
	served      bool
	closed      bool
}

// retryKey identifies a client request across the client's retries.
type retryKey struct {
	volume string
	key    string
	class  int
}

// requestTable holds the open requests, and the closed ones that their clients may retry.
type requestTable struct {
	open        map[uint64]*request
	undecided   []*request // to be decided on once the batch is applied
	queueExpiry []*request // queued requests, sorted by queueUntil and id
	keyQueues   map[string]*keyQueue
	unserved    map[retryKey]time.Duration // rejected and failed requests, with the end of the client's retries
}

func newRequestTable() requestTable {
	return requestTable{
		open:      map[uint64]*request{},
		keyQueues: map[string]*keyQueue{},
		unserved:  map[retryKey]time.Duration{},
	}
}

// acceptRequest registers and classifies an arriving request. It is placed once the batch is applied.
func (s *Scheduler) acceptRequest(ev *decision.Event) {
	if s.requests.open[ev.ID] != nil {
		return
	}
	if s.cfg.HasRetryBudget {
		s.retryBudget.arrivals.Add(s.now, 1)
	}
	r := &request{id: ev.ID, arrival: ev.Arrival}
	r.slowStartDraw = reservedDrawRange * s.random.Float64()
	r.admissionDraw = s.random.Float64()
	r.arrival.Units = r.arrival.EffectiveUnits()
	s.requests.open[r.id] = r
	if r.arrival.Class < 0 || r.arrival.Class >= len(s.cfg.Classes) {
		s.act(decision.Action{Kind: decision.Fail, ID: r.id})
		s.closeRequest(r)
		return
	}
	r.class = &s.cfg.Classes[r.arrival.Class]
	r.volume = s.volumeOf(&r.arrival)
	if r.volume == nil {
		s.reject(r, shortRetryAfter)
		return
	}
	r.clientStartedAt = s.clientStart(r)
	r.objectiveAt = r.clientStartedAt + r.class.LatencyObjective
	// Queueing for more than half of the time left to the deadline costs the client more than a rejection.
	r.maxQueueUntil = s.now + (r.arrival.Deadline-s.now)/2 - timerSlack
	s.chargeReserve(r)
	s.overall.addDemand(s.now, &r.arrival)
	s.requests.undecided = append(s.requests.undecided, r)
}

// clientStart returns the time at which the client first sent the request. It is the current time unless
// the request counts as a retry of one that this broker did not serve: it has the same volume, key and
// class, and a deadline no later than that of the original.
//
// After a stall of this process the deadline alone gives the time of arrival. At other times it does not,
// since some clients use deadlines shorter than their class's. Separate requests on one key may be mistaken
// for retries.
func (s *Scheduler) clientStart(r *request) time.Duration {
	arrivedAt := r.arrival.Deadline - r.class.Deadline
	if s.stalledFor > 0 && arrivedAt < s.now && arrivedAt >= s.now-s.stalledFor {
		return arrivedAt
	}
	until := s.requests.unserved[r.retryKey()]
	if s.now < until && r.arrival.Deadline <= until+timerSlack {
		return until - r.class.Deadline
	}
	return s.now
}

func (r *request) retryKey() retryKey {
	return retryKey{volume: r.arrival.Volume, key: r.arrival.Key, class: r.arrival.Class}
}

// endAttempt applies the outcome of an attempt. It ignores outcomes of attempts that are not in flight.
func (s *Scheduler) endAttempt(ev *decision.Event) {
	n := s.nodes.byName[ev.Node]
	r := s.requests.open[ev.ID]
	if r == nil || n == nil || ev.Attempt != r.attempts-1 || !slices.Contains(n.inFlight, r) {
		return
	}
	n.inFlight = removeRequest(n.inFlight, r)
	r.inFlight = false
	served := ev.Outcome == decision.Served
	r.served = r.served || served
	s.observeOutcome(n, r, ev)
	if !ev.Outcome.NotExecuted() && !served && r.mayHaveRunOn == nil {
		r.mayHaveRunOn = n
		r.mayHaveRunAt = r.sentAt
	}
	if r.keyQueue != nil && ev.Outcome.MayStillExecute() {
		r.keyQueue.quietUntil = max(r.keyQueue.quietUntil, s.now+s.cfg.OrderedKeyQuietPeriod)
	}
	if ev.Final || served || r.closed {
		s.dequeue(r)
		s.closeRequest(r)
		return
	}
	s.requests.undecided = append(s.requests.undecided, r)
}

// decide places a new request, and retries or rejects one whose attempt ended without success.
func (s *Scheduler) decide(r *request) {
	if r.closed || r.queued || r.inFlight {
		return
	}
	if r.attempts == 0 || s.shouldRetry(r) {
		s.placeRequest(r)
		return
	}
	s.reject(r, shortRetryAfter)
}

// shouldRetry reports whether another attempt is allowed and may succeed in time. A node that timed out is
// suspect and is not retried, since that would only lengthen its queue.
func (s *Scheduler) shouldRetry(r *request) bool {
	return r.attempts < s.cfg.MaxAttempts && s.mayRetry(r, r.node) &&
		s.now+timerSlack < r.queueUntil && !r.node.health.suspect
}

// reject ends a request that is not served: with a rejection if the client may safely retry, else with a
// failure.
func (s *Scheduler) reject(r *request, retryAfter time.Duration) {
	s.dequeue(r)
	if r.reserved && r.attempts == 0 {
		r.volume.reserveCredit += r.arrival.Units
	}
	a := decision.Action{Kind: decision.Fail, ID: r.id}
	if r.class.MayShed() || r.mayHaveRunOn == nil && !r.inFlight {
		a = decision.Action{Kind: decision.Shed, ID: r.id, After: s.cfg.RetryAfter(retryAfter)}
	}
	s.act(a)
	s.closeRequest(r)
}

// closeRequest closes a request. It stays in the table while its attempt has no outcome. A request that was
// not served is remembered, so that a retry by its client can be recognized.
func (s *Scheduler) closeRequest(r *request) {
	if !r.closed && !r.served && r.arrival.Key != "" && r.class != nil && s.mayRemember() {
		s.requests.unserved[r.retryKey()] = r.clientStartedAt + r.class.Deadline
	}
	r.closed = true
	if r.inFlight {
		return
	}
	delete(s.requests.open, r.id)
	if r.keyQueue != nil {
		r.keyQueue.requests = removeRequest(r.keyQueue.requests, r)
	}
}

// mayRemember reports whether another request that was not served may be remembered.
func (s *Scheduler) mayRemember() bool {
	return s.cfg.MaxVolumes <= 0 || len(s.requests.unserved) < s.cfg.MaxVolumes
}

// removeRequest returns the list without r. It reuses the list's array.
func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(x *request) bool { return x == r })
}
