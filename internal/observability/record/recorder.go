package record

import (
	"context"
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/observability/sketch"
)

// Options bounds a recorder.
type Options struct {
	Sample float64       // share of requests that are recorded one by one; all are counted
	Buffer int           // bytes that wait to be written, together; 0: 1 MiB
	Flush  time.Duration // between two frames; 0: 50 ms
	Beat   time.Duration // between two heartbeats; 0: 500 ms
}

// volumes is how many places there are for volumes that come often, and told is how many are told.
const volumes, toldVolumes = 64, 16

// tellAgain is how often the boot's particulars are repeated, in microseconds.
const tellAgain = 5_000_000

// shards is how many buffers requests spread over.
const shards = 8

// Recorder takes events from any number of goroutines and hands them to a sink. It never makes its caller wait: what
// finds no room is counted.
type Recorder struct {
	opt   Options
	boot  Boot
	now   func() int64 // the broker's clock
	level func(*Beat)  // fills in levels
	sink  Sink
	keep  uint64 // a request is recorded where its hash lies under this
	seed  maphash.Seed

	shard [shards]shard
	turn  atomic.Uint32
	lost  lost
	stop  chan struct{}
	done  chan struct{}
	ended sync.Once

	seq      uint64
	dropped  atomic.Uint64 // events that were lost, since the boot
	last     *Summary      // for whoever wants figures
	lastMu   sync.Mutex
	diskLost *Lost // frames that the sink did not take
}

// shard is one buffer with the counts of what went through it.
type shard struct {
	mu     sync.Mutex
	buf    []byte
	base   int64
	events uint64
	reqs   uint64
	groups map[[2]uint8]*Group
	nodes  map[string]*NodeCount
	top    *sketch.Top
	_      [64]byte // a cache line of its own
}

// lost counts what found no room.
type lost struct {
	events, requests atomic.Uint64
	from, to         atomic.Int64
}

func (l *lost) add(at int64, request bool) {
	l.events.Add(1)
	if request {
		l.requests.Add(1)
	}
	l.from.CompareAndSwap(0, at)
	for {
		t := l.to.Load()
		if at <= t || l.to.CompareAndSwap(t, at) {
			return
		}
	}
}

// New returns a recorder. now is the broker's clock; level fills in a heartbeat's levels. Run writes.
func New(o Options, boot Boot, now func() int64, level func(*Beat), sink Sink) *Recorder {
	if o.Buffer == 0 {
		o.Buffer = 1 << 20
	}
	if o.Flush == 0 {
		o.Flush = 50 * time.Millisecond
	}
	if o.Beat == 0 {
		o.Beat = 500 * time.Millisecond
	}
	boot.Beat, boot.Sample = o.Beat.Microseconds(), o.Sample
	r := &Recorder{opt: o, boot: boot, now: now, level: level, sink: sink, seed: maphash.MakeSeed(), stop: make(chan struct{}),
		done: make(chan struct{})}
	switch {
	case o.Sample >= 1:
		r.keep = math.MaxUint64
	case o.Sample > 0:
		r.keep = uint64(o.Sample * math.MaxUint64)
	}
	for i := range r.shard {
		r.shard[i].clear()
	}
	return r
}

func (s *shard) clear() {
	s.groups, s.nodes = map[[2]uint8]*Group{}, map[string]*NodeCount{}
	if s.top == nil {
		s.top = sketch.NewTop(volumes)
	}
	s.top.Reset()
	s.buf, s.base, s.events, s.reqs = s.buf[:0], 0, 0, 0
}

// lock finds a buffer that nobody uses right now, or returns nil. It never waits.
func (r *Recorder) lock() *shard {
	k := r.turn.Add(1)
	for n := range uint32(shards) {
		if s := &r.shard[(k+n)%shards]; s.mu.TryLock() {
			return s
		}
	}
	return nil
}

// room reports whether a buffer may take more.
func (r *Recorder) room(s *shard) bool { return len(s.buf) < r.opt.Buffer/shards }

// Request records one that has ended. at is its arrival. Neither q nor its tries are kept.
func (r *Recorder) Request(at int64, q *Request) {
	s := r.lock()
	if s == nil {
		r.lost.add(at+q.Took, true)
		return
	}
	s.count(q, &r.boot)
	keep := r.keep == math.MaxUint64
	if !keep && r.keep > 0 {
		var h maphash.Hash
		h.SetSeed(r.seed)
		var b [8]byte
		for i := range b {
			b[i] = byte(at >> (8 * i))
		}
		h.Write(b[:])
		h.WriteString(q.Volume)
		keep = h.Sum64() < r.keep
	}
	if keep {
		e := Event{At: at, Kind: KindRequest, Request: q}
		r.push(s, &e, true)
	}
	s.mu.Unlock()
}

