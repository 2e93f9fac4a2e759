package server

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"poppyarch/internal/nodes/filewatch"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/nodes/nodefile"
	"poppyarch/internal/timing/clock"
)

// maxLoggedFaults bounds the log lines about invalid rows each time the lists are read.
const maxLoggedFaults = 20

// nodeLists watches the node lists in files and merges them into the nodes of a liveState. After readAtStart it belongs
// to the goroutine of run. Files are read without holding the liveState's mutex, so that an update from discovery never
// waits for a file.
type nodeLists struct {
	paths     []string
	state     *liveState
	log       *slog.Logger
	readPaths []string                    // files and directories that were read last time
	valid     map[string]membership.Entry // last valid content of each row, by node ID
	csv       nodefile.Reader             // used if the only list is a CSV file
	reason    string                      // last logged reason why removals are held back; empty if none are
}

// listUpdate is the result of reading the lists once.
type listUpdate struct {
	changed  []membership.Member // nodes whose state has changed
	settled  bool                // the files did not change while they were read
	complete bool                // all files could be read
}

func newNodeLists(paths []string, state *liveState, log *slog.Logger) *nodeLists {
	return &nodeLists{paths: paths, state: state, log: log, valid: map[string]membership.Entry{}}
}

// readAtStart reads and merges all lists. It reports whether all files could be read.
func (l *nodeLists) readAtStart() (complete bool) {
	doc, _ := l.load(func() bool { return true })
	return l.merge(doc, true).complete
}

// run reads the files whenever they change, until ctx is done.
func (l *nodeLists) run(ctx context.Context) {
	w, err := filewatch.New(filewatch.DefaultConfig())
	if err != nil {
		l.log.Warn("nodes: no file change notifications from the system, the lists are polled", "err", err)
	}
	defer w.Close()
	w.Watch(l.readPaths)
	unsettled := true // read the files once more: they may have changed between readAtStart and Watch
	for {
		change, ok := w.Next(ctx, unsettled)
		if !ok {
			return
		}
		update := l.read(func() bool { return change.Settled && w.Unchanged() })
		unsettled = !update.settled
		w.Watch(l.readPaths)
		l.logUpdate(&update, time.Since(change.DetectedAt))
	}
}

// read reads and merges the lists. settled is called once the texts are in memory and reports whether the files have
// stayed the same meanwhile.
func (l *nodeLists) read(settled func() bool) listUpdate {
	if changed, ok := l.mergeChangedRows(settled); ok {
		return listUpdate{changed: changed, settled: true, complete: true}
	}
	doc, isSettled := l.load(settled)
	if !isSettled {
		l.csv = nodefile.Reader{} // what is merged now may differ from the text that it compares the next one with
	}
	return l.merge(doc, isSettled)
}

// logUpdate logs an update that has changed nodes or is incomplete.
func (l *nodeLists) logUpdate(u *listUpdate, delay time.Duration) {
	if len(u.changed) > 0 || !u.complete {
		l.log.Info("nodes: lists read", "rows", len(l.valid), "changed", len(u.changed), "settled", u.settled,
			"complete", u.complete, "delay", delay.Round(time.Millisecond))
	}
	for _, m := range u.changed {
		l.log.Debug("nodes: node changed", "node", m.ID, "state", m.State, "addr", m.Addr,
			"started", clock.Duration(m.StartedAt).String())
	}
}

// mergeChangedRows merges only the changed rows if the only list is a CSV file. It merges nothing and returns false for
// other lists, if the file is changing, or if rows have been added or removed or are invalid.
func (l *nodeLists) mergeChangedRows(settled func() bool) (changed []membership.Member, ok bool) {
	if len(l.paths) != 1 || !isCSV(l.paths[0]) {
		return nil, false
	}
	text, err := os.ReadFile(l.paths[0])
	if err != nil || !settled() {
		return nil, false
	}
	doc, rows, onlyRows := l.csv.Read(l.paths[0], string(text))
	if !onlyRows || len(l.valid) != len(doc.Rows) {
		return nil, false
	}
	entries := make([]membership.Entry, 0, len(rows))
	for i := range rows {
		e := l.entry(&rows[i])
		l.valid[e.ID] = e
		entries = append(entries, e)
	}
	return l.publish(func(members *membership.Set, version int64, now clock.Micros) []membership.Member {
		return members.Update(membership.Files, version, entries, nil, now)
	}), true
}

// merge merges all lists. A row with a fault keeps its last valid content. If it cannot be told which row a fault is in, a list
// cannot be read, or one was being written while it was read, no node is removed; with such a fault, no row's restriction ends.
func (l *nodeLists) merge(doc *nodefile.Doc, settled bool) listUpdate {
	next := make(map[string]membership.Entry, len(doc.Rows))
	for i := range doc.Rows {
		next[doc.Rows[i].ID] = l.entry(&doc.Rows[i])
	}
	l.logFaults(doc)
	unattributed := l.keepFaultyRows(next, doc.Faults)
	if unattributed {
		l.keepRestrictions(next)
	}
	if !doc.Complete || !settled || unattributed {
		for id := range l.valid {
			l.keepMissing(next, id)
		}
	}
	l.valid = next
	entries := make([]membership.Entry, 0, len(next))
	for _, e := range next {
		entries = append(entries, e)
	}
	changed := l.publish(func(members *membership.Set, version int64, now clock.Micros) []membership.Member {
		return members.Replace(membership.Files, version, entries, now)
	})
	return listUpdate{changed: changed, settled: settled, complete: doc.Complete}
}

