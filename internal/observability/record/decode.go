package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// ErrMalformed is the error for bytes that cannot be decoded as an event.
var ErrMalformed = errors.New("record: malformed event")

// Limits on the memory that malformed input can make the decoder allocate.
const (
	maxStringBytes   = 1 << 12
	maxSharedStrings = 1 << 16
)

// Minimum encoded sizes of list entries, in bytes. A list that claims more entries than the remaining bytes can hold is
// malformed.
const (
	minAttemptBytes = 4
	minClassBytes   = 4
	minPlanBytes    = 2
	minGroupBytes   = 9
	minNodeBytes    = 3
	minVolumeBytes  = 6
)

// Decoder decodes the events of frames. Equal strings share their memory.
type Decoder struct {
	rest      []byte
	base      clock.Micros
	malformed bool
	shared    map[string]string
}

// NewDecoder returns a decoder. Reset sets its input.
func NewDecoder() *Decoder { return &Decoder{shared: map[string]string{}} }

// Reset sets the input to the events of a frame. base is the frame's BaseTime.
func (d *Decoder) Reset(events []byte, base clock.Micros) {
	d.rest = events
	d.base = base
	d.malformed = false
}

// Next decodes the next event into e and reports whether there was one. The next call overwrites the request in e and
// its attempts; everything else stays valid. The error wraps ErrMalformed.
func (d *Decoder) Next(e *Event) (bool, error) {
	if len(d.rest) == 0 {
		return false, nil
	}
	request := e.Request
	*e = Event{Kind: Kind(d.byte())}
	e.At = d.base + d.micros()
	switch e.Kind {
	case KindRequest:
		if request == nil {
			request = &Request{}
		}
		d.request(request)
		e.Request = request
	case KindIncarnation:
		e.Incarnation = d.incarnation()
	case KindHeartbeat:
		e.Heartbeat = d.heartbeat()
	case KindSummary:
		e.Summary = d.summary()
	case KindLost:
		e.Lost = d.lost(e.At)
	case KindNode, KindEndpointList, KindDiscovery, KindControl, KindDrain, KindStop:
		e.Note = &Note{Subject: d.string(), Text: d.string(), Value: d.varint()}
	default:
		d.malformed = true
	}
	if d.malformed {
		return false, fmt.Errorf("%w: event kind %d", ErrMalformed, e.Kind)
	}
	return true, nil
}

// request decodes a request into r and reuses the memory of its attempts.
func (d *Decoder) request(r *Request) {
	attempts := r.Attempts[:0]
	*r = Request{Class: d.byte(), Plan: d.byte(), Result: Result(d.byte()), Volume: d.string()}
	r.Units = float64(d.uvarint()) / unitsScale
	r.Shard = d.varint()
	r.Duration = clock.Micros(d.uvarint())
	r.RetryAfter = clock.Micros(d.uvarint())
	for range d.count(minAttemptBytes) {
		attempts = append(attempts, Attempt{Node: d.string(), SentAfter: clock.Micros(d.uvarint()), Duration: clock.Micros(d.uvarint()), Outcome: d.byte()})
	}
	r.Attempts = attempts
}

func (d *Decoder) incarnation() *Incarnation {
	incarnation := &Incarnation{Name: d.string(), ID: d.string(), StartedAt: d.micros(), WallClock: d.micros(), HeartbeatInterval: d.micros(), SampleFraction: d.float()}
	for range d.count(minClassBytes) {
		incarnation.Classes = append(incarnation.Classes, Class{Name: d.string(), LatencyObjective: d.micros(), Deadline: d.micros(), PriorityWeight: d.float()})
	}
	for range d.count(minPlanBytes) {
		incarnation.Plans = append(incarnation.Plans, Plan{Name: d.string(), PriceFactor: d.float()})
	}
	return incarnation
}

func (d *Decoder) heartbeat() *Heartbeat {
	return &Heartbeat{
		WallClock:    d.micros(),
		InFlight:     d.varint(),
		HeapBytes:    uint64(d.varint()),
		Goroutines:   d.varint(),
		NodeCount:    d.varint(),
		ListRevision: d.varint(),
	}
}

func (d *Decoder) summary() *Summary {
	summary := &Summary{Span: d.micros()}
	for range d.count(minGroupBytes) {
		group := Group{Class: d.byte(), Plan: d.byte()}
		for k := range group.Results {
			group.Results[k] = d.uvarint()
		}
		group.Late = d.uvarint()
		d.sketch(&group.Latency)
		summary.Groups = append(summary.Groups, group)
	}
	for range d.count(minNodeBytes) {
		node := NodeCount{Node: d.string()}
		for range d.byte() {
			outcome := d.byte()
			node.Outcomes[int(outcome)%len(node.Outcomes)] = d.uvarint()
		}
		d.sketch(&node.Latency)
		summary.Nodes = append(summary.Nodes, node)
	}
	for range d.count(minVolumeBytes) {
		summary.Volumes = append(summary.Volumes, VolumeCount{
			Volume:     d.string(),
			Count:      d.uvarint(),
			CountError: d.uvarint(),
			Rejected:   d.uvarint(),
			Failed:     d.uvarint(),
			Late:       d.uvarint(),
		})
	}
	return summary
}

func (d *Decoder) lost(at clock.Micros) *Lost {
	from := d.micros()
	to := d.micros()
	return &Lost{From: at + from, To: at + to, Events: d.uvarint(), Requests: d.uvarint(), Reason: d.string()}
}

// fail marks the input as malformed and discards the rest of it.
func (d *Decoder) fail() {
	d.malformed = true
	d.rest = nil
}

func (d *Decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *Decoder) varint() int64 {
	v, n := binary.Varint(d.rest)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// micros decodes a time or a duration that may be negative.
func (d *Decoder) micros() clock.Micros { return clock.Micros(d.varint()) }

func (d *Decoder) byte() byte {
	if len(d.rest) == 0 {
		d.malformed = true
		return 0
	}
	v := d.rest[0]
	d.rest = d.rest[1:]
	return v
}

func (d *Decoder) float() float64 { return math.Float64frombits(d.uvarint()) }

func (d *Decoder) string() string {
	n := d.uvarint()
	if n > uint64(len(d.rest)) || n > maxStringBytes {
		d.fail()
		return ""
	}
	raw := d.rest[:n]
	d.rest = d.rest[n:]
	if s, ok := d.shared[string(raw)]; ok {
		return s
	}
	s := string(raw)
	if len(d.shared) < maxSharedStrings {
		d.shared[s] = s
	}
	return s
}

// count reads the length of a list whose entries take at least minBytes each.
func (d *Decoder) count(minBytes int) int {
	n := d.uvarint()
	if n > uint64(len(d.rest)/minBytes) {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *Decoder) sketch(s *sketch.Sketch) {
	rest, err := s.Read(d.rest)
	if err != nil {
		d.fail()
		return
	}
	d.rest = rest
}
