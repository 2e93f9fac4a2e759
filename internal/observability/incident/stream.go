// Package incident works out from brokers' records what happened: what is known of whom and when, which episodes there were,
// how exactly their begins and ends are known, and what they cost. It does no I/O: package collect reads the records.
package incident

import (
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// resultKinds is the number of counters by result; unknown results of newer versions share them.
const resultKinds = 8

const (
	millisecond clock.Micros = 1000
	second                   = 1000 * millisecond
)

// secondOf returns the second that a time lies in.
func secondOf(at clock.Micros) clock.Micros { return at - at%second }

// Stream collects the records of one boot of one broker, in the order of their frames. Times are on the broker's own clock
// until Analyse relates all clocks.
type Stream struct {
	Name   string // of the broker
	BootID string
	Boot   record.Incarnation // the last copy that could be read

	frames     []frame
	damaged    []damage
	lost       []record.Lost
	heartbeats []heartbeat
	notes      []note
	stopped    bool // the boot said that it stopped
	nodes      map[string]*nodeRecord
	groups     map[clock.Micros]map[group]*groupCounts // by second
	volumes    map[string]map[clock.Micros]int         // requests by second of arrival
	latency    map[uint8]*sketch.Index                 // of served requests, by class
	events     int
	first      clock.Micros // time of the earliest event
	last       clock.Micros // time at which the latest event ended
}

type frame struct {
	seq uint64
	now clock.Micros
}

// damage is bytes that could not be read.
type damage struct {
	after uint64 // the last frame before them
	bytes int
}

type heartbeat struct {
	at       clock.Micros
	wall     clock.Micros
	inFlight int64
}

// note is an event of a broker that is not a request.
type note struct {
	at      clock.Micros
	kind    record.Kind
	subject string
	text    string
	value   int64
}

// nodeRecord is what one boot saw of one node.
type nodeRecord struct {
	responses []clock.Micros // times of all responses
	timedOut  []attempt      // attempts without a response
	refused   []attempt      // attempts whose connection was refused or broke
	latency   map[clock.Micros]*sketch.Sketch
}

type attempt struct{ sent, done clock.Micros }

type group struct{ class, plan uint8 }

// groupCounts counts the requests of one group that ended in one second.
type groupCounts struct {
	results    [resultKinds]int64
	late       int64
	weightLost float64 // of what was rejected, failed or late
}

// NewStream returns the empty stream of a boot.
func NewStream(name, bootID string) *Stream {
	return &Stream{
		Name:    name,
		BootID:  bootID,
		nodes:   map[string]*nodeRecord{},
		groups:  map[clock.Micros]map[group]*groupCounts{},
		volumes: map[string]map[clock.Micros]int{},
		latency: map[uint8]*sketch.Index{},
	}
}

// AddFrame adds a frame of the records. Its events are added one by one.
func (s *Stream) AddFrame(seq uint64, now clock.Micros) {
	s.frames = append(s.frames, frame{seq: seq, now: now})
}

// AddDamage adds bytes behind a frame that cannot be read.
func (s *Stream) AddDamage(after uint64, bytes int) {
	s.damaged = append(s.damaged, damage{after: after, bytes: bytes})
}

// LastFrame returns the number of the frame that was added last; 0 if there is none.
func (s *Stream) LastFrame() uint64 {
	if len(s.frames) == 0 {
		return 0
	}
	return s.frames[len(s.frames)-1].seq
}

// AddEvent adds an event.
func (s *Stream) AddEvent(e *record.Event) {
	s.events++
	end := e.At
	switch e.Kind {
	case record.KindIncarnation:
		s.Boot = *e.Incarnation
	case record.KindHeartbeat:
		s.heartbeats = append(s.heartbeats, heartbeat{at: e.At, wall: e.Heartbeat.WallClock, inFlight: e.Heartbeat.InFlight})
	case record.KindLost:
		s.lost = append(s.lost, *e.Lost)
	case record.KindSummary:
	case record.KindRequest:
		end += e.Request.Duration
		s.addRequest(e.At, e.Request)
	default:
		if e.Kind == record.KindStop {
			s.stopped = true
		}
		s.notes = append(s.notes, note{at: e.At, kind: e.Kind, subject: e.Note.Subject, text: e.Note.Text, value: e.Note.Value})
	}
	if s.first == 0 || e.At < s.first {
		s.first = e.At
	}
	s.last = max(s.last, end)
}

func (s *Stream) addRequest(at clock.Micros, q *record.Request) {
	requests := s.volumes[q.Volume]
	if requests == nil {
		requests = map[clock.Micros]int{}
		s.volumes[q.Volume] = requests
	}
	requests[secondOf(at)]++
	s.addResult(at+q.Duration, q)
	for i := range q.Attempts {
		s.addAttempt(at, &q.Attempts[i])
	}
}

// addResult counts a request that ended at a time.
func (s *Stream) addResult(end clock.Micros, q *record.Request) {
	counts := s.groupCounts(secondOf(end), group{class: q.Class, plan: q.Plan})
	counts.results[q.Result%resultKinds]++
	switch q.Result {
	case record.Served:
		if s.isLate(q) {
			counts.late++
			counts.weightLost += s.weight(q)
		}
		latency := s.latency[q.Class]
		if latency == nil {
			latency = sketch.NewIndex(int64(second))
			s.latency[q.Class] = latency
		}
		latency.Add(int64(end), int64(q.Duration))
	case record.ClientDisconnected:
	default:
		counts.weightLost += s.weight(q)
	}
}

func (s *Stream) groupCounts(sec clock.Micros, g group) *groupCounts {
	groups := s.groups[sec]
	if groups == nil {
		groups = map[group]*groupCounts{}
		s.groups[sec] = groups
	}
	if groups[g] == nil {
		groups[g] = &groupCounts{}
	}
	return groups[g]
}

// isLate reports whether a served request took longer than the latency objective of its class.
func (s *Stream) isLate(q *record.Request) bool {
	return int(q.Class) < len(s.Boot.Classes) && q.Duration > s.Boot.Classes[q.Class].LatencyObjective
}

// weight returns the priority weight of a request times its price and its units, as far as they are recorded.
func (s *Stream) weight(q *record.Request) float64 {
	weight := 1.0
	if int(q.Class) < len(s.Boot.Classes) {
		weight *= s.Boot.Classes[q.Class].PriorityWeight
	}
	if int(q.Plan) < len(s.Boot.Plans) {
		weight *= s.Boot.Plans[q.Plan].PriceFactor
	}
	return weight * q.Units
}

// addAttempt adds an attempt of a request that arrived at a time.
func (s *Stream) addAttempt(arrivedAt clock.Micros, a *record.Attempt) {
	n := s.nodes[a.Node]
	if n == nil {
		n = &nodeRecord{latency: map[clock.Micros]*sketch.Sketch{}}
		s.nodes[a.Node] = n
	}
	sent := arrivedAt + a.SentAfter
	done := sent + a.Duration
	switch decision.Outcome(a.Outcome) {
	case decision.Served:
		n.responses = append(n.responses, done)
		n.addLatency(done, a.Duration)
	case decision.NodeError, decision.Rejected, decision.MalformedResponse:
		n.responses = append(n.responses, done)
	case decision.TimedOut:
		n.timedOut = append(n.timedOut, attempt{sent: sent, done: done})
	case decision.ConnectFailed, decision.ConnectionLost:
		n.refused = append(n.refused, attempt{sent: sent, done: done})
	}
}

func (n *nodeRecord) addLatency(done, latency clock.Micros) {
	sec := secondOf(done)
	if n.latency[sec] == nil {
		n.latency[sec] = &sketch.Sketch{}
	}
	n.latency[sec].Add(int64(latency))
}

// heartbeatInterval returns how often the boot wrote a heartbeat. Where its incarnation record is lost it is taken to be a
// second, which is longer than any documented configuration has it.
func (s *Stream) heartbeatInterval() clock.Micros {
	if s.Boot.HeartbeatInterval > 0 {
		return s.Boot.HeartbeatInterval
	}
	return second
}

// start returns the boot's start, or its earliest event where that is lost.
func (s *Stream) start() clock.Micros {
	if s.Boot.StartedAt > 0 {
		return s.Boot.StartedAt
	}
	return s.first
}

// end returns the time of the boot's latest record.
func (s *Stream) end() clock.Micros {
	last := s.last
	for _, f := range s.frames {
		last = max(last, f.now)
	}
	return last
}