// keepFaultyRows replaces the rows that have faults in next by their last valid content, if they have any. It reports whether
// there are faults that belong to no row, or to one that cannot be told.
func (l *nodeLists) keepFaultyRows(next map[string]membership.Entry, faults []nodefile.Fault) (unattributed bool) {
	for _, fault := range faults {
		if fault.IsWarning {
			continue
		}
		old, ok := l.valid[fault.Node]
		if ok {
			next[fault.Node] = old
		}
		unattributed = unattributed || fault.Node == ""
	}
	return unattributed
}

// keepRestrictions keeps the states of rows in next at least as strict as they were.
func (l *nodeLists) keepRestrictions(next map[string]membership.Entry) {
	for id, e := range next {
		if old := l.valid[id]; old.State > e.State {
			e.State = old.State
			next[id] = e
		}
	}
}

// keepMissing adds the last valid content of a node's row to next unless next has a row for this node.
func (l *nodeLists) keepMissing(next map[string]membership.Entry, id string) {
	if _, ok := next[id]; !ok {
		next[id] = l.valid[id]
	}
}

// logFaults logs the first maxLoggedFaults faults and the number of the others.
func (l *nodeLists) logFaults(doc *nodefile.Doc) {
	faults := doc.Faults
	for _, f := range faults[:min(len(faults), maxLoggedFaults)] {
		text := "nodes: invalid row, it keeps its last content, the other rows are used"
		switch {
		case f.IsWarning:
			text = "nodes: row used with a warning"
		case !doc.Complete:
			text = "nodes: invalid list, missing rows keep their last content, changes in it may not be in force"
		case f.Node == "":
			text = "nodes: fault in an unknown row: while it lasts no row counts as deleted and no restriction ends"
		}
		l.log.Warn(text, "at", f.Pos.String(), "key", f.Key, "what", f.Text)
	}
	if more := len(faults) - maxLoggedFaults; more > 0 {
		l.log.Warn("nodes: more invalid rows", "count", more)
	}
}

// publish calls merge to merge an update into the membership, publishes the nodes that changed and returns them. It is
// the only step that holds the liveState's mutex.
func (l *nodeLists) publish(merge func(*membership.Set, int64, clock.Micros) []membership.Member) []membership.Member {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	nodes := &l.state.nodes
	changed := merge(nodes.members, nodes.nextVersion(membership.Files), nodes.clock.Now())
	nodes.publishChanges(changed)
	if _, reason := nodes.members.HeldRemovals(membership.Files); reason != l.reason {
		l.reason = reason
		if reason != "" {
			l.log.Error("nodes: " + reason)
		}
	}
	return changed
}

// entry converts a row to an entry of the membership.
func (l *nodeLists) entry(r *nodefile.Row) membership.Entry {
	e := membership.Entry{
		ID:         r.ID,
		Addr:       r.Addr,
		ObjectAddr: r.Objects,
		Shard:      r.Shard,
		Zone:       l.state.nodes.zoneNumber(r.Zone),
		Kind:       r.Kind,
		Capacity:   r.Capacity,
		Origin:     r.Pos.String(),
	}
	switch r.State {
	case "draining":
		e.State = membership.Draining
	case "out":
		e.State = membership.OutOfService
	}
	if r.StateMissing {
		e.State = max(e.State, l.valid[r.ID].State) // a row that was cut off ends no restriction
	}
	return e
}

// load reads and parses all lists. If the files have changed meanwhile, which settled reports, the text after the last
// complete line of a CSV list may be a partial row and is ignored.
func (l *nodeLists) load(settled func() bool) (doc *nodefile.Doc, isSettled bool) {
	texts := newFileTexts(l.paths)
	doc = nodefile.LoadAll(l.paths, nodefile.FileSystem{Read: texts.read, List: texts.list})
	isSettled = settled()
	if !isSettled {
		doc = nodefile.LoadAll(l.paths, nodefile.FileSystem{Read: texts.readCompleteLines, List: texts.list})
	}
	l.readPaths = texts.paths
	return doc, isSettled
}

// fileTexts reads each file once and keeps its text, so that parsing it twice sees the same text.
type fileTexts struct {
	files map[string]fileText
	paths []string // files and directories read so far, preceded by the configured paths
}

type fileText struct {
	text []byte
	err  error
}

func newFileTexts(paths []string) *fileTexts {
	return &fileTexts{files: map[string]fileText{}, paths: append([]string(nil), paths...)}
}

func (t *fileTexts) read(path string) ([]byte, error) {
	f, ok := t.files[path]
	if !ok {
		t.paths = append(t.paths, path)
		f.text, f.err = os.ReadFile(path)
		t.files[path] = f
	}
	return f.text, f.err
}

// readCompleteLines is like read, but leaves out an incomplete last line of a CSV file.
func (t *fileTexts) readCompleteLines(path string) ([]byte, error) {
	text, err := t.read(path)
	if isCSV(path) {
		text = text[:strings.LastIndexByte(string(text), '\n')+1]
	}
	return text, err
}

func (t *fileTexts) list(dir string) ([]string, error) {
	t.paths = append(t.paths, dir)
	return filewatch.ListFiles(dir)
}

func isCSV(path string) bool { return strings.EqualFold(filepath.Ext(path), ".csv") }
