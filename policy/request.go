package policy

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/timing/rate"
)

// request is one client request from arrival until it is over and all its attempts are known.
type request struct {
	id                    uint64
	a                     decision.Arrival
	class                 *decision.Class
	vol                   *volume
	node                  *node // where it waits or last went
	flow                  *flow
	lot, chance           float64       // from 0 to 1; the lowest may go to a cold node, or to any where few may
	start, finish         float64       // tags
	began                 time.Duration // first try of the client
	aimAt, endAt          time.Duration // worth falls after aimAt; waiting ends at endAt
	halfAt                time.Duration // half of what its client waits for this try is over
	streamed              bool          // its answer began early: its client sets the pace
	reserved, drawn       bool          // counted inside its volume's reserve; taken from its limit
	over, waiting, served bool
	long                  bool          // its attempt is out for longer than pays
	attempts, out         int           // attempts so far; those without an outcome
	sentAt, riskAt        time.Duration // last send; send of the earliest attempt that may have run
	risk                  *node         // node of the latter; nil: nothing may have run
	turn                  *turn         // its key's queue, where order is asked for
}

// piece is a volume's key as one class uses it.
type piece struct {
	volume, key string
	class       int
}

// turn is the queue of one key in classes that ask for order.
type turn struct {
	queue []*request
	rest  time.Duration // nothing of the key goes before this
}

// take labels an arriving request and gives it to its node's queue, or refuses it.
func (s *Scheduler) take(ev *decision.Event) {
	if s.reqs[ev.ID] != nil {
		return
	}
	if s.cfg.HasRetryBudget {
		s.taken.Add(s.now, 1)
	}
	r := &request{id: ev.ID, a: ev.Arrival, lot: 0.8 * s.rng.Float64(), chance: s.rng.Float64()}
	r.a.Units = orOne(r.a.Units)
	s.reqs[r.id] = r
	if r.a.Class < 0 || r.a.Class >= len(s.cfg.Classes) {
		s.act = append(s.act, decision.Action{Kind: decision.Fail, ID: r.id})
		s.close(r)
		return
	}
	r.class, r.vol = &s.cfg.Classes[r.a.Class], s.volume(&r.a)
	r.began = s.firstTry(r)
	r.aimAt, r.halfAt = r.began+r.class.LatencyObjective, s.now+(r.a.Deadline-s.now)/2-tickBusy
	s.label(r)
	s.asked.Add(s.now, r.a.Units)
	if m := s.askedOf[r.a.Shard]; m != nil {
		m.Add(s.now, r.a.Units)
	}
	s.todo = append(s.todo, r)
}

// label counts a request inside its volume's reserve or not: the part of the volume's demand over all hosts
// that the reserve covers is labelled at each, so that the labels of many hosts add up to the reserve. Where
// nothing is told of the others, this host may be the only one that is asked.
func (s *Scheduler) label(r *request) {
	v := r.vol
	if r.began == s.now {
		v.asked.Add(s.now, r.a.Units)
	}
	demand, own := v.asked.Rate(s.now), v.served.Rate(s.now)
	total := own + v.others.Rate(s.now)
	if s.now < v.usedAt+rate.DecayTime {
		total = max(total, v.used)
	}
	if own > 0 {
		demand = max(demand, total*max(1, demand/own))
	}
	part := min(1, v.plan.ReservedRate/max(demand, v.plan.ReservedRate, 1e-9))
	v.credit = min(v.credit+r.a.Units*part, v.plan.ReservedRate+max(s.cfg.MaxUnits, 1))
	if v.credit >= r.a.Units && r.aimAt > s.now {
		v.credit -= r.a.Units
		r.reserved = true
	} else {
		r.lot += 0.2 // the reserve goes first to a cold node too
	}
}

// firstTry is when the client began: now, or the arrival of a try that this host could not serve, if this one
// names the same piece and ends no later than that one's client would wait. Due alone tells a further try
// only after this host stood still; some clients simply wait less. Runs on one key may be taken for tries.
func (s *Scheduler) firstTry(r *request) time.Duration {
	if came := r.a.Deadline - r.class.Deadline; s.stood > 0 && came < s.now && came >= s.now-s.stood {
		return came
	}
	until := s.unserved[piece{r.a.Volume, r.a.Key, r.a.Class}]
	if s.now < until && r.a.Deadline <= until+tickBusy {
		return until - r.class.Deadline
	}
	return s.now
}

