// Package record keeps what a broker did, so that it can be read after the broker's death: typed events, buffers that
// never hold a request up, and segments on disk that say what is missing in them.
package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"poppyarch/internal/observability/sketch"
)

// Kind is what an event tells.
type Kind uint8

// The kinds of events.
const (
	KindBoot      Kind = iota + 1 // Boot
	KindBeat                      // Beat
	KindRequest                   // Request
	KindSummary                   // Summary
	KindNode                      // Note: what the module believes of Node
	KindList                      // Note: an entry of the node list has changed; Value is the list's version
	KindDiscovery                 // Note: a call failed, or calls succeed again
	KindControl                   // Note: a change of the fleet's was taken or not; Value is the edition
	KindDrain                     // Note: the broker drains
	KindStop                      // Note: it has answered everything and ends
	KindLost                      // Lost
	kinds
)

// Event is one entry. At is the broker's clock in microseconds.
type Event struct {
	At      int64
	Kind    Kind
	Boot    *Boot
	Beat    *Beat
	Request *Request
	Summary *Summary
	Note    *Note
	Lost    *Lost
}

// Boot begins a boot's records. Names of classes and plans go by their numbers from here on.
type Boot struct {
	Name    string  `json:"name"`
	ID      string  `json:"id"`
	Began   int64   `json:"began"` // the broker's clock at the boot; the event comes again now and then
	Wall    int64   `json:"wall"`  // Unix time in microseconds then, as the machine had it
	Beat    int64   `json:"beat"`  // microseconds between heartbeats
	Sample  float64 `json:"sample"`
	Classes []Class `json:"classes"`
	Plans   []Plan  `json:"plans"`
}

// Class and Plan are as much of the settings as an analysis needs. Times are microseconds.
type Class struct {
	Name  string  `json:"name"`
	Aim   int64   `json:"aim"`
	Due   int64   `json:"due"`
	Worth float64 `json:"worth"`
}

// Plan is a service level.
type Plan struct {
	Name  string  `json:"name"`
	Price float64 `json:"price"`
}

// Beat is a heartbeat with levels.
type Beat struct {
	Wall    int64  `json:"wall"`
	Open    int64  `json:"open"` // requests taken and not answered
	Heap    uint64 `json:"heap"` // bytes
	Threads int64  `json:"goroutines"`
	Nodes   int64  `json:"nodes"`
	List    int64  `json:"list"` // version
}

// Answer is how a request ended.
type Answer uint8

// The answers.
const (
	Served Answer = iota
	Refused
	Failed
	Overdue // failed, since the client's time was up
	Left    // the client went away
	answers
)

// Request is a request with everything that was done for it. Times inside count from its arrival, which is its At.
type Request struct {
	Class, Plan uint8
	Answer      Answer
	Volume      string
	Units       float64
	Shard       int64
	Took        int64 // from arrival to answer
	Hint        int64 // of a refusal
	Tries       []Try
}

// Try is one attempt.
type Try struct {
	Node    string
	Sent    int64 // after the arrival
	Took    int64
	Outcome uint8 // policy.Outcome
}

// Summary counts all requests that ended in a span, whether they are recorded one by one or not.
type Summary struct {
	Span    int64 // microseconds up to At
	Groups  []Group
	Nodes   []NodeCount
	Volumes []VolumeCount // those that came most often
}

// VolumeCount is the requests of a volume; Count may be too high by Error and is never too low.
type VolumeCount struct {
	Volume                string
	Count, Error          uint64
	Refused, Failed, Late uint64
}

// Group is the requests of one class and plan.
type Group struct {
	Class, Plan uint8
	Count       [answers]uint64
	Late        uint64 // served, but after the aim
	Latency     sketch.Sketch
}

// NodeCount is the attempts at one node.
type NodeCount struct {
	Node     string
	Outcomes [16]uint64
	Latency  sketch.Sketch // of those that were served
}

// Note is a change of something.
type Note struct {
	Subject string // a node, an address
	Text    string
	Value   int64
}

// Lost counts events that were not kept.
type Lost struct {
	From, To int64 // times of the first and the last
	Events   uint64
	Requests uint64
	Why      string // "full", "busy", "disk"
}

