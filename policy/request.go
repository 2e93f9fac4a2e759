package policy

import (
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
)

// reservedDrawRange bounds the random slowStartDraw of requests inside their volume's reserve. That of
// others is higher by what is left to 1, so that at a node in slow start the reserve is served first too.
const reservedDrawRange = 0.8

// request is one client request from its arrival until it is closed and all its attempts have outcomes.
type request struct {
	id      uint64
	arrival decision.Arrival
	class   *decision.Class
	volume  *volume

	clientStartedAt time.Duration // first attempt of the client
	objectiveAt     time.Duration // end of the latency objective
	queueUntil      time.Duration // it is rejected if still queued then
	maxQueueUntil   time.Duration // bound on queueUntil from the client's deadline

	slowStartDraw float64 // 0 to 1; the lowest may be sent to a node in slow start
	admissionDraw float64 // 0 to 1; the lowest are admitted where few are

	node      *node // where it is queued or was last sent
	flow      *flow
	startTag  float64
	finishTag float64
	keyQueue  *keyQueue // nil unless its class is ordered and it has a key

	attempts     int
	sentAt       time.Duration
	mayHaveRunOn *node         // node of the earliest attempt that may have been executed; nil: none
	mayHaveRunAt time.Duration // send time of that attempt

	requestState
}

// requestState holds what has happened to a request so far.
type requestState struct {
	reserved    bool // counted inside its volume's reserve
	rateCharged bool // charged to its volume's rate limit
	queued      bool // in its flow
	inFlight    bool // its last attempt has no outcome yet
	countedSlow bool // its attempt in flight has been counted as too slow
	streamed    bool // its answer started early: the client sets the pace
	served      bool
	closed      bool
}

// retryKey identifies a client request over its retries.
type retryKey struct {
	volume string
	key    string
	class  int
}

// requestTable holds the open requests and what is known of closed ones.
type requestTable struct {
	open        map[uint64]*request
	undecided   []*request // to be decided on once the batch is applied
	queueExpiry []*request // the queued ones, by queueUntil and id
	keyQueues   map[string]*keyQueue
	unserved    map[retryKey]time.Duration // rejected or failed; until when the client may retry
}

func newRequestTable() requestTable {
	return requestTable{
		open:      map[uint64]*request{},
		keyQueues: map[string]*keyQueue{},
		unserved:  map[retryKey]time.Duration{},
	}
}

// acceptRequest classifies an arriving request, to be placed once the batch is applied.
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
	r.clientStartedAt = s.clientStart(r)
	r.objectiveAt = r.clientStartedAt + r.class.LatencyObjective
	// Queued for longer than half of the client's wait, it costs more than a rejection.
	r.maxQueueUntil = s.now + (r.arrival.Deadline-s.now)/2 - timerSlack
	s.chargeReserve(r)
	s.fleet.addDemand(s.now, &r.arrival)
	s.requests.undecided = append(s.requests.undecided, r)
}

// clientStart is when the client made its first attempt. That is now, unless the request is a retry of one
// that this broker could not serve: it names the same key and ends no later than that one's client would
// wait.
//
// The deadline alone shows a retry only after this process stalled, since some clients simply wait less. A
// sequence of requests on one key may be taken for retries.
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

// endAttempt applies the outcome of an attempt. Outcomes of other attempts than the one in flight are
// ignored.
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

// decide places a new request, retries one whose attempt ended, or rejects it.
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

// shouldRetry reports whether another attempt is allowed and has a chance. After a time-out it would only
// add to the node's queue.
func (s *Scheduler) shouldRetry(r *request) bool {
	return r.attempts < s.cfg.MaxAttempts && s.mayRetry(r, r.node) &&
		s.now+timerSlack < r.queueUntil && !r.node.health.suspect
}

// reject answers the client at once: with a rejection where the client may retry safely, else with a
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

// closeRequest ends a request; it stays known until its attempt has an outcome. Its client may retry if it
// was not served.
func (s *Scheduler) closeRequest(r *request) {
	if !r.closed && !r.served && r.arrival.Key != "" && r.class != nil {
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

// removeRequest removes r from a list.
func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(x *request) bool { return x == r })
}
