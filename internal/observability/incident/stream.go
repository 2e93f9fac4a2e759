// Package incident works out from brokers' records what happened: what is known when, which episodes there were, how
// exactly their begins and ends are known, and what they cost. It does no I/O: a collector feeds it.
package incident

import (
	"slices"
	"sort"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// Stream takes in the records of one boot of one broker, in the order of their frames. Times are the broker's own
// until Analyse brings all to one clock.
type Stream struct {
	Name string
	ID   string
	Boot record.Incarnation // the last copy that could be read

	frames     []frame
	damaged    []damage // bytes that could not be read, by the frames around them
	lost       []record.Lost
	heartbeats []heartbeat
	notes      []note
	stopped    bool
	nodes      map[string]*nodeRecord
	groups     map[clock.Micros]map[group]*groupCounts // by second
	volumes    map[string]map[clock.Micros]int         // requests by second of arrival
	latency    map[uint8]*sketch.Index                 // of served requests, by class
	events     int
	first      clock.Micros // the earliest and the latest event
	last       clock.Micros
}

type frame struct {
	seq uint64
	now clock.Micros
}

type damage struct {
	after uint64 // the last frame before it
	bytes int
}

type heartbeat struct {
	at   clock.Micros
	wall clock.Micros
	open int64 // requests in flight
}

type note struct {
	at      clock.Micros
	kind    record.Kind
	subject string
	text    string
	value   int64
}

// nodeRecord is what one boot saw of one node.
type nodeRecord struct {
	responses []clock.Micros // when answers came
	timedOut  []attempt      // attempts without an answer
	refused   []attempt      // and without a connection
	latency   map[clock.Micros]*sketch.Sketch
}

type attempt struct{ sent, done clock.Micros }

type group struct{ class, plan uint8 }

// groupCounts counts requests of one group in one second, by when they ended.
type groupCounts struct {
	count [8]int64
	late  int64
	units float64
	worth float64 // of what was refused, failed or late
}

// NewStream returns an empty one.
func NewStream(name, id string) *Stream {
	return &Stream{Name: name, ID: id, nodes: map[string]*nodeRecord{}, groups: map[clock.Micros]map[group]*groupCounts{},
		volumes: map[string]map[clock.Micros]int{}, latency: map[uint8]*sketch.Index{}}
}

// AddFrame takes in that a frame is there.
func (s *Stream) AddFrame(seq uint64, now clock.Micros) { s.frames = append(s.frames, frame{seq, now}) }

// AddDamage takes in that bytes behind frame after could not be read.
func (s *Stream) AddDamage(after uint64, bytes int) {
	s.damaged = append(s.damaged, damage{after, bytes})
}

// LastFrame is the number of the last frame taken in; 0: none.
func (s *Stream) LastFrame() uint64 {
	if len(s.frames) == 0 {
		return 0
	}
	return s.frames[len(s.frames)-1].seq
}

// second is the slot of a time.
const second = clock.Micros(1_000_000)

func secondOf(at clock.Micros) clock.Micros { return at - at%second }

// AddEvent takes in one event.
func (s *Stream) AddEvent(e *record.Event) {
	s.events++
	end := e.At
	switch e.Kind {
	case record.KindIncarnation:
		s.Boot = *e.Incarnation
	case record.KindHeartbeat:
		s.heartbeats = append(s.heartbeats, heartbeat{e.At, e.Heartbeat.WallClock, e.Heartbeat.InFlight})
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
		s.notes = append(s.notes, note{e.At, e.Kind, e.Note.Subject, e.Note.Text, e.Note.Value})
	}
	if s.first == 0 || e.At < s.first {
		s.first = e.At
	}
	s.last = max(s.last, end)
}

func (s *Stream) addRequest(at clock.Micros, q *record.Request) {
	if v := s.volumes[q.Volume]; v != nil {
		v[secondOf(at)]++
	} else {
		s.volumes[q.Volume] = map[clock.Micros]int{secondOf(at): 1}
	}
	sec := secondOf(at + q.Duration)
	byGroup := s.groups[sec]
	if byGroup == nil {
		byGroup = map[group]*groupCounts{}
		s.groups[sec] = byGroup
	}
	g := group{q.Class, q.Plan}
	t := byGroup[g]
	if t == nil {
		t = &groupCounts{}
		byGroup[g] = t
	}
	t.count[q.Result%8]++
	t.units += q.Units
	worth := 1.0
	if int(q.Class) < len(s.Boot.Classes) {
		worth *= s.Boot.Classes[q.Class].PriorityWeight
	}
	if int(q.Plan) < len(s.Boot.Plans) {
		worth *= s.Boot.Plans[q.Plan].PriceFactor
	}
	switch {
	case q.Result == record.Served:
		if int(q.Class) < len(s.Boot.Classes) && q.Duration > s.Boot.Classes[q.Class].LatencyObjective {
			t.late++
			t.worth += worth * q.Units
		}
		x := s.latency[q.Class]
		if x == nil {
			x = sketch.NewIndex(int64(second))
			s.latency[q.Class] = x
		}
		x.Add(int64(at+q.Duration), int64(q.Duration))
	case q.Result != record.ClientDisconnected:
		t.worth += worth * q.Units
	}
	for i := range q.Attempts {
		y := &q.Attempts[i]
		n := s.nodes[y.Node]
		if n == nil {
			n = &nodeRecord{latency: map[clock.Micros]*sketch.Sketch{}}
			s.nodes[y.Node] = n
		}
		sent := at + y.SentAfter
		done := sent + y.Duration
		switch decision.Outcome(y.Outcome) {
		case decision.Served, decision.NodeError, decision.Rejected, decision.MalformedResponse: // it said something
			n.responses = append(n.responses, done)
			if decision.Outcome(y.Outcome) == decision.Served {
				k := n.latency[secondOf(done)]
				if k == nil {
					k = &sketch.Sketch{}
					n.latency[secondOf(done)] = k
				}
				k.Add(int64(y.Duration))
			}
		case decision.TimedOut:
			n.timedOut = append(n.timedOut, attempt{sent, done})
		case decision.ConnectFailed, decision.ConnectionLost:
			n.refused = append(n.refused, attempt{sent, done})
		}
	}
}

// State is what is known of a broker at a time.
type State string

// The states of knowledge.
const (
	Known       State = "known"
	Lost        State = "lost"         // dropped under load or for want of room, and counted
	Damaged     State = "damaged"      // bytes that cannot be read
	Missing     State = "missing"      // frames that are nowhere
	Stalled     State = "stalled"      // the process wrote nothing for longer than its heartbeat
	Dead        State = "dead"         // from the last word of a boot that did not say it stopped, to the next boot
	Stopped     State = "stopped"      // it said that it stopped
	NotRecorded State = "not recorded" // before the first word there is, and after the last of one that may still run
)

// Span is a broker's knowledge from one time to another. Slack is how far From may be off to the later side: a broker
// that dies has its last word up to a heartbeat before.
type Span struct {
	Broker string       `json:"broker"`
	State  State        `json:"state"`
	From   clock.Micros `json:"from"`
	To     clock.Micros `json:"to"`
	Slack  clock.Micros `json:"slack,omitempty"`
	Boot   string       `json:"boot,omitempty"`
	Events uint64       `json:"events,omitempty"` // lost, or bytes damaged
	Text   string       `json:"text,omitempty"`
}

// knowledge lists one boot's spans, by its own clock.
func (s *Stream) knowledge() (out []Span) {
	if len(s.frames) == 0 {
		return nil
	}
	frames := slices.Clone(s.frames)
	sort.Slice(frames, func(a, b int) bool { return frames[a].seq < frames[b].seq })
	period := s.heartbeatInterval()
	add := func(st State, from, to clock.Micros, events uint64, text string) {
		if to > from || events > 0 {
			out = append(out, Span{Broker: s.Name, Boot: s.ID, State: st, From: from, To: to, Events: events, Text: text})
		}
	}
	if f := frames[0]; f.seq > 1 && s.Boot.StartedAt > 0 {
		add(Missing, s.Boot.StartedAt, s.first, 0, "the boot's first records have been removed or are nowhere")
	}
	for i := 1; i < len(frames); i++ {
		a, b := frames[i-1], frames[i]
		switch {
		case b.seq == a.seq: // a copy
			continue
		case b.seq > a.seq+1:
			st, text, n := Missing, "frames are missing", uint64(0)
			for _, h := range s.damaged {
				if h.after >= a.seq && h.after < b.seq {
					st, text, n = Damaged, "bytes cannot be read", n+uint64(h.bytes)
				}
			}
			if slices.ContainsFunc(s.lost, func(l record.Lost) bool { return l.Reason == "disk" && l.From <= b.now && l.To >= a.now-period }) && st == Missing {
				continue // the lost record says it better
			}
			add(st, a.now, b.now, n, text)
		case b.now-a.now > 2*period+period/2:
			add(Stalled, a.now, b.now, 0, "no heartbeat")
		}
	}
	for _, l := range s.lost {
		add(Lost, l.From, max(l.To, l.From+1), l.Events, "no room in the "+map[string]string{"disk": "folder", "full": "buffers"}[l.Reason])
	}
	return out
}

// heartbeatInterval is how often a boot lets hear of itself. Where the segments with its particulars are gone, it is taken for a second,
// which is longer than any broker's that is set up as documented.
func (s *Stream) heartbeatInterval() clock.Micros {
	if s.Boot.HeartbeatInterval > 0 {
		return s.Boot.HeartbeatInterval
	}
	return second
}

// end is a boot's last word.
func (s *Stream) end() clock.Micros {
	last := s.last
	for _, f := range s.frames {
		last = max(last, f.now)
	}
	return last
}

// start is its first.
func (s *Stream) start() clock.Micros {
	if s.Boot.StartedAt > 0 {
		return s.Boot.StartedAt
	}
	return s.first
}
