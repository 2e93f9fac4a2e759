package server

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/nodes/filewatch"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/nodes/nodefile"
	"poppyarch/internal/nodes/routing"
	"poppyarch/internal/timing/clock"
)

// begin takes in what is known at the start: the list that the broker last had, and the files.
func (l *live) begin(cfg *config.Config, known []core.Node) (*nodeFiles, error) {
	if l.all == nil {
		l.list(known, true)
		return nil, nil
	}
	l.mu.Lock()
	l.fromDiscovery(known, true)
	l.mu.Unlock()
	var files *nodeFiles
	if cfg.Nodes != nil {
		files = &nodeFiles{l: l, paths: cfg.Nodes.Files, log: l.log, good: map[string]membership.Entry{}}
		doc, _ := files.load(func() bool { return true })
		if _, whole := files.take(doc, true); !whole && cfg.Nodes.Mode == "limit" {
			l.log.Error("nodes: a list cannot be read, and only what a list has is used", "files", cfg.Nodes.Files)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all.EndInitialSync()
	if l.part != nil { // told by pieces so far: all of it at once
		l.part = routing.NewSubset(cfg.Name, cfg.Nodes.Subset)
	}
	l.pass(l.merged(l.all.Members()), true)
	return files, nil
}

// fromDiscovery hands discovery's word to the membership. The caller holds mu.
func (l *live) fromDiscovery(nodes []core.Node, full bool) []membership.Member {
	l.said[membership.Discovery]++
	v, now := l.said[membership.Discovery], l.time.Now()
	entries := make([]membership.Entry, 0, len(nodes))
	var gone []string
	for _, n := range nodes {
		if n.State == decision.Removed {
			gone = append(gone, n.ID)
			continue
		}
		e := membership.Entry{ID: n.ID, Addr: n.Addr, ObjectAddr: n.ObjectAddr, Shard: n.Shard, Zone: n.Zone, StartedAt: n.StartedAt}
		if n.State == decision.Draining {
			e.State = membership.Draining
		}
		entries = append(entries, e)
	}
	if full {
		return l.all.Replace(membership.Discovery, v, entries, now)
	}
	return l.all.Update(membership.Discovery, v, entries, gone, now)
}

// fromOperators hands the operators' word to it. The caller holds mu.
func (l *live) fromOperators(list []spec.NodeOverride) []membership.Member {
	l.said[membership.Operators]++
	entries := make([]membership.Entry, 0, len(list))
	for _, n := range list {
		e := membership.Entry{ID: n.ID, Addr: n.Addr, ObjectAddr: n.ObjectAddr, Shard: n.Shard, Zone: l.zoneOf(n.Zone), Origin: "fleet nodes"}
		switch n.State {
		case spec.NodeDraining:
			e.State = membership.Draining
		case spec.NodeRemoved:
			e.State = membership.OutOfService
		}
		entries = append(entries, e)
	}
	return l.all.Replace(membership.Operators, l.said[membership.Operators], entries, l.time.Now())
}

func (l *live) zoneOf(name string) int { return max(slices.Index(l.zone, name), 0) }

// merged turns the membership's changes into the core's form. With a subset, nodes outside it are not told, and a change of
// one node may bring others into it.
func (l *live) merged(list []membership.Member) []core.Node {
	out := make([]core.Node, 0, len(list))
	if l.part != nil {
		list = l.subset(list)
	}
	usual := 0.0
	if slices.ContainsFunc(list, func(m membership.Member) bool { return m.Capacity > 0 }) {
		usual = l.all.MedianCapacity()
	}
	for _, m := range list {
		n := core.Node{ID: m.ID, Addr: m.Addr, ObjectAddr: m.ObjectAddr, Shard: m.Shard, Zone: m.Zone, StartedAt: m.StartedAt}
		if usual > 0 { // what a kind can do counts against the others
			n.Capacity = m.Capacity / usual
		}
		switch m.State {
		case membership.Draining:
			n.State = decision.Draining
		case membership.OutOfService:
			n.State = decision.Removed
		}
		out = append(out, n)
	}
	return out
}

// subset is what the changes mean for the part of the fleet that this broker uses. Who drains or is out is told in any
// case, and makes place for another.
func (l *live) subset(list []membership.Member) (out []membership.Member) {
	var set []routing.Entry
	var gone []string
	listed := map[string]bool{}
	for _, m := range list {
		listed[m.ID] = true
		if m.State == membership.Up {
			set = append(set, routing.Entry{Node: routing.Node{ID: m.ID, Weight: m.Capacity}, Shard: m.Shard})
		} else {
			gone = append(gone, m.ID)
		}
	}
	begin, end := l.part.Change(set, gone)
	for _, m := range list {
		switch {
		case m.State != membership.Up || l.part.Uses(m.ID):
			out = append(out, m)
		case slices.Contains(end, m.ID):
			out = append(out, membership.Member{ID: m.ID, State: membership.OutOfService})
		}
	}
	for _, id := range begin {
		if m, ok := l.all.Get(id); ok && !listed[id] {
			out = append(out, m)
		}
	}
	for _, id := range end {
		if !listed[id] {
			out = append(out, membership.Member{ID: id, State: membership.OutOfService})
		}
	}
	return out
}

// ticks lets the membership's timers fire.
func (l *live) ticks(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l.mu.Lock()
		if changed := l.all.Tick(l.time.Now()); len(changed) > 0 {
			l.pass(l.merged(changed), false)
		}
		l.mu.Unlock()
	}
}

// explain tells where what is known of nodes comes from.
func (l *live) explain(id string) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != "" {
		return l.all.Explain(id)
	}
	held, why := l.all.HeldRemovals(membership.Files)
	out := struct {
		Epoch uint64                   `json:"epoch"`
		Held  []string                 `json:"held,omitempty"`
		Why   string                   `json:"why,omitempty"`
		Nodes []membership.Explanation `json:"nodes"`
	}{l.all.Epoch(), held, why, []membership.Explanation{}}
	for _, m := range l.all.Members() {
		out.Nodes = append(out.Nodes, l.all.Explain(m.ID))
	}
	return out
}

