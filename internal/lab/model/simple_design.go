package model

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"poppyarch/internal/broker/decision"
)

// simpleDesign chooses a node for each request as it arrives. Without a depth it forwards the request immediately;
// with a depth it queues requests for the node in the order of their start tags. The only load of a node that it knows
// is the number of its own outstanding requests.
type simpleDesign struct {
	cfg          *decision.Config
	random       *rand.Rand
	now          time.Duration
	lastChosen   int // by chooseNext; -1 at first
	watching     bool
	watchAt      time.Duration // time of the next poll, unless watching
	timerAt      time.Duration // time of the pending timer; 0 if there is none
	nodes        map[string]*nodeState
	ready        []*nodeState
	byShard      map[int][]*nodeState
	requests     map[uint64]*pendingRequest
	choose       func(list []*nodeState, h *pendingRequest) *nodeState
	rateMultiple float64                 // rate of the token buckets, in usual rates of the plan; 0 if there are none
	buckets      map[string]*tokenBucket // by volume
	depth        float64                 // largest number of outstanding requests at a node; 0 if there is no limit
	run          *run                    // for the oracle only
	actions      []decision.Action
}

// nodeState is what a simple design knows of a node.
type nodeState struct {
	endpoint    decision.Endpoint
	outstanding int
	volumes     map[string]*volumeTags
	queue       []*pendingRequest // by start tag; empty without a depth
	virtualTime float64           // highest start tag of a forwarded request
}

// volumeTags is the finish tag of a volume's latest request at a node.
type volumeTags struct{ finishTag float64 }

// pendingRequest is a request without a final response.
type pendingRequest struct {
	id         uint64
	arrival    decision.Arrival
	class      *decision.Class
	arrivedAt  time.Duration
	attempts   int        // so far
	node       *nodeState // of the present attempt, or in whose queue it waits
	startTag   float64
	queued     bool
	clientGone bool // its client has disconnected
	inFlight   bool // an attempt is outstanding
	mayHaveRun bool // an earlier attempt may have been executed
}

// tokenBucket limits the rate of a volume.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// Step implements Design. It handles events one by one.
func (p *simpleDesign) Step(now time.Duration, events []decision.Event, act []decision.Action) []decision.Action {
	p.now, p.actions = now, act
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case decision.RequestArrived:
			p.requestArrived(ev)
		case decision.AttemptEnded:
			p.attemptEnded(ev)
		case decision.ClientDisconnected:
			if h := p.requests[ev.ID]; h != nil {
				h.clientGone = true
				if !h.inFlight {
					p.dequeue(h)
					delete(p.requests, ev.ID)
				}
			}
		case decision.EndpointsReplaced, decision.EndpointsChanged:
			p.updateEndpoints(ev)
		case decision.EndpointWatchFailed:
			p.watching, p.watchAt = false, now+time.Duration((0.5+p.random.Float64())*float64(time.Second))
		case decision.TimerFired:
			p.timerAt = 0
		}
	}
	if p.cfg.PollsEndpoints && !p.watching && now >= p.watchAt {
		p.watching = true
		p.actions = append(p.actions, decision.Action{Kind: decision.WatchEndpoints})
	}
	if p.depth > 0 {
		p.rejectExpired()
	}
	if p.timerAt == 0 && (!p.watching || p.depth > 0 && len(p.requests) > 0) {
		p.timerAt = now + 20*time.Millisecond
		p.actions = append(p.actions, decision.Action{Kind: decision.SetTimer, After: 20 * time.Millisecond, Token: 1})
	}
	return p.actions
}

// updateEndpoints applies an endpoint list or changes of it, and rejects requests queued for nodes that are not ready.
func (p *simpleDesign) updateEndpoints(ev *decision.Event) {
	if ev.Kind == decision.EndpointsReplaced {
		for _, n := range p.ready {
			n.endpoint.State = decision.Removed
		}
	}
	for i := range ev.Endpoints {
		m := ev.Endpoints[i]
		n := p.nodes[m.Node]
		if n == nil {
			n = &nodeState{}
			p.nodes[m.Node] = n
		}
		n.endpoint = m
	}
	p.ready, p.byShard = p.ready[:0], make(map[int][]*nodeState, len(p.byShard))
	for _, n := range p.nodes {
		if n.endpoint.State == decision.Ready {
			p.ready = append(p.ready, n)
		}
	}
	slices.SortFunc(p.ready, func(a, b *nodeState) int { return cmp.Compare(a.endpoint.Node, b.endpoint.Node) })
	for _, n := range p.ready {
		p.byShard[n.endpoint.Shard] = append(p.byShard[n.endpoint.Shard], n)
	}
	for _, n := range p.nodes { // reject requests queued for nodes that are not ready
		for n.endpoint.State != decision.Ready && len(n.queue) > 0 {
			h := n.queue[0]
			p.dequeue(h)
			p.reject(h)
		}
	}
}

// reject sends the final response to a request that no node will get.
func (p *simpleDesign) reject(h *pendingRequest) {
	delete(p.requests, h.id)
	kind := decision.Shed
	if h.mayHaveRun && h.class.Idempotency != decision.Idempotent {
		kind = decision.Fail
	}
	p.actions = append(p.actions, decision.Action{Kind: kind, ID: h.id, After: 200 * time.Millisecond})
}

