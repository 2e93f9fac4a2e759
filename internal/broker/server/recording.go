package server

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/control"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// recordingCloseTimeout bounds the time for writing the remaining records at the end.
const recordingCloseTimeout = time.Second

// recording connects a broker with its recorder and owns the recorder's goroutine from startRecording to close. A nil
// recording records nothing.
type recording struct {
	cfg           *config.Config
	incarnationID string
	recorder      *record.Recorder
	ring          *record.Ring                     // nil if records go to files
	discoveryDown atomic.Bool                      // whether the last call to discovery failed
	discovery     atomic.Pointer[discovery.Client] // nil before observeDiscovery
}

// startRecording starts the configured recorder. It returns nil if the configuration has none.
func startRecording(cfg *config.Config, c *clock.Clock, limiter *core.ConcurrencyLimiter, endpoints *core.EndpointTable,
	log *slog.Logger) (*recording, error) {
	if cfg.Record == nil {
		return nil, nil
	}
	r := &recording{cfg: cfg, incarnationID: newIncarnationID()}
	sink, err := r.newSink()
	if err != nil {
		return nil, err
	}
	o := cfg.Record
	options := record.Options{
		SampleFraction:    o.SampleFraction,
		FlushInterval:     time.Duration(o.FlushIntervalMS) * time.Millisecond,
		HeartbeatInterval: time.Duration(o.HeartbeatMS) * time.Millisecond,
	}
	r.recorder = record.New(options, r.incarnation(), c.Now, r.heartbeatFiller(limiter, endpoints), sink)
	go r.recorder.Run() // close waits for it
	log.Info("record: started", "dir", o.Dir, "sample", o.SampleFraction, "boot", r.incarnationID)
	return r, nil
}

// newSink opens the record directory, or creates a ring buffer in memory if no directory is configured.
func (r *recording) newSink() (record.Sink, error) {
	o := r.cfg.Record
	if o.Dir == "" {
		r.ring = record.NewRing(r.cfg.Name, r.incarnationID, int(o.TotalBytes))
		return r.ring, nil
	}
	dir, err := record.NewDirectory(o.Dir, r.cfg.Name, r.incarnationID, o.SegmentBytes, o.TotalBytes)
	if err != nil {
		return nil, fmt.Errorf("record.dir: %w", err)
	}
	return dir, nil
}

// incarnation describes this run of the broker process for the records.
func (r *recording) incarnation() record.Incarnation {
	incarnation := record.Incarnation{Name: r.cfg.Name, ID: r.incarnationID}
	for _, k := range r.cfg.Policy.Classes {
		incarnation.Classes = append(incarnation.Classes, record.Class{
			Name:             k.Name,
			LatencyObjective: clock.FromDuration(k.LatencyObjective),
			Deadline:         clock.FromDuration(k.Deadline),
			PriorityWeight:   k.PriorityWeight,
		})
	}
	for _, p := range r.cfg.Policy.Plans {
		incarnation.Plans = append(incarnation.Plans, record.Plan{Name: p.Name, PriceFactor: p.PriceFactor})
	}
	return incarnation
}

// heartbeatFiller returns the function that fills in a heartbeat. Only the recorder's goroutine calls it.
func (r *recording) heartbeatFiller(limiter *core.ConcurrencyLimiter, endpoints *core.EndpointTable) func(*record.Heartbeat) {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	return func(b *record.Heartbeat) {
		metrics.Read(heap)
		b.InFlight = limiter.InFlight()
		b.HeapBytes = heap[0].Value.Uint64()
		b.Goroutines = int64(runtime.NumGoroutine())
		b.NodeCount = int64(endpoints.Len())
		if d := r.discovery.Load(); d != nil {
			b.ListRevision = d.Revision()
		}
	}
}

// close writes the remaining records and stops the recorder.
func (r *recording) close() {
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordingCloseTimeout)
	defer cancel()
	r.recorder.Close(ctx)
}

// requests returns the recorder of requests, nil if nothing is recorded.
func (r *recording) requests() *record.Recorder {
	if r == nil {
		return nil
	}
	return r.recorder
}

// note records an event that concerns the whole broker.
func (r *recording) note(k record.Kind, text string) {
	if r != nil {
		r.recorder.Note(k, "", text, 0)
	}
}

// recordDecisionLog records a log line of the decision module if it is about a node: "node NAME TEXT".
func (r *recording) recordDecisionLog(line string) {
	if r == nil {
		return
	}
	if rest, ok := strings.CutPrefix(line, "node "); ok {
		node, text, _ := strings.Cut(rest, " ")
		r.recorder.Note(record.KindNode, node, text, 0)
	}
}

// recordNodeChanges records how nodes that are about to be published differ from those in the endpoint table. revision
// is the revision of the endpoint list.
func (r *recording) recordNodeChanges(endpoints *core.EndpointTable, nodes []core.Node, full bool, revision int64) {
	if r == nil {
		return
	}
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.ID] = true
		old, known := endpoints.Get(n.ID)
		if text := nodeChangeText(old, known, n); text != "" {
			r.recorder.Note(record.KindEndpointList, n.ID, text, revision)
		}
	}
	if !full {
		return
	}
	for _, n := range endpoints.All() {
		if !listed[n.ID] {
			r.recorder.Note(record.KindEndpointList, n.ID, recordedState(decision.Removed), revision)
		}
	}
}

// nodeChangeText returns the recorded text for a change of one node, empty if nothing has changed.
func nodeChangeText(old core.Node, known bool, n core.Node) string {
	startedAt := strconv.FormatInt(int64(n.StartedAt), 10)
	switch {
	case !known && n.State == decision.Removed:
		return ""
	case !known:
		return "known " + recordedState(n.State) + " " + startedAt
	case old.State != n.State:
		return recordedState(n.State)
	case old.StartedAt != n.StartedAt:
		return "started " + startedAt
	case old.Addr != n.Addr:
		return "moved " + n.Addr
	}
	return ""
}

// recordedState returns the name of a state in the records.
func recordedState(s decision.EndpointState) string {
	switch s {
	case decision.Draining:
		return "draining"
	case decision.Removed:
		return "gone"
	}
	return "up"
}

// observeDiscovery records the revision of the endpoint list in heartbeats, and when discovery stops or resumes
// answering.
func (r *recording) observeDiscovery(d *discovery.Client) {
	if r == nil {
		return
	}
	r.discovery.Store(d)
	d.OnResult(func(err error) {
		wasDown := r.discoveryDown.Swap(err != nil)
		switch {
		case err != nil && !wasDown:
			r.note(record.KindDiscovery, "down: "+err.Error())
		case err == nil && wasDown:
			r.note(record.KindDiscovery, "answers")
		}
	})
}

// observeControl records the changes made through the control endpoint and lets it serve the records in memory.
func (r *recording) observeControl(s *control.Server) {
	if r == nil {
		return
	}
	s.OnChange(func(c *control.Change, o *control.Outcome) {
		r.recorder.Note(record.KindControl, strconv.FormatUint(c.FleetRevision, 10), string(o.Code), int64(c.Revision))
	})
	if r.ring != nil {
		s.HandleRecords(r.ring.Segment)
	}
}
