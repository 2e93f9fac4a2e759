// The decisions of poppyarch. Types are in api.go: settings, events and actions.
//
// A request's way: take labels it, place queues it, dispatch sends it when its node has room and its tag is
// lowest (every send passes maySend), answer ends it.

package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
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
	rateAge     = 5 * time.Second        // units asked, served and told are forgotten with this time constant
	lateStretch = 1.5                    // an attempt that timed out counts as so many times what it was out
	hintShort   = 200 * time.Millisecond // come-back time when the obstacle may be brief
	hintLong    = 2 * time.Second        // come-back time for work beyond its reserve
	endMargin   = 30 * time.Millisecond  // a held request is answered this long before the client leaves
	watchEach   = 20 * time.Millisecond  // each host's part of the first wait for a list
	watchWait   = 500 * time.Millisecond // least of these; doubles with each failure
	watchMost   = 2 * time.Second        // most of these; they grow to four times each host's part
	forget      = time.Minute            // a volume without a request for so long is forgotten
	maxLogs     = 60                     // log lines of one instance a minute
)

// request is one client request from arrival until it is over and all its attempts are known.
type request struct {
	id                    uint64
	a                     Arrival
	class                 *Class
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

// volume is what this host knows of a tenant's volume over all nodes.
type volume struct {
	plan          *Plan
	limit         bucket
	waiting       float64 // units held for all nodes
	credit        float64 // units that may be labelled
	asked, served meter   // of this host
	others        meter   // served through others, as answers tell
	used          float64 // units a second over all hosts, as the meter tells
	seen, usedAt  time.Duration
}

// bucket is a token store that fills at a rate up to a level.
type bucket struct {
	level, rate, max float64
	at               time.Duration
}

// fill brings the store up to now and returns its level.
func (b *bucket) fill(now time.Duration) float64 {
	b.level = math.Min(b.max, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	return b.level
}

// flow is one volume's queue at one node.
type flow struct {
	vol        *volume
	queue      []*request
	lastFinish float64
	served     float64 // units this period, over all hosts as far as told
	comp       float64
}

// node is one storage node as seen from here. Seconds unless a type says otherwise.
type node struct {
	Member
	listed       bool
	flows        []*flow
	byVol        map[*volume]*flow
	vStart, vEnd float64 // highest start and finish tag sent
	out          []*request
	queued       float64 // units waiting
	history
	aim                      float64       // mean aim of what was sent
	errors                   float64       // part of its answers of late that were errors
	suspect                  bool          // it let an attempt time out and has served none since
	held                     float64       // how long that took, if nothing else has told of its load yet
	refused                  int           // connections that could not be made since it last served
	heardAt, leftAt          time.Duration // its last answer; when it left the list
	retryAt, doubtAt, sentAt time.Duration // nothing goes before; sign of a restart not yet listed
	recent                   []meter       // sends within the tip window
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

// Scheduler decides for one host.
type Scheduler struct {
	cfg                      Config
	rng, jitter              *rand.Rand
	now, born, stood         time.Duration // stood: how long this host stood still before this step
	wakeAt, periodAt, logsAt time.Duration // next timer, end of a period, count of logs
	askAt, askFirst          time.Duration // next list call; mean wait after a first one that failed
	started, watching        bool
	reqs                     map[uint64]*request
	vols                     map[string]*volume
	nodes                    map[string]*node
	list, busy               []*node         // all; those where something waits
	byShard                  map[int][]*node // -1: all
	turns                    map[string]*turn
	ends, todo               []*request // what waits, by its end; news of this batch, decided on once all is in
	act                      []Action
	takenAt, furtherAt       []time.Duration         // arrivals and further attempts within the budget's window
	unserved                 map[piece]time.Duration // refused or failed; until when its client may try again
	logs, failed             int                     // log lines; list calls that failed in a row
	trust                    float64                 // part of the trials at suspect nodes that were served
	asked, outcomes          meter                   // units of all volumes; outcomes that tell of a stay
	askedOf                  map[int]*meter          // units of each shard that was ever listed
	all                      history                 // of all nodes together
}

// New checks the settings and returns a scheduler that knows nothing else.
func New(cfg Config) (*Scheduler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Plans = slices.Clone(cfg.Plans)
	for i := range cfg.Plans {
		cfg.Plans[i].Weight = orOne(cfg.Plans[i].Weight)
	}
	cfg.Hosts, cfg.MaxAttempts = max(cfg.Hosts, 1), max(cfg.MaxAttempts, 1)
	cfg.MeanUnits = orOne(cfg.MeanUnits)
	return &Scheduler{
		cfg: cfg, reqs: map[uint64]*request{}, byShard: map[int][]*node{},
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), jitter: rand.New(rand.NewPCG(cfg.Seed, 2)),
		vols: map[string]*volume{}, nodes: map[string]*node{}, turns: map[string]*turn{},
		askFirst: cfg.firstAsk(),
		unserved: map[piece]time.Duration{}, askedOf: map[int]*meter{}, trust: 0.5, all: history{depth: 1},
	}, nil
}

// orOne is v, or 1 for what cannot be.
func orOne(v float64) float64 { return cmp.Or(max(v, 0), 1) }

// Step takes in every event of the batch, then decides once. Actions are appended to act.
func (s *Scheduler) Step(now time.Duration, events []Event, act []Action) []Action {
	// The timer is never further off than a period: where the clock jumps over more, this host stood still.
	if s.stood = 0; s.started && now > s.now+2*period {
		s.stood = now - s.now
	}
	s.now, s.act = now, act
	if !s.started {
		s.started, s.born, s.wakeAt, s.periodAt = true, now, -1, now+period
		s.askAt = now + time.Duration(float64(s.askFirst-watchWait)*s.jitter.Float64())
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
	if s.cfg.Ask && !s.watching && s.now >= s.askAt { // at the start and after failures
		s.watching = true
		s.act = append(s.act, Action{Kind: Watch})
	}
	s.wake()
	return s.act
}

// takeIn handles one event; what it makes possible is decided later in the step.
func (s *Scheduler) takeIn(ev *Event) {
	switch ev.Kind {
	case Arrived:
		s.take(ev)
	case Answered:
		s.answer(ev)
	case StreamBegan, ClientLeft:
		if r := s.reqs[ev.ID]; r != nil {
			r.streamed = ev.Kind == StreamBegan
			s.leave(r)
			s.close(r)
		}
	case ListFull, ListChanged, ListFailed:
		s.learn(ev)
	case TimerFired:
		if s.now >= s.wakeAt {
			s.wakeAt = -1
		}
	}
}

// log writes a rare line on a change of state.
func (s *Scheduler) log(format string, args ...any) {
	if s.now >= s.logsAt+time.Minute {
		s.logs, s.logsAt = 0, s.now
	}
	if s.logs++; s.logs <= maxLogs {
		s.act = append(s.act, Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
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
		s.act = append(s.act, Action{Kind: Timer, After: in, Token: 1})
	}
}

// ---- requests and answers ----

// take labels an arriving request and gives it to its node's queue, or refuses it.
func (s *Scheduler) take(ev *Event) {
	if s.reqs[ev.ID] != nil {
		return
	}
	if s.cfg.Budget {
		s.takenAt = append(s.takenAt, s.now)
	}
	r := &request{id: ev.ID, a: ev.Arrival, lot: 0.8 * s.rng.Float64(), chance: s.rng.Float64()}
	r.a.Units = orOne(r.a.Units)
	s.reqs[r.id] = r
	if r.a.Class < 0 || r.a.Class >= len(s.cfg.Classes) {
		s.act = append(s.act, Action{Kind: Fail, ID: r.id})
		s.close(r)
		return
	}
	r.class, r.vol = &s.cfg.Classes[r.a.Class], s.volume(&r.a)
	r.began = s.firstTry(r)
	r.aimAt, r.halfAt = r.began+r.class.Aim, s.now+(r.a.Due-s.now)/2-tickBusy
	s.label(r)
	s.asked.add(s.now, r.a.Units)
	if m := s.askedOf[r.a.Shard]; m != nil {
		m.add(s.now, r.a.Units)
	}
	s.todo = append(s.todo, r)
}

// label counts a request inside its volume's reserve or not: the part of the volume's demand over all hosts
// that the reserve covers is labelled at each, so that the labels of many hosts add up to the reserve. Where
// nothing is told of the others, this host may be the only one that is asked.
func (s *Scheduler) label(r *request) {
	v := r.vol
	if r.began == s.now {
		v.asked.add(s.now, r.a.Units)
	}
	demand, own := v.asked.rate(s.now), v.served.rate(s.now)
	total := own + v.others.rate(s.now)
	if s.now < v.usedAt+rateAge {
		total = max(total, v.used)
	}
	if own > 0 {
		demand = max(demand, total*max(1, demand/own))
	}
	part := min(1, v.plan.Reserve/max(demand, v.plan.Reserve, 1e-9))
	v.credit = min(v.credit+r.a.Units*part, v.plan.Reserve+max(s.cfg.MaxUnits, 1))
	if v.credit >= r.a.Units && r.aimAt > s.now {
		v.credit -= r.a.Units
		r.reserved = true
	} else {
		r.lot += 0.2 // the reserve goes first to a cold node too
	}
}

// meter holds units at a time: those of one send, or a sum that fades, which makes a rate.
type meter struct {
	sum float64
	at  time.Duration
}

// add counts units now.
func (m *meter) add(now time.Duration, units float64) {
	m.sum, m.at = m.sum*math.Exp(-(now-m.at).Seconds()/rateAge.Seconds())+units, now
}

// rate is units a second of late.
func (m *meter) rate(now time.Duration) float64 {
	return m.sum * math.Exp(-(now-m.at).Seconds()/rateAge.Seconds()) / rateAge.Seconds()
}

// firstTry is when the client began: now, or the arrival of a try that this host could not serve, if this one
// names the same piece and ends no later than that one's client would wait. Due alone tells a further try
// only after this host stood still; some clients simply wait less. Runs on one key may be taken for tries.
func (s *Scheduler) firstTry(r *request) time.Duration {
	if came := r.a.Due - r.class.Deadline; s.stood > 0 && came < s.now && came >= s.now-s.stood {
		return came
	}
	until := s.unserved[piece{r.a.Volume, r.a.Key, r.a.Class}]
	if s.now < until && r.a.Due <= until+tickBusy {
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
	if !r.reserved && r.vol.plan.Reserve > 0 {
		need /= max(cmp.Or(s.cfg.ShareWorth, 1), leastWorth)
	}
	r.endAt = min(r.aimAt-time.Duration(need*float64(time.Second)), r.a.Due-endMargin, r.halfAt)
	if r.endAt <= s.now || r.attempts == 0 && r.chance > s.admitted(r) {
		s.giveUp(r, hintLong)
		return
	}
	r.node = n
	if r.class.InOrder && r.a.Key != "" && r.turn == nil {
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
		return float64(max(10, s.cfg.Hosts)) * s.all.depth
	}
	return s.all.depth * s.all.depth
}

// answer takes the outcome of an attempt.
func (s *Scheduler) answer(ev *Event) {
	n, r := s.nodes[ev.Node], s.reqs[ev.ID]
	if r == nil || n == nil || ev.Attempt != r.attempts-1 || !slices.Contains(n.out, r) {
		return
	}
	n.out = drop(n.out, r)
	r.out--
	r.served = r.served || ev.Outcome == Served
	s.observe(n, r, ev)
	if !ev.Outcome.NeverRan() && ev.Outcome != Served && r.risk == nil {
		r.risk, r.riskAt = n, r.sentAt
	}
	if o := ev.Outcome; r.turn != nil && (o == TimedOut || o == ConnectionLost || o == Cancelled) {
		r.turn.rest = max(r.turn.rest, s.now+s.cfg.KeyQuiet)
	}
	if ev.Final || ev.Outcome == Served || r.over {
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
	a := Action{Kind: Fail, ID: r.id}
	safe := r.class.Repeat == Safe || r.class.Repeat == Keyed && r.class.Group == GroupAll
	if safe || r.risk == nil && r.out == 0 {
		a = Action{Kind: Refuse, ID: r.id}
		if s.cfg.Hints {
			a.After = min(hint, s.cfg.MaxHint)
		}
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

// ---- queues, tags, compensation ----

// enqueue gives a request its tags and puts it in its volume's queue.
func (s *Scheduler) enqueue(r *request, n *node) {
	f := n.byVol[r.vol]
	if f == nil {
		f = &flow{vol: r.vol}
		n.byVol[r.vol], n.flows = f, append(n.flows, f)
	}
	if r.flow != f || r.attempts == 0 {
		r.flow, r.start = f, max(n.virtual(), f.lastFinish)
		r.finish = r.start + r.a.Units/r.vol.plan.Weight
		f.lastFinish = r.finish
	}
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].start > r.start })
	f.queue, r.waiting = slices.Insert(f.queue, i, r), true
	if n.queued <= 0 {
		s.busy = append(s.busy, n)
	}
	n.queued += r.a.Units
	r.vol.waiting += r.a.Units
}

// virtual is the node's virtual time: the highest start tag sent while busy, else the highest finish tag.
func (n *node) virtual() float64 {
	if len(n.out) > 0 {
		return n.vStart
	}
	return n.vEnd
}

// leave takes a waiting request out of its queue. The last of a queue gives its tag back.
func (s *Scheduler) leave(r *request) {
	if !r.waiting {
		return
	}
	r.waiting = false
	s.ends = drop(s.ends, r)
	f := r.flow
	f.queue = drop(f.queue, r)
	r.node.queued -= r.a.Units
	r.vol.waiting -= r.a.Units
	if f.lastFinish == r.finish && r.attempts == 0 {
		f.lastFinish = r.start
	}
}

// dispatch sends while fewer than D requests are out: lowest start tag plus compensation first.
func (s *Scheduler) dispatch(n *node) {
	for n.queued > 0 && len(n.out) < n.room() && s.now >= n.retryAt {
		var best *request
		for _, f := range n.flows {
			if r := s.head(f, n); r != nil && (best == nil || r.start+f.comp < best.start+best.flow.comp) {
				best = r
			}
		}
		if best == nil {
			return
		}
		s.send(best, n)
	}
}

// room is how many requests may be out: D, but one where the last attempt may only have got lost.
func (n *node) room() int {
	if n.held > 0 {
		return 1
	}
	return int(max(n.depth, 1))
}

// paused is how long the pause between sends still lasts: under a D of 1, one goes in every mean stay over D.
// What is inside a reserve is owed in full and waits for none, unless trials at suspect nodes are hardly ever
// served, as where nodes go on with what timed out or are dead: then a tenth, from a D of a tenth on.
func (s *Scheduler) paused(r *request, n *node) time.Duration {
	d := n.depth
	if r.reserved {
		d *= 10
	}
	if d >= 1 || len(n.out) > 0 || r.reserved && s.trust >= trustLeast {
		return 0
	}
	return n.sentAt + time.Duration(n.lat/d*float64(time.Second)) - s.now
}

// head is the first request of a flow that may go now; a blocked one does not hold up those behind it.
func (s *Scheduler) head(f *flow, n *node) *request {
	for i := 0; i < len(f.queue) && i < lookPast; i++ {
		if r := f.queue[i]; s.maySend(r, n) && s.paused(r, n) <= 0 {
			return r
		}
	}
	return nil
}

// tidy forgets clients that try no more, keys at rest, and volumes and nodes long unseen, but no node while
// its drain, cold start, an attempt or a send in the rule's window may count if it comes back.
func (s *Scheduler) tidy() {
	gone := func(n *node) bool { return !n.listed && s.now > n.leftAt+forget+s.cfg.Warm && len(n.out) == 0 }
	s.list = slices.DeleteFunc(s.list, gone)
	s.byShard[-1] = s.list
	maps.DeleteFunc(s.nodes, func(_ string, n *node) bool { return gone(n) })
	maps.DeleteFunc(s.unserved, func(_ piece, until time.Duration) bool { return until <= s.now })
	maps.DeleteFunc(s.turns, func(_ string, t *turn) bool { return len(t.queue) == 0 && t.rest <= s.now })
	maps.DeleteFunc(s.vols, func(_ string, v *volume) bool {
		return v.waiting == 0 && s.now > v.seen+forget && // and full when it is met again:
			v.limit.rate*forget.Seconds() >= v.limit.max
	})
}

// endPeriod compares the served units of volumes with waiting requests and sets the compensation.
func (s *Scheduler) endPeriod() {
	for _, n := range s.list {
		s.inWindow(n)
		for _, r := range n.out { // what is still out tells of a long stay sooner than its answer would
			if !r.long && (s.now-r.sentAt).Seconds() > pauseAim*n.aim {
				r.long = true
				s.sway(n.aim, -1)
			}
		}
		if s.all.lat > 0 {
			s.age(n)
		}
		least := math.Inf(1)
		for _, f := range n.flows {
			if len(f.queue) > 0 {
				least = min(least, f.served/f.vol.plan.Weight)
			}
		}
		for _, f := range n.flows {
			w := f.vol.plan.Weight
			if gap := f.served/w - least; len(f.queue) > 0 && gap > epsUnits*s.cfg.MeanUnits {
				f.comp = gap * w
			} else if len(f.queue) == 0 {
				f.comp = 0 // nobody waits, so there is nothing to hold back
			}
			f.served = 0
		}
		n.flows = slices.DeleteFunc(n.flows, func(f *flow) bool {
			done := len(f.queue) == 0 && f.lastFinish <= n.virtual()
			if done {
				delete(n.byVol, f.vol)
			}
			return done
		})
	}
}

// ---- depth ----

// history is what outcomes told of latency, in seconds, and the depth that follows.
type history struct{ lat, mean, depth float64 } // mean: that of a request of mean size

// learn takes one outcome. One that timed out tells only that it would have taken longer.
func (h *history) learn(lat float64, timedOut bool, aim float64, wanted bool) {
	if h.lat == 0 {
		h.lat = lat
	} else if !timedOut || lat > h.lat {
		h.lat += latGain * (lat - h.lat)
	}
	if timedOut && lat > pauseAim*aim {
		h.depth = max(minDepth, h.depth/2)
	} else if h.lat > pauseAim*aim {
		h.depth = max(minDepth, h.depth*(1-depthDown))
	} else if h.lat > aimPart*aim && h.depth >= 1 {
		h.depth = max(1, h.depth*(1-depthDown))
	} else if h.depth < 1 {
		h.depth = min(1, h.depth*(1+depthUp))
	} else if wanted {
		h.depth = min(maxDepth, h.depth+depthUp/h.depth)
	}
}

// age brings what is known of a node nearer to what is known of all. A pause ends so where the others are
// well, or it would outlast its cause by minutes at a host that comes by seldom. Where the node was silent,
// that goes by how often such nodes have answered of late.
func (s *Scheduler) age(n *node) {
	part, usual, d := period.Seconds()/nodeAge.Seconds(), s.all.lat/orOne(n.Capacity), s.all.depth
	if n.depth < 1 && n.suspect {
		part *= s.trust * s.trust
	}
	n.lat, n.mean = n.lat+part*(usual-n.lat), n.mean+part*(s.all.mean/orOne(n.Capacity)-n.mean)
	if d < n.depth && d < 1 || n.depth < d {
		n.depth += part * (d - n.depth)
	}
}

// observe takes what an outcome tells of its node: latency, service, depth.
func (s *Scheduler) observe(n *node, r *request, ev *Event) {
	lat, size := (s.now - r.sentAt).Seconds(), r.a.Units/s.cfg.MeanUnits
	if n.suspect && ev.Outcome != Served && ev.Outcome != Spoilt {
		s.trust -= trustGain * s.trust
	}
	if o := ev.Outcome; o == Served || o == NodeError || o == TurnedAway || o == Spoilt {
		n.heardAt = s.now
	}
	switch ev.Outcome { // spoilt answers come from good nodes as well: no sign of load, a restart or silence
	case NodeError: // how fast it fails tells nothing of how fast it serves
		n.errors += errorGain * (1 - n.errors)
	case Served, TimedOut:
		if s.stood > 0 || r.streamed { // how long it took tells of this host or the client, not of the node
			break
		}
		if ev.Outcome == TimedOut {
			lat, size = lat*lateStretch, max(size, 1) // a small one's end tells of the queue, not of its work
			if !n.suspect && lat > pauseAim*n.aim {   // one that had little time tells little
				n.suspect = true
				s.log("node %s suspect: no answer in %.0f ms", n.Node, lat*1000)
				if n.depth >= 1 && n.lat > 0 && n.lat <= aimPart*n.aim { // its next answer tells more
					n.held = lat
					break
				}
			}
		}
		// A connection may fall silent and take an attempt along at a node that is quick. Counted as a stay of one
		// and a half aims, one in twenty of these kept D under 1 for good.
		if n.held > 0 && lat > aimPart*n.aim {
			n.history.learn(n.held, true, n.aim, false)
		}
		n.held = 0
		n.history.learn(lat, ev.Outcome == TimedOut, n.aim, n.queued > 0)
		n.mean, s.all.mean = n.mean+latGain*(lat/size-n.mean), s.all.mean+latGain*(lat/size-s.all.mean)
		s.outcomes.add(s.now, 1) // of all nodes the middle counts, so that a few bad ones do not speak for the rest
		s.all.lat += math.Copysign(min(s.gain(n.aim)*n.aim, math.Abs(lat-s.all.lat)), lat-s.all.lat)
		if up := math.Copysign(1, pauseAim*n.aim-lat); !r.long && (up < 0 || ev.Outcome == Served) {
			s.sway(n.aim, up)
		}
	case TurnedAway:
		n.depth = max(minDepth, n.depth/2) // a full queue: longer than any stay that pays
		n.retryAt = s.now + tickBusy
	case NoConnection, ConnectionLost:
		// Where none can be made, or one breaks after a silence, the process may be down or just restarted: treat
		// it as cold before the list says so. A single connection may break for reasons of its own.
		if ev.Outcome == NoConnection {
			n.refused++
		}
		if n.refused < sureRefused && !(n.suspect && s.now > n.heardAt+sureSilence) {
			break
		}
		if s.now > n.doubtAt+s.cfg.Warm {
			s.log("node %s may have restarted: outcome %d", n.Node, ev.Outcome)
		}
		n.depth, n.doubtAt = min(1, n.depth), s.now
		n.retryAt = s.now + hintShort
	}
	if ev.VolumeUse > 0 {
		r.vol.used, r.vol.usedAt = float64(ev.VolumeUse-1)/100*r.vol.plan.Rate, s.now
	}
	r.vol.others.add(s.now, ev.Elsewhere)
	if ev.Outcome == Served {
		r.vol.served.add(s.now, r.a.Units)
		n.refused, n.errors = 0, n.errors-errorGain*n.errors
		if f := n.byVol[r.vol]; f != nil {
			f.served += r.a.Units + ev.Elsewhere
		}
		if n.suspect {
			n.suspect, s.trust = false, s.trust+trustGain*(1-s.trust)
			s.log("node %s answers again", n.Node)
		}
	}
}

// gain is the weight of one stay in what is known of all nodes: rare ones turn it within allTime too.
func (s *Scheduler) gain(aim float64) float64 { return 1 / (1 + allTime*aim*s.outcomes.rate(s.now)) }

// sway moves D of all nodes together by one stay, up by 1 or -1: it falls while most are too long.
func (s *Scheduler) sway(aim, up float64) {
	s.all.depth = max(allLeast, min(1, s.all.depth*(1+up*s.gain(aim))))
}

// wait is how long u units queued here are likely to take until sent, in seconds.
func (s *Scheduler) wait(n *node, u float64) float64 {
	return u / s.cfg.MeanUnits * n.lat / max(n.depth, 1)
}

// ---- rules: the one place that every send passes ----

// maySend holds all seven rules for one send now.
func (s *Scheduler) maySend(r *request, n *node) bool {
	return !r.over && r.out == 0 && r.attempts < s.cfg.MaxAttempts && s.now < r.a.Due && // one answer, in time
		n.listed && n.State == Ready && // drains
		s.mayRepeat(r, n) && s.hasTurn(r) && s.withinBudget(r) && s.withinLimit(r) && s.bears(r, n)
}

// mayRepeat: nothing ran, or the class allows another try there and now.
func (s *Scheduler) mayRepeat(r *request, n *node) bool {
	if r.risk == nil || r.class.Repeat == Safe {
		return true
	}
	if r.class.Repeat == Unsafe || s.now > r.riskAt+r.class.RepeatWindow {
		return false
	}
	g := r.class.Group
	return g == GroupAll || g == GroupZone && n.Zone == r.risk.Zone || g == GroupShard && n.Shard == r.risk.Shard
}

// hasTurn: the key's earlier requests are over, their outcomes known, and its rest has passed.
func (s *Scheduler) hasTurn(r *request) bool {
	return r.turn == nil || r.turn.queue[0] == r && (r.attempts > 0 || s.now >= r.turn.rest)
}

// withinBudget: further attempts in the window, this one included, fit the free ones and the share.
func (s *Scheduler) withinBudget(r *request) bool {
	if !s.cfg.Budget || r.attempts == 0 {
		return true
	}
	from := s.now - s.cfg.BudgetWindow
	s.takenAt = slices.DeleteFunc(s.takenAt, func(t time.Duration) bool { return t < from+tickBusy })
	s.furtherAt = slices.DeleteFunc(s.furtherAt, func(t time.Duration) bool { return t < from-tickBusy })
	return float64(len(s.furtherAt)+1) <= s.cfg.BudgetFree+s.cfg.BudgetShare*float64(len(s.takenAt))
}

// withinLimit: this host's even part of the volume's limit has the units.
func (s *Scheduler) withinLimit(r *request) bool {
	return r.vol.plan.Limit <= 0 || r.drawn || r.vol.limit.fill(s.now) >= r.a.Units
}

// coldSince is the latest start that the list or a lost connection suggests; ok is false for a warm node.
func (s *Scheduler) coldSince(n *node) (at time.Duration, ok bool) {
	at = max(n.StartedAt, n.doubtAt)
	return at, at > 0 && s.cfg.TipWindow > 0 && s.now < at+s.cfg.Warm
}

// bears: a cold node gets this host's even part of what it surely bears in any window, growing as the slowest
// warm-up allows. Where that is less than a mean request, or than the only one in the window, lots are drawn:
// of what all hosts are likely to ask of this node, judged by what this one asks of all, and of this shard
// times the volume's hosts (few see its surge), so much wins that coldShare of the sum is sent in the mean,
// small ones more often: large ones make bursts. No host sends more than a largest request's units in the
// window; one younger than that may have spent its part.
func (s *Scheduler) bears(r *request, n *node) bool {
	at, cold := s.coldSince(n)
	if !cold {
		return true
	}
	age, window := s.now-s.born, s.cfg.TipWindow.Seconds()
	if age < s.cfg.TipWindow {
		return false
	}
	sum := s.cfg.ColdUnits
	if c := s.cfg.ColdFrom; c > 0 {
		sum *= 1 + (1-c)/c*max(0, (s.now-s.cfg.TipWindow-at).Seconds())/s.cfg.Warm.Seconds()
	}
	used, part := s.inWindow(n)+r.a.Units, sum/float64(s.cfg.Hosts)
	if part < s.cfg.MeanUnits || part < r.a.Units && used == r.a.Units {
		known := 1 - math.Exp(-age.Seconds()/rateAge.Seconds()) // of the rate, this host being so young
		asked := s.asked.rate(s.now) * float64(s.cfg.Hosts) / float64(len(s.list))
		asked += s.askedOf[n.Shard].rate(s.now) * float64(max(r.a.Hosts, 1))
		wins := r.lot*window*asked*r.a.Units/known < coldShare*sum*s.cfg.MeanUnits
		return wins && used <= max(s.cfg.MaxUnits, r.a.Units)
	}
	return used <= part
}

// inWindow sums the units sent within the rule's window and forgets older sends.
func (s *Scheduler) inWindow(n *node) (units float64) {
	n.recent = slices.DeleteFunc(n.recent, func(x meter) bool { return x.at < s.now-s.cfg.TipWindow-tickBusy })
	for _, x := range n.recent {
		units += x.sum
	}
	return units
}

// send starts an attempt and books it with every rule that counts sends.
func (s *Scheduler) send(r *request, n *node) {
	s.leave(r)
	if r.attempts > 0 && s.cfg.Budget {
		s.furtherAt = append(s.furtherAt, s.now)
	}
	if r.vol.plan.Limit > 0 && !r.drawn {
		r.vol.limit.level -= r.a.Units
	}
	r.drawn = true
	n.recent = append(n.recent, meter{r.a.Units, s.now})
	n.vStart, n.vEnd = max(n.vStart, r.start), max(n.vEnd, r.finish)
	n.aim = min(r.class.Aim.Seconds(), n.aim+latGain*(r.class.Aim.Seconds()-n.aim))
	n.out, n.sentAt = append(n.out, r), s.now
	r.attempts, r.out, r.sentAt, r.node, r.long, r.halfAt = r.attempts+1, r.out+1, s.now, n, false, r.a.Due
	// Out until its answer would be late: where nodes drop what timed out, their queues cannot grow beyond the
	// aim however many hosts send. Covers hung, dead and lossy nodes too; may lose late answers that still pay.
	after := max(min(r.aimAt, r.a.Due)-s.now, tickBusy)
	s.act = append(s.act, Action{Kind: Send, ID: r.id, Node: n.Node, After: after})
	if r.risk != nil && r.class.Repeat == Keyed { // a connection may take long to come up
		s.act[len(s.act)-1].By = r.riskAt + r.class.RepeatWindow
	}
}

// ---- admission ----

// volume finds or makes the record of a volume.
func (s *Scheduler) volume(a *Arrival) *volume {
	if v := s.vols[a.Volume]; v != nil {
		v.seen = s.now
		return v
	}
	plan := &Plan{Weight: 1, Price: 1}
	if a.Plan >= 0 && a.Plan < len(s.cfg.Plans) {
		plan = &s.cfg.Plans[a.Plan]
	}
	h := float64(cmp.Or(max(a.Hosts, 0), s.cfg.Hosts))
	v := &volume{plan: plan, seen: s.now, credit: plan.Reserve + max(s.cfg.MaxUnits, 1)}
	// This host may be a restart that has already spent its part of the limit. So the store starts at its birth,
	// not full but with its part of the slack, which ordinary sending never touches.
	v.limit = bucket{rate: plan.Limit / h, max: plan.LimitBurst / h, level: plan.Slack / h, at: s.born}
	s.vols[a.Volume] = v
	return v
}

// pick finds the node of a request's shard, or for a new object the one with the least expected wait.
func (s *Scheduler) pick(r *request) *node {
	best, cost := (*node)(nil), math.Inf(1)
	for _, n := range s.byShard[max(r.a.Shard, -1)] {
		if !n.listed || n.State != Ready {
			continue
		}
		c := n.lat + s.wait(n, n.queued+r.a.Units*float64(len(n.out)))
		if n.suspect {
			c += 10
		}
		if _, cold := s.coldSince(n); cold {
			c += 5
		}
		if s.cfg.Home > 0 && n.Zone+1 != s.cfg.Home {
			c += s.cfg.Far.Seconds()
		}
		if s.cfg.Keep > 0 && s.now > n.heardAt+s.cfg.Keep { // never worth a stay at which a node is held back
			c += min(s.cfg.Handshake, aimPart) * r.class.Aim.Seconds()
		}
		c += errorCost * n.errors * n.aim // one that fails fast would draw all new objects
		c = max(c, leastStay) * (1 + 0.2*s.rng.Float64())
		if c < cost || best == nil {
			best, cost = n, c
		}
	}
	return best
}

// shed refuses what the queue cannot serve in time: what pays least a unit first, see sooner. What its limit
// holds back is not in the others' way and is not counted.
func (s *Scheduler) shed(n *node) {
	for {
		var worst *request
		units := 0.0
		for _, f := range n.flows {
			if len(f.queue) == 0 || !s.withinLimit(f.queue[0]) {
				continue
			}
			for _, r := range f.queue {
				units += r.a.Units
				if r.attempts == 0 && (worst == nil || s.sooner(r, worst)) {
					worst = r
				}
			}
		}
		if worst == nil || s.wait(n, units-worst.a.Units) <= backlogAim*n.aim {
			return
		}
		s.giveUp(worst, hintLong)
	}
}

// sooner reports whether a is refused before b: what pays least a unit, at the place its tag gives it.
func (s *Scheduler) sooner(a, b *request) bool {
	if x, y := s.value(a), s.value(b); x != y {
		return x < y
	}
	return a.start+a.flow.comp > b.start+b.flow.comp
}

// value is what a unit is likely to pay: in full inside the reserve, else as part of the share.
func (s *Scheduler) value(r *request) float64 {
	v := r.class.Worth * r.vol.plan.Price
	if !r.reserved {
		v *= s.cfg.ShareWorth
	}
	return v
}

// ---- discovery ----

// learn takes the node list's news.
func (s *Scheduler) learn(ev *Event) {
	if ev.Kind == ListFailed { // asked again at once by all, a queue that has got long never empties
		most := max(2*watchWait, min(4*watchMost, 4*watchEach*time.Duration(s.cfg.Hosts)))
		wait := min(s.askFirst<<min(s.failed, 4), most, cmp.Or(s.cfg.AskWithin, time.Minute)/2)
		wait = min(wait*3/2, cmp.Or(ev.Within, time.Hour)) // a pause takes a third of this to all of it
		s.watching, s.failed = false, s.failed+1
		s.askAt = s.now + time.Duration(float64(wait)*(1+2*s.jitter.Float64())/3)
		return
	}
	s.failed = 0
	if ev.Kind == ListFull {
		for _, n := range s.list {
			n.listed, n.leftAt = false, s.now
		}
	}
	for i := range ev.Members {
		m := &ev.Members[i]
		n := s.nodes[m.Node]
		if n == nil {
			n = &node{byVol: map[*volume]*flow{}, aim: s.cfg.Classes[0].Aim.Seconds()}
			c := orOne(m.Capacity) // what its kind lets expect, until it is measured
			n.depth, n.lat, n.mean = min(maxDepth, firstDepth*c), s.all.lat/c, s.all.mean/c
			s.nodes[m.Node], s.list = n, append(s.list, n)
		} else if m.StartedAt > n.StartedAt {
			n.depth = 1
		}
		n.Member, n.listed, n.leftAt = *m, m.State != Gone, s.now
	}
	s.byShard = map[int][]*node{-1: s.list}
	for _, n := range s.list {
		s.byShard[n.Shard] = append(s.byShard[n.Shard], n)
		s.askedOf[n.Shard] = cmp.Or(s.askedOf[n.Shard], &meter{})
	}
	for _, n := range s.list {
		for _, f := range n.flows { // what waits for a node that takes nothing new goes elsewhere or is refused
			for (!n.listed || n.State != Ready) && len(f.queue) > 0 {
				r := f.queue[0]
				s.leave(r)
				s.place(r)
			}
		}
	}
}