func (r *Recorder) push(s *shard, e *Event, request bool) {
	if !r.room(s) {
		r.lost.add(e.At, request)
		return
	}
	if len(s.buf) == 0 {
		s.base = e.At
	}
	s.buf = e.Append(s.buf, s.base)
	s.events++
	if request {
		s.reqs++
	}
}

// count adds a request to the summary.
func (s *shard) count(q *Request, boot *Boot) {
	key := [2]uint8{q.Class, q.Plan}
	g := s.groups[key]
	if g == nil {
		g = &Group{Class: q.Class, Plan: q.Plan}
		s.groups[key] = g
	}
	g.Count[q.Answer]++
	v := s.top.Add(q.Volume, 1)
	switch q.Answer {
	case Refused:
		v.Extra[0]++
	case Failed, Overdue:
		v.Extra[1]++
	}
	if q.Answer == Served {
		g.Latency.Add(q.Took)
		if int(q.Class) < len(boot.Classes) && q.Took > boot.Classes[q.Class].Aim {
			g.Late++
			v.Extra[2]++
		}
	}
	for i := range q.Tries {
		t := &q.Tries[i]
		n := s.nodes[t.Node]
		if n == nil {
			n = &NodeCount{Node: t.Node}
			s.nodes[t.Node] = n
		}
		n.Outcomes[t.Outcome%16]++
		if t.Outcome == 0 {
			n.Latency.Add(t.Took)
		}
	}
}

// Note records a change of something, at the present time.
func (r *Recorder) Note(k Kind, subject, text string, value int64) {
	e := Event{At: r.now(), Kind: k, Note: &Note{Subject: subject, Text: text, Value: value}}
	s := r.lock()
	if s == nil {
		r.lost.add(e.At, false)
		return
	}
	r.push(s, &e, false)
	s.mu.Unlock()
}

// Run writes frames, heartbeats and summaries until Close.
func (r *Recorder) Run() {
	defer close(r.done)
	defer func() { _ = r.sink.Close() }() // nobody is left to tell; a frame that was lost shows as a gap
	tick := time.NewTicker(r.opt.Flush)
	defer tick.Stop()
	began := r.now()
	r.boot.Began, r.boot.Wall = began, time.Now().UnixMicro()
	first := Event{At: began, Kind: KindBoot, Boot: &r.boot}
	r.flush(first.Append(nil, began), began)
	beat, sum, told := began, began, began
	var groups map[[2]uint8]*Group
	var nodes map[string]*NodeCount
	top := sketch.NewTop(volumes)
	reset := func() {
		groups, nodes = map[[2]uint8]*Group{}, map[string]*NodeCount{}
		top.Reset()
	}
	reset()
	for end := false; !end; {
		select {
		case <-tick.C:
		case <-r.stop:
			end = true
		}
		now := r.now()
		var b []byte
		// Events of a buffer count from its own base, so each buffer becomes a frame of its own.
		for i := range r.shard {
			s := &r.shard[i]
			s.mu.Lock()
			if len(s.buf) > 0 {
				r.frame(s.buf, s.base, now)
			}
			merge(groups, nodes, s)
			top.Merge(s.top)
			s.clear()
			s.mu.Unlock()
		}
		if n := r.lost.events.Swap(0); n > 0 {
			r.dropped.Add(n)
			from, to := r.lost.from.Swap(0), r.lost.to.Swap(0)
			e := Event{At: now, Kind: KindLost, Lost: &Lost{From: from, To: to, Events: n, Requests: r.lost.requests.Swap(0), Why: "full"}}
			b = e.Append(b, now)
		}
		if d := r.diskLost; d != nil {
			e := Event{At: now, Kind: KindLost, Lost: d}
			if r.write(e.Append(nil, now), now) {
				r.diskLost = nil
			}
		}
		if now-beat >= r.opt.Beat.Microseconds() || end {
			beat = now
			o := &Beat{Wall: time.Now().UnixMicro()}
			r.level(o)
			e := Event{At: now, Kind: KindBeat, Beat: o}
			b = e.Append(b, now)
			if now-told >= tellAgain { // earlier segments may be gone by the time that somebody reads
				told = now
				e := Event{At: now, Kind: KindBoot, Boot: &r.boot}
				b = e.Append(b, now)
			}
		}
		if now-sum >= time.Second.Microseconds() || end {
			o := &Summary{Span: now - sum}
			for _, g := range groups {
				o.Groups = append(o.Groups, *g)
			}
			for _, n := range nodes {
				o.Nodes = append(o.Nodes, *n)
			}
			for _, c := range top.List(toldVolumes) {
				o.Volumes = append(o.Volumes, VolumeCount{c.Key, c.Count, c.Error, c.Extra[0], c.Extra[1], c.Extra[2]})
			}
			sum = now
			reset()
			r.lastMu.Lock()
			r.last = o
			r.lastMu.Unlock()
			if len(o.Groups) > 0 || len(o.Nodes) > 0 {
				e := Event{At: now, Kind: KindSummary, Summary: o}
				b = e.Append(b, now)
			}
		}
		r.flush(b, now)
	}
}