func (p *simpleDesign) requestArrived(ev *decision.Event) {
	h := &pendingRequest{id: ev.ID, arrival: ev.Arrival, class: &p.cfg.Classes[ev.Arrival.Class], arrivedAt: p.now}
	p.requests[h.id] = h
	if p.rateMultiple > 0 && h.arrival.Plan < len(p.cfg.Plans) {
		s, plan := p.buckets[h.arrival.Volume], p.cfg.Plans[h.arrival.Plan]
		rate := p.rateMultiple * plan.UsualRate / float64(max(h.arrival.Brokers, 1))
		if s == nil {
			s = &tokenBucket{tokens: rate + p.cfg.MaxUnits, updatedAt: p.now}
			p.buckets[h.arrival.Volume] = s
		}
		s.tokens = math.Min(rate+p.cfg.MaxUnits, s.tokens+rate*(p.now-s.updatedAt).Seconds())
		s.updatedAt = p.now
		if s.tokens < h.arrival.Units {
			p.reject(h)
			return
		}
		s.tokens -= h.arrival.Units
	}
	p.placeRequest(h)
}

// placeRequest chooses a node for a request and forwards or queues the request; it rejects it if no node is suitable.
func (p *simpleDesign) placeRequest(h *pendingRequest) {
	list := p.ready
	if h.arrival.Shard >= 0 {
		list = p.byShard[h.arrival.Shard]
	}
	var n *nodeState
	if len(list) > 0 {
		n = p.choose(list, h)
	}
	if n == nil {
		p.reject(h)
		return
	}
	h.node = n
	if p.depth == 0 {
		p.send(h)
		return
	}
	weight := 1.0
	if h.arrival.Plan < len(p.cfg.Plans) {
		weight = p.cfg.Plans[h.arrival.Plan].Weight
	}
	f := n.volumes[h.arrival.Volume]
	if f == nil {
		if n.volumes == nil {
			n.volumes = map[string]*volumeTags{}
		}
		f = &volumeTags{}
		n.volumes[h.arrival.Volume] = f
	}
	h.startTag = max(n.virtualTime, f.finishTag)
	f.finishTag = h.startTag + h.arrival.Units/weight
	i, _ := slices.BinarySearchFunc(n.queue, h.startTag, func(x *pendingRequest, t float64) int {
		if x.startTag <= t {
			return -1
		}
		return 1
	})
	n.queue = slices.Insert(n.queue, i, h)
	h.queued = true
	p.dispatch(n)
}

// responseMargin is the time before a deadline that is reserved for the response's way to the client.
const responseMargin = 20 * time.Millisecond

// attemptTimeout returns how long an attempt may take.
func (p *simpleDesign) attemptTimeout(h *pendingRequest) time.Duration {
	return max(h.arrival.Deadline-p.now-responseMargin, time.Millisecond)
}

// send forwards a request to its node.
func (p *simpleDesign) send(h *pendingRequest) {
	h.node.outstanding++
	h.attempts++
	h.inFlight = true
	p.actions = append(p.actions, decision.Action{Kind: decision.Forward, ID: h.id, Node: h.node.endpoint.Node, After: p.attemptTimeout(h)})
}

// dispatch forwards queued requests while the node has fewer outstanding ones than the depth.
func (p *simpleDesign) dispatch(n *nodeState) {
	for len(n.queue) > 0 && float64(n.outstanding) < max(p.depth, 1) {
		h := n.queue[0]
		p.dequeue(h)
		n.virtualTime = max(n.virtualTime, h.startTag)
		p.send(h)
	}
}

// dequeue removes a request from its node's queue, if it is there.
func (p *simpleDesign) dequeue(h *pendingRequest) {
	if h.queued {
		h.queued = false
		i := slices.Index(h.node.queue, h)
		h.node.queue = slices.Delete(h.node.queue, i, i+1)
	}
}

// rejectExpired rejects queued requests that are past their latency objective or close to their deadline.
func (p *simpleDesign) rejectExpired() {
	for _, n := range p.ready {
		for i := 0; i < len(n.queue); {
			if h := n.queue[i]; p.now >= h.arrivedAt+h.class.LatencyObjective || p.now >= h.arrival.Deadline-2*responseMargin {
				p.dequeue(h)
				p.reject(h)
			} else {
				i++
			}
		}
	}
}

func (p *simpleDesign) attemptEnded(ev *decision.Event) {
	h := p.requests[ev.ID]
	if h == nil || !h.inFlight {
		return
	}
	h.inFlight = false
	n := h.node
	n.outstanding--
	if p.depth > 0 {
		defer p.dispatch(n)
	}
	if ev.Outcome == decision.Served || h.clientGone || ev.Final {
		delete(p.requests, h.id)
		return
	}
	h.mayHaveRun = h.mayHaveRun || !ev.Outcome.NotExecuted()
	retryable := !h.mayHaveRun || h.class.Idempotency == decision.Idempotent
	if retryable && (p.cfg.MaxAttempts == 0 || h.attempts < p.cfg.MaxAttempts) && p.now+4*responseMargin < h.arrival.Deadline {
		p.placeRequest(h)
		return
	}
	delete(p.requests, h.id)
	kind := decision.Fail
	if retryable {
		kind = decision.Shed
	}
	p.actions = append(p.actions, decision.Action{Kind: kind, ID: h.id, After: 200 * time.Millisecond})
}
