// Package incident reconstructs an incident from the records of brokers: for which times each broker's records are
// complete, which episodes there were, within which bounds their begins and ends lie, and what impact they had. It does
// no I/O: package collect reads the records.
//
// An incarnation is one run of a broker process. Encoded and printed reports call it a boot.
package incident

import (
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// resultKinds is the number of counters by result. Results unknown to this version are counted modulo resultKinds.
const resultKinds = 8

const (
	millisecond clock.Micros = 1000
	second                   = 1000 * millisecond
)

// secondOf returns the start of the second that contains a time.
func secondOf(at clock.Micros) clock.Micros { return at - at%second }

// Stream collects the records of one incarnation of a broker, in the order of their frames. Times are on the broker's
// own clock.
type Stream struct {
	Name          string // name of the broker
	IncarnationID string
	Incarnation   record.Incarnation // latest copy that could be read; it is recorded repeatedly

	frames     []frame
	damaged    []damage
	lost       []record.Lost
	heartbeats []heartbeat
	notes      []note
	stopped    bool // the incarnation recorded that it stopped
	nodes      map[string]*nodeRecord
	groups     map[clock.Micros]map[group]*groupCounts // by second of the request's end
	volumes    map[string]map[clock.Micros]int         // number of requests, by volume and second of arrival
	latency    map[uint8]*sketch.Index                 // latencies of served requests, by class
	events     int
	first      clock.Micros // time of the earliest event
	last       clock.Micros // time at which the latest event ended
}

type frame struct {
	seq       uint64
	writtenAt clock.Micros
}

// damage is a range of bytes that could not be read.
type damage struct {
	afterSeq uint64 // number of the last frame before the bytes
	bytes    int
}

type heartbeat struct {
	at       clock.Micros
	wall     clock.Micros
	inFlight int64
}

// note is a record.Note with its time and kind.
type note struct {
	at      clock.Micros
	kind    record.Kind
	subject string
	text    string
	value   int64
}

// nodeRecord holds the attempts of one incarnation at one node.
type nodeRecord struct {
	responses []clock.Micros                  // times of all responses, errors and rejections included
	timedOut  []attempt                       // attempts without a response
	refused   []attempt                       // attempts whose connection was refused or lost
	latency   map[clock.Micros]*sketch.Sketch // latencies of successful attempts, by second
}

// attempt holds the times at which an attempt was sent and at which it ended.
type attempt struct{ sent, done clock.Micros }

// group identifies a class and a plan by their positions in record.Incarnation.
type group struct{ class, plan uint8 }

// groupCounts counts the requests of one group that ended in one second.
type groupCounts struct {
	results    [resultKinds]int64
	late       int64
	weightLost float64 // summed weight of the requests that were rejected, failed or late
}

// NewStream returns an empty stream for an incarnation of the named broker.
func NewStream(name, incarnationID string) *Stream {
	return &Stream{
		Name:          name,
		IncarnationID: incarnationID,
		nodes:         map[string]*nodeRecord{},
		groups:        map[clock.Micros]map[group]*groupCounts{},
		volumes:       map[string]map[clock.Micros]int{},
		latency:       map[uint8]*sketch.Index{},
	}
}

// AddFrame adds a frame of the records. Its events are added by AddEvent.
func (s *Stream) AddFrame(seq uint64, writtenAt clock.Micros) {
	s.frames = append(s.frames, frame{seq: seq, writtenAt: writtenAt})
}

// AddDamage adds bytes after a frame that cannot be read.
func (s *Stream) AddDamage(afterSeq uint64, bytes int) {
	s.damaged = append(s.damaged, damage{afterSeq: afterSeq, bytes: bytes})
}

// LastFrame returns the number of the frame added last; 0 if there is none.
func (s *Stream) LastFrame() uint64 {
	if len(s.frames) == 0 {
		return 0
	}
	return s.frames[len(s.frames)-1].seq
}

// AddEvent adds an event of the incarnation.
func (s *Stream) AddEvent(e *record.Event) {
	s.events++
	end := e.At
	switch e.Kind {
	case record.KindIncarnation:
		s.Incarnation = *e.Incarnation
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

// addResult counts a request that ended at the given time.
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
	return int(q.Class) < len(s.Incarnation.Classes) && q.Duration > s.Incarnation.Classes[q.Class].LatencyObjective
}

// weight returns priority weight times price factor times units of a request. A factor that is not recorded counts as
// 1.
func (s *Stream) weight(q *record.Request) float64 {
	weight := 1.0
	if int(q.Class) < len(s.Incarnation.Classes) {
		weight *= s.Incarnation.Classes[q.Class].PriorityWeight
	}
	if int(q.Plan) < len(s.Incarnation.Plans) {
		weight *= s.Incarnation.Plans[q.Plan].PriceFactor
	}
	return weight * q.Units
}

// addAttempt adds an attempt of a request that arrived at the given time.
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

// heartbeatInterval returns the time between two heartbeats of the incarnation. If its Incarnation event is lost, a
// second is assumed, which is longer than the interval of any documented configuration.
func (s *Stream) heartbeatInterval() clock.Micros {
	if s.Incarnation.HeartbeatInterval > 0 {
		return s.Incarnation.HeartbeatInterval
	}
	return second
}

// start returns the start of the incarnation, or the time of its earliest event if the Incarnation event is lost.
func (s *Stream) start() clock.Micros {
	if s.Incarnation.StartedAt > 0 {
		return s.Incarnation.StartedAt
	}
	return s.first
}

// end returns the time of the incarnation's latest record.
func (s *Stream) end() clock.Micros {
	last := s.last
	for _, f := range s.frames {
		last = max(last, f.writtenAt)
	}
	return last
}