// accept believes what the guard holds back.
func (l *live) accept() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.all.AcceptRemovals(membership.Files, l.time.Now())
	if len(changed) > 0 {
		l.log.Info("nodes: omissions accepted by an operator", "changed", len(changed))
		l.pass(l.merged(changed), false)
	}
	return len(changed)
}

// nodeFiles keeps the lists in files in the membership.
type nodeFiles struct {
	l     *live
	paths []string
	log   *slog.Logger
	seen  []string // files and folders read last
	good  map[string]membership.Entry
	one   nodefile.Reader // of a single CSV list
	told  string          // the guard's reason that was logged last
}

// entry is a row in the membership's form.
func (f *nodeFiles) entry(r *nodefile.Row) membership.Entry {
	e := membership.Entry{ID: r.ID, Addr: r.Addr, ObjectAddr: r.Objects, Shard: r.Shard, Zone: f.l.zoneOf(r.Zone), Kind: r.Kind, Capacity: r.Capacity,
		Origin: r.Pos.String()}
	switch r.State {
	case "draining":
		e.State = membership.Draining
	case "out":
		e.State = membership.OutOfService
	}
	return e
}

// quick reads a single CSV list that stands still and of which some rows have changed, and nothing else. It reports false
// where that is not so; then nothing has been taken in.
func (f *nodeFiles) quick(settled func() bool) (changed []membership.Member, ok bool) {
	if len(f.paths) != 1 || !strings.EqualFold(filepath.Ext(f.paths[0]), ".csv") {
		return nil, false
	}
	b, err := os.ReadFile(f.paths[0])
	if err != nil || !settled() {
		return nil, false
	}
	d, rows, some := f.one.Read(f.paths[0], string(b))
	if !some || len(f.good) != len(d.Rows) {
		return nil, false
	}
	entries := make([]membership.Entry, 0, len(rows))
	for i := range rows {
		e := f.entry(&rows[i])
		f.good[e.ID] = e
		entries = append(entries, e)
	}
	return f.tell(func(version, now int64) []membership.Member {
		return f.l.all.Update(membership.Files, version, entries, nil, now)
	}), true
}

// tell hands the lists' word to the membership and what changes by it to the table and the module. Only this is done under the
// lock: a long list is not read while discovery waits.
func (f *nodeFiles) tell(say func(version, now int64) []membership.Member) []membership.Member {
	l := f.l
	l.mu.Lock()
	defer l.mu.Unlock()
	l.said[membership.Files]++
	changed := say(l.said[membership.Files], l.time.Now())
	if len(changed) > 0 && l.facade != nil {
		l.pass(l.merged(changed), false)
	}
	if _, why := l.all.HeldRemovals(membership.Files); why != f.told {
		f.told = why
		if why != "" {
			f.log.Error("nodes: " + why)
		}
	}
	return changed
}