// Append writes an event, with its time as the difference from base.
func (e *Event) Append(b []byte, base int64) []byte {
	b = append(b, byte(e.Kind))
	b = binary.AppendVarint(b, e.At-base)
	switch e.Kind {
	case KindRequest:
		r := e.Request
		b = append(b, r.Class, r.Plan, byte(r.Answer))
		b = text(b, r.Volume)
		b = binary.AppendUvarint(b, uint64(math.Round(max(r.Units, 0)*16)))
		b = binary.AppendVarint(b, r.Shard)
		b = binary.AppendUvarint(b, uint64(max(r.Took, 0)))
		b = binary.AppendUvarint(b, uint64(max(r.Hint, 0)))
		b = binary.AppendUvarint(b, uint64(len(r.Tries)))
		for i := range r.Tries {
			t := &r.Tries[i]
			b = text(b, t.Node)
			b = binary.AppendUvarint(b, uint64(max(t.Sent, 0)))
			b = binary.AppendUvarint(b, uint64(max(t.Took, 0)))
			b = append(b, t.Outcome)
		}
	case KindBoot:
		o := e.Boot
		b = text(text(b, o.Name), o.ID)
		b = binary.AppendVarint(b, o.Began)
		b = binary.AppendVarint(b, o.Wall)
		b = binary.AppendVarint(b, o.Beat)
		b = binary.AppendUvarint(b, math.Float64bits(o.Sample))
		b = binary.AppendUvarint(b, uint64(len(o.Classes)))
		for _, c := range o.Classes {
			b = text(b, c.Name)
			b = binary.AppendVarint(b, c.Aim)
			b = binary.AppendVarint(b, c.Due)
			b = binary.AppendUvarint(b, math.Float64bits(c.Worth))
		}
		b = binary.AppendUvarint(b, uint64(len(o.Plans)))
		for _, p := range o.Plans {
			b = text(b, p.Name)
			b = binary.AppendUvarint(b, math.Float64bits(p.Price))
		}
	case KindBeat:
		o := e.Beat
		for _, v := range []int64{o.Wall, o.Open, int64(o.Heap), o.Threads, o.Nodes, o.List} {
			b = binary.AppendVarint(b, v)
		}
	case KindSummary:
		o := e.Summary
		b = binary.AppendVarint(b, o.Span)
		b = binary.AppendUvarint(b, uint64(len(o.Groups)))
		for i := range o.Groups {
			g := &o.Groups[i]
			b = append(b, g.Class, g.Plan)
			for _, n := range g.Count {
				b = binary.AppendUvarint(b, n)
			}
			b = binary.AppendUvarint(b, g.Late)
			b = g.Latency.Append(b)
		}
		b = binary.AppendUvarint(b, uint64(len(o.Nodes)))
		for i := range o.Nodes {
			n := &o.Nodes[i]
			b = text(b, n.Node)
			used := 0
			for _, c := range n.Outcomes {
				if c > 0 {
					used++
				}
			}
			b = append(b, byte(used))
			for k, c := range n.Outcomes {
				if c > 0 {
					b = binary.AppendUvarint(append(b, byte(k)), c)
				}
			}
			b = n.Latency.Append(b)
		}
		b = binary.AppendUvarint(b, uint64(len(o.Volumes)))
		for _, v := range o.Volumes {
			b = text(b, v.Volume)
			for _, n := range []uint64{v.Count, v.Error, v.Refused, v.Failed, v.Late} {
				b = binary.AppendUvarint(b, n)
			}
		}
	case KindLost:
		o := e.Lost
		b = binary.AppendVarint(b, o.From-e.At)
		b = binary.AppendVarint(b, o.To-e.At)
		b = binary.AppendUvarint(b, o.Events)
		b = binary.AppendUvarint(b, o.Requests)
		b = text(b, o.Why)
	default:
		o := e.Note
		b = text(text(b, o.Subject), o.Text)
		b = binary.AppendVarint(b, o.Value)
	}
	return b
}