// place picks the request's node and queues it there.
func (s *Scheduler) place(r *request) {
	n := s.pick(r)
	if n == nil {
		s.giveUp(r, hintShort*2)
		return
	}
	// Sent later than this it is not likely to pay: a large one stays longer, what pays less has to be surer.
	// Kept beyond halfAt without a send, it costs more than a refusal.
	need := sureStay * n.mean * r.a.Units / s.cfg.MeanUnits
	if !r.reserved && r.vol.plan.ReservedRate > 0 {
		need /= max(cmp.Or(s.cfg.QuotaPriorityWeight, 1), leastWorth)
	}
	r.endAt = min(r.aimAt-time.Duration(need*float64(time.Second)), r.a.Deadline-endMargin, r.halfAt)
	if r.endAt <= s.now || r.attempts == 0 && r.chance > s.admitted(r) {
		s.giveUp(r, hintLong)
		return
	}
	r.node = n
	if r.class.Ordered && r.a.Key != "" && r.turn == nil {
		if s.turns[r.a.Key] == nil {
			s.turns[r.a.Key] = &turn{}
		}
		r.turn = s.turns[r.a.Key]
		r.turn.queue = append(r.turn.queue, r)
	}
	s.enqueue(r, n)
	i := sort.Search(len(s.ends), func(i int) bool {
		x := s.ends[i]
		return x.endAt > r.endAt || x.endAt == r.endAt && x.id > r.id
	})
	s.ends = slices.Insert(s.ends, i, r)
	s.shed(n)
}

// admitted is the part of the work that goes on to a node at all, where D of all nodes together is under 1. A
// pause between the sends to one node holds nothing back where each of many hosts comes by less often.
// What is inside a reserve goes on until the rest has nearly stopped: one host of many sees little.
func (s *Scheduler) admitted(r *request) float64 {
	if r.reserved {
		return float64(max(10, s.cfg.Brokers)) * s.all.depth
	}
	return s.all.depth * s.all.depth
}

// answer takes the outcome of an attempt.
func (s *Scheduler) answer(ev *decision.Event) {
	n, r := s.nodes[ev.Node], s.reqs[ev.ID]
	if r == nil || n == nil || ev.Attempt != r.attempts-1 || !slices.Contains(n.out, r) {
		return
	}
	n.out = drop(n.out, r)
	r.out--
	r.served = r.served || ev.Outcome == decision.Served
	s.observe(n, r, ev)
	if !ev.Outcome.NotExecuted() && ev.Outcome != decision.Served && r.risk == nil {
		r.risk, r.riskAt = n, r.sentAt
	}
	if r.turn != nil && ev.Outcome.MayStillExecute() {
		r.turn.rest = max(r.turn.rest, s.now+s.cfg.OrderedKeyQuietPeriod)
	}
	if ev.Final || ev.Outcome == decision.Served || r.over {
		s.leave(r)
		s.close(r)
		return
	}
	s.todo = append(s.todo, r)
}

// decide places what has arrived in this batch, or gives up what an attempt brought nothing for.
func (s *Scheduler) decide(r *request) {
	if r.over || r.waiting || r.out > 0 {
		return
	}
	// What timed out has had its time at a node; another send would only add to the queue there.
	if r.attempts == 0 || r.attempts < s.cfg.MaxAttempts && s.mayRepeat(r, r.node) &&
		s.now+tickBusy < r.endAt && !r.node.suspect {
		s.place(r)
		return
	}
	s.giveUp(r, hintShort)
}

// giveUp answers at once: a refusal where that is allowed, else a failure.
func (s *Scheduler) giveUp(r *request, hint time.Duration) {
	s.leave(r)
	if r.reserved && r.attempts == 0 {
		r.vol.credit += r.a.Units
	}
	a := decision.Action{Kind: decision.Fail, ID: r.id}
	if r.class.MayShed() || r.risk == nil && r.out == 0 {
		a = decision.Action{Kind: decision.Shed, ID: r.id}
		a.After = s.cfg.RetryAfter(hint)
	}
	s.act = append(s.act, a)
	s.close(r)
}

// close ends a request; it stays known until its attempts have their outcomes. Its client may try again if it
// was not served.
func (s *Scheduler) close(r *request) {
	if !r.over && !r.served && r.a.Key != "" && r.class != nil {
		s.unserved[piece{r.a.Volume, r.a.Key, r.a.Class}] = r.began + r.class.Deadline
	}
	r.over = true
	if r.out > 0 {
		return
	}
	delete(s.reqs, r.id)
	if r.turn != nil {
		r.turn.queue = drop(r.turn.queue, r)
	}
}

// drop takes r off a list that holds it.
func drop(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(x *request) bool { return x == r })
}
