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

// Options configures a recorder. For every field but SampleFraction, zero means the default.
type Options struct {
	SampleFraction    float64       // fraction of requests that are recorded in full; all requests are counted
	BufferBytes       int           // size of all buffers together; events that do not fit are lost
	FlushInterval     time.Duration // time between two flushes of the buffers
	HeartbeatInterval time.Duration // time between two heartbeats
}

// Defaults of Options.
const (
	defaultBufferBytes       = 1 << 20
	defaultFlushInterval     = 50 * time.Millisecond
	defaultHeartbeatInterval = 500 * time.Millisecond
)

// trackedVolumes is the number of volumes that are counted as candidates for the most frequent ones of a summary.
const trackedVolumes = 64

// bufferCount is the number of buffers that callers are spread over to reduce lock contention.
const bufferCount = 8

// cacheLineBytes is the padding between buffers, which prevents false sharing between processors.
const cacheLineBytes = 64

// Sink stores frames. An error from Write means that the frame was not stored.
type Sink interface {
	Write(f *Frame) error
	Close() error
}

// Recorder accepts events from any number of goroutines and writes them to a sink. It never blocks its callers: events
// that do not fit into the buffers are counted and reported as lost. One goroutine calls Run, which owns the sink.
type Recorder struct {
	options       Options
	incarnation   Incarnation
	now           func() clock.Micros
	fillHeartbeat func(*Heartbeat) // sets the gauges of a heartbeat
	sink          Sink

	// Requests whose hash is below sampleThreshold are recorded in full.
	sampleThreshold uint64
	sampleSeed      maphash.Seed

	buffers    [bufferCount]buffer
	nextBuffer atomic.Uint32
	overflow   overflow
	dropped    atomic.Uint64 // events lost to overflow since the start

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once

	latestMu sync.Mutex
	latest   *Summary
}

// New returns a recorder. now is the broker's clock; fillHeartbeat sets the gauges of a heartbeat.
func New(options Options, incarnation Incarnation, now func() clock.Micros, fillHeartbeat func(*Heartbeat), sink Sink) *Recorder {
	if options.BufferBytes == 0 {
		options.BufferBytes = defaultBufferBytes
	}
	if options.FlushInterval == 0 {
		options.FlushInterval = defaultFlushInterval
	}
	if options.HeartbeatInterval == 0 {
		options.HeartbeatInterval = defaultHeartbeatInterval
	}
	incarnation.HeartbeatInterval = clock.FromDuration(options.HeartbeatInterval)
	incarnation.SampleFraction = options.SampleFraction
	r := &Recorder{
		options:       options,
		incarnation:   incarnation,
		now:           now,
		fillHeartbeat: fillHeartbeat,
		sink:          sink,
		sampleSeed:    maphash.MakeSeed(),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
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

// Request records a request that has ended. arrived is the time of its arrival. The recorder keeps no reference to the
// request or its attempts.
func (r *Recorder) Request(arrived clock.Micros, request *Request) {
	b := r.lockBuffer()
	if b == nil {
		r.overflow.add(arrived+request.Duration, true)
		return
	}
	defer b.mu.Unlock()
	b.counts.addRequest(request, &r.incarnation)
	if r.isSampled(arrived, request.Volume) {
		event := Event{At: arrived, Kind: KindRequest, Request: request}
		r.append(b, &event)
	}
}

// isSampled decides by a hash of the arrival time and the volume whether a request is recorded in full.
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
	_, _ = hash.Write(time[:]) // maphash never returns an error
	_, _ = hash.WriteString(volume)
	return hash.Sum64() < r.sampleThreshold
}

// Note records a change of the subject, at the current time.
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

// append encodes an event into a locked buffer. If the buffer is full, the event is counted as lost.
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

// lockBuffer locks a buffer that is not in use and returns it. It never waits: if all buffers are in use it returns
// nil.
func (r *Recorder) lockBuffer() *buffer {
	first := r.nextBuffer.Add(1)
	for i := range uint32(bufferCount) {
		if b := &r.buffers[(first+i)%bufferCount]; b.mu.TryLock() {
			return b
		}
	}
	return nil
}

// Latest returns the latest summary, or nil before the first. Callers must not modify it.
func (r *Recorder) Latest() *Summary {
	r.latestMu.Lock()
	defer r.latestMu.Unlock()
	return r.latest
}

// Dropped returns the number of events lost since the start because all buffers were full or in use.
func (r *Recorder) Dropped() uint64 { return r.dropped.Load() }

// Close makes Run write the buffered events and return, and waits for that or for the end of ctx.
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
	base   clock.Micros // reference time of the encoded event times
	counts counts
	_      [cacheLineBytes]byte
}

func (b *buffer) reset() {
	b.events = b.events[:0]
	b.base = 0
	b.counts.reset()
}

// overflow counts events that did not fit into the buffers.
type overflow struct {
	events   atomic.Uint64
	requests atomic.Uint64
	from     clock.AtomicMicros // time of the first one; 0 if there is none
	to       clock.AtomicMicros // time of the last one
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

// take returns the counts since the last call and resets them; nil if no event was lost.
func (o *overflow) take() *Lost {
	events := o.events.Swap(0)
	if events == 0 {
		return nil
	}
	return &Lost{From: o.from.Swap(0), To: o.to.Swap(0), Events: events, Requests: o.requests.Swap(0), Reason: "full"}
}

// groupKey identifies a class and a plan by their positions in Incarnation.
type groupKey struct{ class, plan uint8 }

// counts holds the request counters of a summary.
type counts struct {
	groups  map[groupKey]*Group
	nodes   map[string]*NodeCount
	volumes *sketch.Top
}

// Indices into sketch.Entry.Extra of a volume.
const (
	volumeRejected = iota
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

func (c *counts) addRequest(request *Request, incarnation *Incarnation) {
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
		volume.Extra[volumeRejected]++
	case Failed, DeadlineExceeded:
		volume.Extra[volumeFailed]++
	case Served:
		group.Latency.Add(int64(request.Duration))
		if int(request.Class) < len(incarnation.Classes) && request.Duration > incarnation.Classes[request.Class].LatencyObjective {
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

// merge adds the counts of other. It may keep references to parts of other.
func (c *counts) merge(other *counts) {
	for key, from := range other.groups {
		to := c.groups[key]
		if to == nil {
			c.groups[key] = from
			continue
		}
		for result, n := range from.Results {
			to.Results[result] += n
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
