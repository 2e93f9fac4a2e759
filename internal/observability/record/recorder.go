package record

import (
	"context"
	"encoding/binary"
	"hash/maphash"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/timing/clock"
)

// Options bounds a recorder. Zero values mean the defaults.
type Options struct {
	SampleFraction    float64       // share of requests that are recorded in full; all are counted
	BufferBytes       int           // bytes that wait to be written, together
	FlushInterval     time.Duration // between two frames
	HeartbeatInterval time.Duration // between two heartbeats
}

// Defaults of Options.
const (
	defaultBufferBytes       = 1 << 20
	defaultFlushInterval     = 50 * time.Millisecond
	defaultHeartbeatInterval = 500 * time.Millisecond
)

// trackedVolumes is how many volumes are counted as candidates for the most frequent ones.
const trackedVolumes = 64

// bufferCount is how many buffers the callers are spread over.
const bufferCount = 8

// cacheLineBytes separates buffers that different processors write.
const cacheLineBytes = 64

// Sink takes frames. An error means that the frame is not kept.
type Sink interface {
	Write(f *Frame) error
	Close() error
}

// Recorder takes events from any number of goroutines and hands them to a sink. It never blocks its caller: events that
// find no space are counted and reported as lost. One goroutine calls Run, which owns the sink.
type Recorder struct {
	options Options
	boot    Incarnation
	now     func() clock.Micros
	levels  func(*Heartbeat) // fills in the levels of a heartbeat
	sink    Sink

	// Requests whose hash is below this are recorded in full.
	sampleThreshold uint64
	sampleSeed      maphash.Seed

	buffers    [bufferCount]buffer
	nextBuffer atomic.Uint32
	overflow   overflow
	dropped    atomic.Uint64 // events lost to overflow, since the start

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once

	latestMu sync.Mutex
	latest   *Summary
}

// New returns a recorder. now is the broker's clock in microseconds; levels fills in the levels of a heartbeat.
func New(options Options, boot Incarnation, now func() clock.Micros, levels func(*Heartbeat), sink Sink) *Recorder {
	if options.BufferBytes == 0 {
		options.BufferBytes = defaultBufferBytes
	}
	if options.FlushInterval == 0 {
		options.FlushInterval = defaultFlushInterval
	}
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = defaultHeartbeatInterval
	}
	boot.HeartbeatInterval = clock.FromDuration(options.HeartbeatInterval)
	boot.SampleFraction = options.SampleFraction
	r := &Recorder{
		options:    options,
		boot:       boot,
		now:        now,
		levels:     levels,
		sink:       sink,
		sampleSeed: maphash.MakeSeed(),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	switch {
	case options.SampleFraction >= 1:
		r.sampleThreshold = math.MaxUint64
	case options.SampleFraction > 0:
		r.sampleThreshold = uint64(options.SampleFraction * math.MaxUint64)
	}
	for i := range r.buffers {
		r.buffers[i].counts.reset()
	}
	return r
}

// Request records a request that has ended. arrived is the time of its arrival. Neither the request nor its attempts are
// kept.
func (r *Recorder) Request(arrived clock.Micros, request *Request) {
	b := r.lockBuffer()
	if b == nil {
		r.overflow.add(arrived+request.Duration, true)
		return
	}
	defer b.mu.Unlock()
	b.counts.addRequest(request, &r.boot)
	if r.isSampled(arrived, request.Volume) {
		event := Event{At: arrived, Kind: KindRequest, Request: request}
		r.append(b, &event)
	}
}

// isSampled decides by a hash of the request whether it is recorded in full.
func (r *Recorder) isSampled(arrived clock.Micros, volume string) bool {
	switch r.sampleThreshold {
	case 0:
		return false
	case math.MaxUint64:
		return true
	}
	var hash maphash.Hash
	hash.SetSeed(r.sampleSeed)
	var time [8]byte
	binary.LittleEndian.PutUint64(time[:], uint64(arrived))
	_, _ = hash.Write(time[:]) // a hash takes all
	_, _ = hash.WriteString(volume)
	return hash.Sum64() < r.sampleThreshold
}

// Note records a change of something, at the present time.
func (r *Recorder) Note(kind Kind, subject, text string, value int64) {
	event := Event{At: r.now(), Kind: kind, Note: &Note{Subject: subject, Text: text, Value: value}}
	b := r.lockBuffer()
	if b == nil {
		r.overflow.add(event.At, false)
		return
	}
	defer b.mu.Unlock()
	r.append(b, &event)
}

// append encodes an event into a locked buffer, if there is space.
func (r *Recorder) append(b *buffer, event *Event) {
	if len(b.events) >= r.options.BufferBytes/bufferCount {
		r.overflow.add(event.At, event.Kind == KindRequest)
		return
	}
	if len(b.events) == 0 {
		b.base = event.At
	}
	b.events = event.Append(b.events, b.base)
}

