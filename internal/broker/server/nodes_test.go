package server

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/timing/clock"
)

// files is a broker's lists without the broker.
func files(t *testing.T, paths ...string) *nodeFiles {
	t.Helper()
	c := clock.New()
	return &nodeFiles{l: &live{all: membership.New(membership.Options{SlowStart: 1}, c.Now()), time: c, table: core.NewEndpointTable()}, paths: paths,
		log: slog.New(slog.DiscardHandler), good: map[string]membership.Entry{}}
}

func listOf(n int) string {
	var b strings.Builder
	b.WriteString("id,addr,shard\n")
	for k := range n {
		fmt.Fprintf(&b, "s-%d,10.0.0.%d:1,%d\n", k, k+1, k)
	}
	return b.String()
}

// A list that changes while it is read, that ends within a row, that is gone, or whose row is faulty takes nothing away; one
// that stands still does. The guard is off here: it is these checks alone that hold.
func TestHalfReadListsTakeNothingAway(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.csv")
	put := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f := files(t, path)
	read := func(settled bool) int {
		t.Helper()
		docs, still := f.load(func() bool { return settled })
		f.take(docs, still)
		return len(f.l.all.Members())
	}
	put(listOf(5))
	if n := read(true); n != 5 {
		t.Fatalf("%d nodes", n)
	}
	for name, x := range map[string]struct {
		text    string
		settled bool
	}{
		"replaced while it is read":     {listOf(3), false},
		"ends within a row, unsettled":  {listOf(4) + "s-4,10.0.0.55", false},
		"empty":                         {"", true},
		"half a header":                 {"id,ad", true},
		"a faulty row, all else stands": {strings.Replace(listOf(5), "10.0.0.3:1", "nowhere", 1), true},
	} {
		put(x.text)
		if n := read(x.settled); n != 5 {
			t.Errorf("%s: %d nodes", name, n)
		}
		if m, ok := f.l.all.Get("s-4"); !ok || m.Addr != "10.0.0.5:1" {
			t.Errorf("%s: s-4 is at %s", name, m.Addr)
		}
		put(listOf(5))
		read(true)
	}
	os.Remove(path)
	if n := read(true); n != 5 {
		t.Errorf("gone: %d nodes", n)
	}
	put(listOf(3))
	if n := read(true); n != 3 {
		t.Errorf("settled: %d nodes", n)
	}
}

// Two lists that contradict each other: the first claim counts, whatever it is on.
func TestTwoLists(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.csv"), filepath.Join(dir, "b.yaml")
	os.WriteFile(a, []byte(listOf(3)), 0o600)
	os.WriteFile(b, []byte("g: {hosts: {s-1: {addr: \"10.9.0.1:1\", shard: 7}, S-2: {addr: \"10.9.0.2:1\", shard: 8}, x: {addr: \"10.0.0.1:1\", shard: 9}, y: {addr: \"10.9.0.3:1\", shard: 10}}}\n"), 0o600)
	f := files(t, a, b)
	docs, _ := f.load(func() bool { return true })
	f.take(docs, true)
	var got []string
	for _, m := range f.l.all.Members() {
		got = append(got, m.ID+" "+m.Addr)
	}
	if want := "s-0 10.0.0.1:1 s-1 10.0.0.2:1 s-2 10.0.0.3:1 y 10.9.0.3:1"; strings.Join(got, " ") != want {
		t.Errorf("%v", got)
	}
}