func text(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

var errEvent = errors.New("record: an event cannot be read")

// Decoder reads events one after the other. Strings that come again are shared.
type Decoder struct {
	b     []byte
	base  int64
	bad   bool
	names map[string]string
}

// NewDecoder returns a decoder; Reset gives it something to read.
func NewDecoder() *Decoder { return &Decoder{names: map[string]string{}} }

// Reset turns to the events of a frame.
func (d *Decoder) Reset(b []byte, base int64) { d.b, d.base, d.bad = b, base, false }

func (d *Decoder) u() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.bad, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *Decoder) i() int64 {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.bad, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *Decoder) byte() byte {
	if len(d.b) == 0 {
		d.bad = true
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

func (d *Decoder) f() float64 { return math.Float64frombits(d.u()) }

// names are shared up to so many, so that hostile input does not fill memory.
const maxNames = 1 << 16

func (d *Decoder) s() string {
	n := d.u()
	if n > uint64(len(d.b)) || n > 1<<12 {
		d.bad, d.b = true, nil
		return ""
	}
	raw := d.b[:n]
	d.b = d.b[n:]
	if s, ok := d.names[string(raw)]; ok {
		return s
	}
	s := string(raw)
	if len(d.names) < maxNames {
		d.names[s] = s
	}
	return s
}

// count reads the length of a list, whose entries take at least least bytes each.
func (d *Decoder) count(least int) int {
	n := d.u()
	if n > uint64(len(d.b)/least) {
		d.bad, d.b = true, nil
		return 0
	}
	return int(n)
}

// Next reads the next event into e, or reports that there is none. The request in e, with its tries, is overwritten
// by the next call; everything else stays.
func (d *Decoder) Next(e *Event) (bool, error) {
	if len(d.b) == 0 {
		return false, nil
	}
	req := e.Request
	*e = Event{Kind: Kind(d.byte())}
	e.At = d.base + d.i()
	switch e.Kind {
	case KindRequest:
		if req == nil {
			req = &Request{}
		}
		tries := req.Tries[:0]
		*req = Request{Class: d.byte(), Plan: d.byte(), Answer: Answer(d.byte()), Volume: d.s()}
		req.Units, req.Shard, req.Took, req.Hint = float64(d.u())/16, d.i(), int64(d.u()), int64(d.u())
		for range d.count(4) {
			tries = append(tries, Try{Node: d.s(), Sent: int64(d.u()), Took: int64(d.u()), Outcome: d.byte()})
		}
		req.Tries = tries
		e.Request = req
	case KindBoot:
		o := &Boot{Name: d.s(), ID: d.s(), Began: d.i(), Wall: d.i(), Beat: d.i(), Sample: d.f()}
		for range d.count(4) {
			o.Classes = append(o.Classes, Class{Name: d.s(), Aim: d.i(), Due: d.i(), Worth: d.f()})
		}
		for range d.count(2) {
			o.Plans = append(o.Plans, Plan{Name: d.s(), Price: d.f()})
		}
		e.Boot = o
	case KindBeat:
		e.Beat = &Beat{Wall: d.i(), Open: d.i(), Heap: uint64(d.i()), Threads: d.i(), Nodes: d.i(), List: d.i()}
	case KindSummary:
		o := &Summary{Span: d.i()}
		for range d.count(9) {
			g := Group{Class: d.byte(), Plan: d.byte()}
			for k := range g.Count {
				g.Count[k] = d.u()
			}
			g.Late = d.u()
			d.sketch(&g.Latency)
			o.Groups = append(o.Groups, g)
		}
		for range d.count(3) {
			n := NodeCount{Node: d.s()}
			for range d.byte() {
				k := d.byte()
				c := d.u()
				n.Outcomes[k%16] = c
			}
			d.sketch(&n.Latency)
			o.Nodes = append(o.Nodes, n)
		}
		for range d.count(6) {
			o.Volumes = append(o.Volumes, VolumeCount{d.s(), d.u(), d.u(), d.u(), d.u(), d.u()})
		}
		e.Summary = o
	case KindLost:
		from, to := d.i(), d.i()
		e.Lost = &Lost{From: e.At + from, To: e.At + to, Events: d.u(), Requests: d.u(), Why: d.s()}
	case KindNode, KindList, KindDiscovery, KindControl, KindDrain, KindStop:
		e.Note = &Note{Subject: d.s(), Text: d.s(), Value: d.i()}
	default:
		d.bad = true
	}
	if d.bad {
		return false, fmt.Errorf("%w: kind %d", errEvent, e.Kind)
	}
	return true, nil
}

func (d *Decoder) sketch(s *sketch.Sketch) {
	rest, err := s.Read(d.b)
	if err != nil {
		d.bad, d.b = true, nil
		return
	}
	d.b = rest
}
