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

// recording joins a broker with its recorder. A nil one records nothing.
type recording struct {
	r     *record.Recorder
	ring  *record.Ring
	cfg   *config.Config
	id    string
	down  atomic.Bool // discovery's last call failed
	watch atomic.Pointer[discovery.Client]
}

// newRecording starts a recorder as the configuration says, or returns nil.
func newRecording(cfg *config.Config, c *clock.Clock, g *core.ConcurrencyLimiter, table *core.EndpointTable, log *slog.Logger) (*recording, error) {
	if cfg.Record == nil {
		return nil, nil
	}
	o := cfg.Record
	x := &recording{cfg: cfg, id: newBoot()}
	boot := record.Boot{Name: cfg.Name, ID: x.id}
	for _, k := range cfg.Policy.Classes {
		boot.Classes = append(boot.Classes, record.Class{Name: k.Name, Aim: k.LatencyObjective.Microseconds(), Due: k.Deadline.Microseconds(), Worth: k.PriorityWeight})
	}
	for _, p := range cfg.Policy.Plans {
		boot.Plans = append(boot.Plans, record.Plan{Name: p.Name, Price: p.PriceFactor})
	}
	var sink record.Sink
	if o.Dir == "" {
		x.ring = record.NewRing(cfg.Name, x.id, int(o.TotalBytes))
		sink = x.ring
	} else {
		d, err := record.NewDir(o.Dir, cfg.Name, x.id, o.SegmentBytes, o.TotalBytes)
		if err != nil {
			return nil, fmt.Errorf("record.dir: %w", err)
		}
		sink = d
	}
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	level := func(b *record.Beat) {
		metrics.Read(heap)
		b.Open, b.Heap, b.Threads, b.Nodes = g.InFlight(), heap[0].Value.Uint64(), int64(runtime.NumGoroutine()), int64(table.Len())
		if w := x.watch.Load(); w != nil {
			b.List = w.Revision()
		}
	}
	x.r = record.New(record.Options{Sample: o.SampleFraction, Flush: time.Duration(o.FlushIntervalMS) * time.Millisecond,
		Beat: time.Duration(o.HeartbeatMS) * time.Millisecond}, boot, c.Now, level, sink)
	go x.r.Run()
	log.Info("record: on", "dir", o.Dir, "sample", o.SampleFraction, "boot", x.id)
	return x, nil
}

// close writes what is left.
func (x *recording) close() {
	if x == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	x.r.Close(ctx)
}

func (x *recording) recorder() *record.Recorder {
	if x == nil {
		return nil
	}
	return x.r
}

func (x *recording) note(k record.Kind, subject, text string, value int64) {
	if x != nil {
		x.r.Note(k, subject, text, value)
	}
}

// module records what the module believes of a node. Its words are "node N ...".
func (x *recording) module(text string) {
	if x == nil {
		return
	}
	if rest, ok := strings.CutPrefix(text, "node "); ok {
		node, what, _ := strings.Cut(rest, " ")
		x.r.Note(record.KindNode, node, what, 0)
	}
}

// list records the entries of a list that differ from what is known.
func (x *recording) list(table *core.EndpointTable, nodes []core.Node, full bool, rev int64) {
	if x == nil {
		return
	}
	listed := map[string]bool{}
	for _, n := range nodes {
		listed[n.ID] = true
		old, known := table.Get(n.ID)
		switch {
		case !known && n.State == decision.Removed:
		case !known:
			x.r.Note(record.KindList, n.ID, "known "+stateName(n.State)+" "+strconv.FormatInt(n.StartedAt, 10), rev)
		case old.State != n.State:
			x.r.Note(record.KindList, n.ID, stateName(n.State), rev)
		case old.StartedAt != n.StartedAt:
			x.r.Note(record.KindList, n.ID, "started "+strconv.FormatInt(n.StartedAt, 10), rev)
		case old.Addr != n.Addr:
			x.r.Note(record.KindList, n.ID, "moved "+n.Addr, rev)
		}
	}
	if full {
		for _, n := range table.All() {
			if !listed[n.ID] {
				x.r.Note(record.KindList, n.ID, "gone", rev)
			}
		}
	}
}

func stateName(s decision.EndpointState) string {
	return map[decision.EndpointState]string{decision.Ready: "up", decision.Draining: "draining", decision.Removed: "gone"}[s]
}

// discovery records its versions, and when it is out of reach.
func (x *recording) discovery(w *discovery.Client) {
	if x == nil {
		return
	}
	x.watch.Store(w)
	w.OnResult(func(err error) {
		if err != nil {
			if !x.down.Swap(true) {
				x.r.Note(record.KindDiscovery, "", "down: "+err.Error(), 0)
			}
			return
		}
		if x.down.Swap(false) {
			x.r.Note(record.KindDiscovery, "", "answers", 0)
		}
	})
}

// control records changes of the fleet's, and gives the ring out.
func (x *recording) control(s *control.Server) {
	if x == nil {
		return
	}
	s.OnChange(func(c *control.Change, o *control.Outcome) {
		x.r.Note(record.KindControl, strconv.FormatUint(c.FleetRevision, 10), string(o.Code), int64(c.Revision))
	})
	if x.ring != nil {
		s.HandleRecords(x.ring.Segment)
	}
}

// figures are the last second's, for the fleet's view.
func (x *recording) figures() *control.Stats {
	if x == nil {
		return nil
	}
	s := x.r.Latest()
	if s == nil {
		return nil
	}
	out := &control.Stats{Span: s.Span, Requests: []control.RequestStats{}, Nodes: []control.NodeStats{}, Dropped: x.r.Dropped()}
	for i := range s.Groups {
		g := &s.Groups[i]
		if int(g.Class) >= len(x.cfg.Policy.Classes) || int(g.Plan) >= len(x.cfg.Policy.Plans) {
			continue
		}
		q := record.Of(&g.Latency)
		out.Requests = append(out.Requests, control.RequestStats{Class: x.cfg.Policy.Classes[g.Class].Name, Plan: x.cfg.Policy.Plans[g.Plan].Name,
			Served: g.Count[record.Served], Late: g.Late, Rejected: g.Count[record.Refused], Failed: g.Count[record.Failed] + g.Count[record.Overdue],
			P50: q.P50, P99: q.P99})
	}
	for _, v := range s.Volumes {
		out.Volumes = append(out.Volumes, control.VolumeStats{Volume: v.Volume, Count: v.Count, CountError: v.Error, Rejected: v.Refused,
			Failed: v.Failed, Late: v.Late})
	}
	for i := range s.Nodes {
		n := &s.Nodes[i]
		q := record.Of(&n.Latency)
		f := control.NodeStats{Node: n.Node, Served: n.Outcomes[core.Served], TimedOut: n.Outcomes[core.TimedOut], P50: q.P50, P99: q.P99}
		for k, c := range n.Outcomes {
			if core.Outcome(k) != core.Served && core.Outcome(k) != core.TimedOut {
				f.Other += c
			}
		}
		out.Nodes = append(out.Nodes, f)
	}
	return out
}
