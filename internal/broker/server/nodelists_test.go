package server

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/timing/clock"
)

// newTestLists returns the node lists of a broker that is not running. Its membership never holds removals back.
func newTestLists(t *testing.T, paths ...string) *nodeLists {
	t.Helper()
	cfg := &config.Config{Nodes: &config.NodeFiles{Files: paths}, Policy: decision.Config{
		Classes: []decision.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second}},
	}}
	b := &broker{cfg: cfg, log: slog.New(slog.DiscardHandler), clock: clock.New(), endpoints: core.NewEndpointTable()}
	var err error
	if b.dispatcher, err = dispatcher.New(cfg.Policy, func(string) {}); err != nil {
		t.Fatal(err)
	}
	b.discovery = discovery.New("127.0.0.1:1", discovery.NoRevision, nil, b.endpoints, b.dispatcher, &cfg.Limits, b.log)
	state := newLiveState(b)
	state.nodes.members = membership.New(membership.Options{SlowStart: 1}, b.clock.Now())
	return newNodeLists(paths, state, b.log)
}

// readNodes reads and merges the lists and returns the number of known nodes.
func (l *nodeLists) readNodes(settled bool) int {
	doc, isSettled := l.load(func() bool { return settled })
	l.merge(doc, isSettled)
	return len(l.state.nodes.members.Members())
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// csvList returns a CSV list of n nodes.
func csvList(n int) string {
	var b strings.Builder
	b.WriteString("id,addr,shard\n")
	for k := range n {
		fmt.Fprintf(&b, "s-%d,10.0.0.%d:1,%d\n", k, k+1, k)
	}
	return b.String()
}

// A list that changes while it is read, ends within a row, is deleted or has an invalid row removes no node. A shorter
// list that is settled and valid does.
func TestUnsettledOrInvalidListRemovesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.csv")
	l := newTestLists(t, path)
	writeFile(t, path, csvList(5))
	if n := l.readNodes(true); n != 5 {
		t.Fatalf("%d nodes, want 5", n)
	}
	for name, x := range map[string]struct {
		text    string
		settled bool
	}{
		"replaced while it is read":    {csvList(3), false},
		"ends within a row, unsettled": {csvList(4) + "s-4,10.0.0.55", false},
		"empty":                        {"", true},
		"half a header":                {"id,ad", true},
		"one invalid row":              {strings.Replace(csvList(5), "10.0.0.3:1", "nowhere", 1), true},
	} {
		writeFile(t, path, x.text)
		if n := l.readNodes(x.settled); n != 5 {
			t.Errorf("%s: %d nodes, want 5", name, n)
		}
		if m, ok := l.state.nodes.members.Get("s-4"); !ok || m.Addr != "10.0.0.5:1" {
			t.Errorf("%s: s-4 has address %q, want 10.0.0.5:1", name, m.Addr)
		}
		writeFile(t, path, csvList(5))
		l.readNodes(true)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if n := l.readNodes(true); n != 5 {
		t.Errorf("deleted: %d nodes, want 5", n)
	}
	writeFile(t, path, csvList(3))
	if n := l.readNodes(true); n != 3 {
		t.Errorf("shorter settled list: %d nodes, want 3", n)
	}
}

// If rows of two lists conflict in an ID, a shard or an address, the row of the first list is used.
func TestFirstOfConflictingRowsIsUsed(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.csv"), filepath.Join(dir, "b.yaml")
	writeFile(t, first, csvList(3))
	writeFile(t, second, "g: {hosts: {s-1: {addr: \"10.9.0.1:1\", shard: 7}, S-2: {addr: \"10.9.0.2:1\", shard: 8}, x: {addr: \"10.0.0.1:1\", shard: 9}, y: {addr: \"10.9.0.3:1\", shard: 10}}}\n")
	l := newTestLists(t, first, second)
	if complete := l.readAtStart(); !complete {
		t.Error("the lists were not read completely")
	}
	var got []string
	for _, m := range l.state.nodes.members.Members() {
		got = append(got, m.ID+" "+m.Addr)
	}
	if want := "s-0 10.0.0.1:1 s-1 10.0.0.2:1 s-2 10.0.0.3:1 y 10.9.0.3:1"; strings.Join(got, " ") != want {
		t.Errorf("got %v, want %s", got, want)
	}
}