// load reads all lists. settle is asked after the texts are in memory and before they are taken apart: whether they stood
// still meanwhile.
func (f *nodeFiles) load(settle func() bool) (doc *nodefile.Doc, settled bool) {
	texts := map[string][]byte{}
	errs := map[string]error{}
	f.seen = slices.Clone(f.paths)
	disk := nodefile.Files{
		Read: func(path string) ([]byte, error) {
			if err, ok := errs[path]; ok {
				return nil, err
			}
			b, ok := texts[path]
			if !ok {
				f.seen = append(f.seen, path)
				var err error
				if b, err = os.ReadFile(path); err != nil {
					errs[path] = err
					return nil, err
				}
				texts[path] = b
			}
			return b, nil
		},
		List: func(dir string) ([]string, error) {
			f.seen = append(f.seen, dir)
			return filewatch.Lists(dir)
		},
	}
	doc = nodefile.LoadAll(f.paths, disk)
	if settle() {
		return doc, true
	}
	// It was being written: what stands behind the last whole line may be half a row.
	return nodefile.LoadAll(f.paths, nodefile.Files{List: disk.List, Read: func(path string) ([]byte, error) {
		b, err := disk.Read(path)
		if strings.EqualFold(filepath.Ext(path), ".csv") {
			b = b[:strings.LastIndexByte(string(b), '\n')+1]
		}
		return b, err
	}}), false
}

// take hands the lists to the membership. A row that is faulty now keeps its last good content; a list that cannot be read at
// all, or was being written, takes nothing away. It reports whether all could be read.
func (f *nodeFiles) take(d *nodefile.Doc, settled bool) (changed []membership.Member, whole bool) {
	next := make(map[string]membership.Entry, len(d.Rows))
	for i := range d.Rows {
		next[d.Rows[i].ID] = f.entry(&d.Rows[i])
	}
	for n, x := range d.Faults {
		if n < 20 {
			f.log.Warn("nodes: "+map[bool]string{true: "doubtful row", false: "faulty row, the rest is used"}[x.Warn], "at", x.Pos.String(), "key", x.Key, "what", x.Text)
		}
		if old, ok := f.good[x.Node]; ok && x.Node != "" && !x.Warn {
			if _, there := next[x.Node]; !there {
				next[x.Node] = old
			}
		}
	}
	if n := len(d.Faults) - 20; n > 0 {
		f.log.Warn("nodes: more faulty rows", "count", n)
	}
	if !d.Whole || !settled {
		for id, old := range f.good {
			if _, ok := next[id]; !ok {
				next[id] = old
			}
		}
	}
	entries := make([]membership.Entry, 0, len(next))
	for _, e := range next {
		entries = append(entries, e)
	}
	f.good = next
	return f.tell(func(version, now int64) []membership.Member {
		return f.l.all.Replace(membership.Files, version, entries, now)
	}), d.Whole
}

// run follows the files until ctx is done.
func (f *nodeFiles) run(ctx context.Context) {
	w, err := filewatch.New(filewatch.DefaultTimes())
	if err != nil {
		f.log.Warn("nodes: no signs of changes from the system, the lists are looked at", "err", err)
	}
	defer w.Close()
	w.Watch(f.seen)
	// What has changed between the first reading and now is found by reading once more.
	unsettled := true
	for {
		c, ok := w.Next(ctx, unsettled)
		if !ok {
			return
		}
		still := func() bool { return c.Settled && w.Same() }
		changed, ok := f.quick(still)
		settled, whole := true, true
		if !ok {
			var doc *nodefile.Doc
			doc, settled = f.load(still)
			changed, whole = f.take(doc, settled)
		}
		unsettled = !settled
		w.Watch(f.seen)
		if len(changed) > 0 || !whole {
			f.log.Info("nodes: lists read", "rows", len(f.good), "changed", len(changed), "settled", settled, "whole", whole,
				"told", time.Since(c.Since).Round(time.Millisecond))
		}
		for _, m := range changed {
			f.log.Debug("nodes: node", "node", m.ID, "state", m.State, "addr", m.Addr, "started", fmt.Sprint(clock.Duration(m.StartedAt)))
		}
	}
}