func merge(groups map[[2]uint8]*Group, nodes map[string]*NodeCount, s *shard) {
	for k, g := range s.groups {
		to := groups[k]
		if to == nil {
			groups[k] = g
			continue
		}
		for i, n := range g.Count {
			to.Count[i] += n
		}
		to.Late += g.Late
		to.Latency.Merge(&g.Latency)
	}
	for k, n := range s.nodes {
		to := nodes[k]
		if to == nil {
			nodes[k] = n
			continue
		}
		for i, c := range n.Outcomes {
			to.Outcomes[i] += c
		}
		to.Latency.Merge(&n.Latency)
	}
}

func (r *Recorder) flush(events []byte, at int64) {
	if len(events) > 0 {
		r.frame(events, at, at)
	}
}

// write hands events to the sink. A frame that it does not take leaves its number out.
func (r *Recorder) write(events []byte, base int64) bool {
	r.seq++
	return r.sink.Write(&Frame{Seq: r.seq, At: base, Now: r.now(), Events: events}) == nil
}

// frame hands events to the sink. What it does not take is remembered, to be told once it takes something again.
func (r *Recorder) frame(events []byte, base, now int64) {
	if r.write(events, base) {
		return
	}
	d := NewDecoder()
	d.Reset(events, base)
	var e Event
	if r.diskLost == nil {
		r.diskLost = &Lost{From: base, To: now, Why: "disk"}
	}
	for {
		ok, err := d.Next(&e)
		if !ok || err != nil {
			break
		}
		if e.Kind == KindLost {
			r.diskLost.Events += e.Lost.Events
			r.diskLost.Requests += e.Lost.Requests
			r.diskLost.From = min(r.diskLost.From, e.Lost.From)
			continue
		}
		r.diskLost.Events++
		if e.Kind == KindRequest {
			r.diskLost.Requests++
		}
		r.diskLost.From, r.diskLost.To = min(r.diskLost.From, e.At), max(r.diskLost.To, e.At)
	}
}

// Latest is the last summary; nil before the first. It must not be changed.
func (r *Recorder) Latest() *Summary {
	r.lastMu.Lock()
	defer r.lastMu.Unlock()
	return r.last
}

// Dropped counts the events that found no room since the boot.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// Close writes what is left and ends Run.
func (r *Recorder) Close(ctx context.Context) {
	r.ended.Do(func() { close(r.stop) })
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// Ring is a sink in memory for brokers without a disk: it keeps the newest frames within so many bytes.
type Ring struct {
	mu   sync.Mutex
	most int
	size int
	list [][]byte
	head []byte
}

// NewRing returns an empty ring.
func NewRing(name, boot string, most int) *Ring {
	return &Ring{most: most, head: SegmentHead(name, boot, 1)}
}

// Write keeps a frame, and drops the oldest where it must.
func (r *Ring) Write(f *Frame) error {
	b := f.Append(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, b)
	r.size += len(b)
	for r.size > r.most && len(r.list) > 1 {
		r.size -= len(r.list[0])
		r.list[0] = nil
		r.list = r.list[1:]
	}
	return nil
}

// Close does nothing.
func (r *Ring) Close() error { return nil }

// Segment is the ring's content in the form of a segment file.
func (r *Ring) Segment() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]byte(nil), r.head...)
	for _, b := range r.list {
		out = append(out, b...)
	}
	return out
}

// Quantiles is a latency in a few figures, in microseconds.
type Quantiles struct {
	Count         uint64
	P50, P99, Max int64
}

// Of reads them off a sketch.
func Of(s *sketch.Sketch) Quantiles {
	return Quantiles{s.Count(), s.Quantile(0.5), s.Quantile(0.99), s.Max()}
}
