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

// Guards against nodes that get work again, because a row that restricts them has become faulty: whatever the fault is, the
// restriction stays until the row says otherwise.
func TestFaultyRowEndsNoRestriction(t *testing.T) {
	const (
		csvHeader = "id,addr,shard,state\ns-0,10.0.0.1:1,0,up\n"
		yamlHead  = "g:\n  hosts:\n    s-0: {addr: \"10.0.0.1:1\", shard: 0}\n"
	)
	type list struct {
		file, valid, freed string // with a draining node s-1, and with the same node up
		faulty             map[string]string
	}
	for _, x := range []list{{
		file:  "nodes.csv",
		valid: csvHeader + "s-1,10.0.0.2:1,1,draining\n",
		freed: csvHeader + "s-1,10.0.0.2:1,1,up\n",
		faulty: map[string]string{
			"too many cells":          csvHeader + "s-1,10.0.0.2:1,1,draining,\n",
			"too few cells":           csvHeader + "s-1,10.0.0.2:1,1\n",
			"open quote":              csvHeader + "s-1,\"10.0.0.2:1,1,draining\n",
			"open quote at the id":    csvHeader + "\"s-1,10.0.0.2:1,1,draining\n",
			"quote within the id":     csvHeader + "s\"-1,10.0.0.2:1,1,draining\n",
			"bad state":               csvHeader + "s-1,10.0.0.2:1,1,drainig\n",
			"bad address":             csvHeader + "s-1,nowhere,1,up\n",
			"bad id":                  csvHeader + "s 1,10.0.0.2:1,1,draining\n",
			"no id":                   csvHeader + ",10.0.0.2:1,1,draining\n",
			"id of another row":       csvHeader + "s-0,10.0.0.2:1,1,draining\n",
			"id twice, up first":      csvHeader + "s-1,10.0.0.2:1,1,up\ns-1,10.0.0.2:1,1,draining\n",
			"fault in an unknown row": csvHeader + "s-1,10.0.0.2:1,1,up\ns 2,10.0.0.3:1,2,up\n",
			"address of another row":  csvHeader + "s-1,10.0.0.1:1,1,draining\n",
			"surplus cell, unquoted":  csvHeader + "s-1,\"10.0.0.2:1\",1,draining,x\n",
			"header lost":             "s-0,10.0.0.1:1,0,up\ns-1,10.0.0.2:1,1,up\n",
			"cut off, not terminated": csvHeader + "\"s-1",
		},
	}, {
		file:  "nodes.yaml",
		valid: yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1, state: draining}\n",
		freed: yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1}\n",
		faulty: map[string]string{
			"missing quote":        yamlHead + "    s-1: {addr: \"10.0.0.2:1, shard: 1, state: draining}\n",
			"unknown key":          yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1, stat: draining}\n",
			"bad state":            yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1, state: drain}\n",
			"not a mapping":        yamlHead + "    s-1: draining\n",
			"list as state":        yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1, state: [draining]}\n",
			"bad range":            yamlHead + "    s-[1: {addr: \"10.0.0.2:1\", shard: 1, state: draining}\n",
			"unknown key of group": yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1}\n  var: {state: draining}\n",
			"bad key of vars":      yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1}\n  vars: {stat: draining}\n",
			"id twice":             yamlHead + "    s-1: {addr: \"10.0.0.2:1\", shard: 1}\n    s-1: {addr: \"10.0.0.2:1\", shard: 1, state: draining}\n",
			"bad indentation":      yamlHead + "   s-1: {addr: \"10.0.0.2:1\", shard: 1, state: draining}\n",
		},
	}} {
		for name, faulty := range x.faulty {
			t.Run(x.file+"/"+name, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), x.file)
				l := newTestLists(t, path)
				members := l.state.nodes.members
				members.Replace(membership.Discovery, 1, []membership.Entry{
					{ID: "s-0", Addr: "10.0.0.1:1"}, {ID: "s-1", Addr: "10.0.0.2:1", Shard: 1},
				}, l.state.nodes.clock.Now())
				l.replaceAndRead(t, path, x.valid)
				for range 2 { // read again, the fault still keeps the last valid content
					l.replaceAndRead(t, path, faulty)
					if m, ok := members.Get("s-1"); ok && m.State != membership.Draining {
						t.Fatalf("s-1 is %v", m.State)
					}
					if m, ok := members.Get("s-0"); !ok || m.State != membership.Up {
						t.Fatalf("s-0 is %v, in use %v", m.State, ok)
					}
				}
				l.replaceAndRead(t, path, x.freed)
				if m, ok := members.Get("s-1"); !ok || m.State != membership.Up {
					t.Fatalf("s-1 is %v, in use %v, although a valid row says up", m.State, ok)
				}
			})
		}
	}
}

// replaceAndRead writes a list and reads it as if it had been settled.
func (l *nodeLists) replaceAndRead(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path, text)
	l.read(func() bool { return true })
}

// Guards against a list that is read while it is being written and then returns to the text that was read before: the state in
// between must not stay.
func TestListThatReturnsToItsLastTextIsInForce(t *testing.T) {
	const list = "id,addr,shard,state\ns-0,10.0.0.1:1,0,up\ns-1,10.0.0.2:1,1,draining\n"
	path := filepath.Join(t.TempDir(), "nodes.csv")
	l := newTestLists(t, path)
	l.replaceAndRead(t, path, list)
	writeFile(t, path, strings.Replace(list, "draining", "up", 1))
	l.read(func() bool { return false })
	l.replaceAndRead(t, path, list)
	if m, ok := l.state.nodes.members.Get("s-1"); !ok || m.State != membership.Draining {
		t.Errorf("s-1 is %v, in use %v, want draining, as its row says", m.State, ok)
	}
}