// lockBuffer locks a buffer that nobody uses at the moment, or returns nil. It never waits.
func (r *Recorder) lockBuffer() *buffer {
	first := r.nextBuffer.Add(1)
	for i := range uint32(bufferCount) {
		if b := &r.buffers[(first+i)%bufferCount]; b.mu.TryLock() {
			return b
		}
	}
	return nil
}

// Latest returns the latest summary, which must not be changed; nil before the first.
func (r *Recorder) Latest() *Summary {
	r.latestMu.Lock()
	defer r.latestMu.Unlock()
	return r.latest
}

// Dropped counts the events that were lost to full or busy buffers since the start.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// Close has Run write what is left and waits for its end.
func (r *Recorder) Close(ctx context.Context) {
	r.stopOnce.Do(func() { close(r.stop) })
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// buffer holds encoded events and the counts of all requests that went through it.
type buffer struct {
	mu     sync.Mutex
	events []byte
	base   clock.Micros // the events' times count from it
	counts counts
	_      [cacheLineBytes]byte
}

func (b *buffer) reset() {
	b.events = b.events[:0]
	b.base = 0
	b.counts.reset()
}

// overflow counts events that found no space.
type overflow struct {
	events   atomic.Uint64
	requests atomic.Uint64
	from     clock.AtomicMicros // time of the first; 0: none
	to       clock.AtomicMicros // time of the last
}

func (o *overflow) add(at clock.Micros, isRequest bool) {
	o.events.Add(1)
	if isRequest {
		o.requests.Add(1)
	}
	o.from.CompareAndSwap(0, at)
	for {
		last := o.to.Load()
		if at <= last || o.to.CompareAndSwap(last, at) {
			return
		}
	}
}

// take returns what was counted and starts anew, or returns nil.
func (o *overflow) take() *Lost {
	events := o.events.Swap(0)
	if events == 0 {
		return nil
	}
	return &Lost{From: o.from.Swap(0), To: o.to.Swap(0), Events: events, Requests: o.requests.Swap(0), Reason: "full"}
}

// groupKey is a class and a plan, by their numbers.
type groupKey struct{ class, plan uint8 }

// counts summarises requests.
type counts struct {
	groups  map[groupKey]*Group
	nodes   map[string]*NodeCount
	volumes *sketch.Top
}

// Indices into the extra counts of a volume.
const (
	volumeRefused = iota
	volumeFailed
	volumeLate
)

func (c *counts) reset() {
	c.groups = map[groupKey]*Group{}
	c.nodes = map[string]*NodeCount{}
	if c.volumes == nil {
		c.volumes = sketch.NewTop(trackedVolumes)
	}
	c.volumes.Reset()
}

func (c *counts) addRequest(request *Request, boot *Incarnation) {
	key := groupKey{request.Class, request.Plan}
	group := c.groups[key]
	if group == nil {
		group = &Group{Class: request.Class, Plan: request.Plan}
		c.groups[key] = group
	}
	group.Results[request.Result]++
	volume := c.volumes.Add(request.Volume, 1)
	switch request.Result {
	case Rejected:
		volume.Extra[volumeRefused]++
	case Failed, DeadlineExceeded:
		volume.Extra[volumeFailed]++
	case Served:
		group.Latency.Add(int64(request.Duration))
		if int(request.Class) < len(boot.Classes) && request.Duration > boot.Classes[request.Class].LatencyObjective {
			group.Late++
			volume.Extra[volumeLate]++
		}
	}
	for i := range request.Attempts {
		c.addAttempt(&request.Attempts[i])
	}
}

func (c *counts) addAttempt(attempt *Attempt) {
	node := c.nodes[attempt.Node]
	if node == nil {
		node = &NodeCount{Node: attempt.Node}
		c.nodes[attempt.Node] = node
	}
	node.Outcomes[int(attempt.Outcome)%len(node.Outcomes)]++
	if attempt.Outcome == outcomeServed {
		node.Latency.Add(int64(attempt.Duration))
	}
}

// merge adds what other has counted. It may keep parts of other.
func (c *counts) merge(other *counts) {
	for key, from := range other.groups {
		to := c.groups[key]
		if to == nil {
			c.groups[key] = from
			continue
		}
		for answer, n := range from.Results {
			to.Results[answer] += n
		}
		to.Late += from.Late
		to.Latency.Merge(&from.Latency)
	}
	for name, from := range other.nodes {
		to := c.nodes[name]
		if to == nil {
			c.nodes[name] = from
			continue
		}
		for outcome, n := range from.Outcomes {
			to.Outcomes[outcome] += n
		}
		to.Latency.Merge(&from.Latency)
	}
	c.volumes.Merge(other.volumes)
}
