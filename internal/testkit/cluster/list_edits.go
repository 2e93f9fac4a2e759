package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/nodes/discovery"
)

// Edit is one way to change the node list under running brokers, and its effect.
type Edit struct {
	Name string
	Took time.Duration // from the end of the writing to the last new work that reached the node
	Work int           // requests that reached it after the writing
}

// listFile is the list that the brokers read, in the cluster's folder.
const listFile = "nodes.csv"

// Pauses between the steps of an edit.
const (
	slowWriteChunk   = 40 // bytes
	slowWritePause   = 15 * time.Millisecond
	busyPoll         = 5 * time.Millisecond
	removalPause     = 300 * time.Millisecond
	faultyListPause  = 400 * time.Millisecond
	rapidEdits       = 50
	rapidEditPause   = 20 * time.Millisecond
	busyRequestCount = 3
)

// arrivals records when requests reach each node.
type arrivals struct {
	mu    sync.Mutex
	times [][]time.Time // by node
}

func (a *arrivals) add(node int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[node] = append(a.times[node], time.Now())
}

// after counts a node's requests after a time, and returns the last one's.
func (a *arrivals) after(node int, t time.Time) (count int, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.times[node] {
		if at.After(t) {
			count++
			last = at
		}
	}
	return count, last
}

// listEditor changes the node list and watches which nodes requests reach.
type listEditor struct {
	cluster  *Stack
	path     string // of the list
	arrivals *arrivals
	settle   time.Duration // without requests for so long, a node is quiet
	patience time.Duration // bounds every wait
	edits    []Edit
}

// Edits changes the node list in every way that brokers have to cope with, under load, and measures when new work stopped
// reaching the node that was taken away. settle is how long it waits for stragglers; patience bounds every wait.
func (s *Stack) Edits(ctx context.Context, settle, patience time.Duration) ([]Edit, error) {
	e := &listEditor{
		cluster:  s,
		path:     filepath.Join(s.opt.Dir, listFile),
		arrivals: &arrivals{times: make([][]time.Time, len(s.Stores))},
		settle:   settle,
		patience: patience,
	}
	e.observeNodes()
	for _, step := range []func(context.Context) error{
		e.takeNodesAway, e.removeWhileDraining, e.removeAndAddBack, e.writeFaultyLists, e.editRapidly, e.overrideDiscovery,
	} {
		if err := step(ctx); err != nil {
			return e.edits, err
		}
	}
	return e.edits, nil
}

// observeNodes records the requests that reach each node.
func (e *listEditor) observeNodes() {
	for node := range e.cluster.Stores {
		e.cluster.Stores[node].SetHook(func(redcon.Conn, redcon.Command) bool {
			e.arrivals.add(node)
			return false
		})
		e.cluster.Object[node].SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) {
			e.arrivals.add(node)
			next()
		})
	}
}

// takeNodesAway removes, drains or moves a node in each way in which a list can be written.
func (e *listEditor) takeNodesAway(ctx context.Context) error {
	for _, step := range []struct {
		name  string
		node  int
		write func() error
	}{
		{"row removed, by rename", 1, func() error { return e.replace(e.without(1)) }},
		{"row removed, written in place", 2, func() error { return e.writeInPlace(e.without(2)) }},
		{"row removed, cut off and written slowly", 3, func() error { return e.writeSlowly(e.without(3)) }},
		{"state draining, in place", 1, func() error { return e.writeInPlace(e.with(1, ",up", ",draining")) }},
		{"state out, by rename", 2, func() error { return e.replace(e.with(2, ",up", ",out")) }},
		{"moved to another address, which nobody serves", 3, func() error {
			return e.replace(e.with(3, e.cluster.addrs[3]+","+e.cluster.objects[3], "127.0.0.1:1,127.0.0.1:1"))
		}},
	} {
		if err := e.measure(ctx, step.name, step.node, step.write); err != nil {
			return err
		}
		if err := e.restore(); err != nil {
			return err
		}
	}
	return nil
}

// removeWhileDraining removes a node that drains: nothing may reach it in between.
func (e *listEditor) removeWhileDraining(ctx context.Context) error {
	drain := func() error { return e.replace(e.with(1, ",up", ",draining")) }
	if err := e.measure(ctx, "draining, then removed while it drains", 1, drain); err != nil {
		return err
	}
	removed := time.Now()
	if err := e.replace(e.without(1)); err != nil {
		return err
	}
	time.Sleep(e.settle)
	if count, _ := e.arrivals.after(1, removed); count > 0 {
		return fmt.Errorf("%d pieces of work reached a node that was removed while it drained", count)
	}
	return e.restore()
}

// removeAndAddBack removes a node and adds it back within a second: it has to be used again.
func (e *listEditor) removeAndAddBack(ctx context.Context) error {
	if err := e.awaitWork(ctx, 1); err != nil {
		return err
	}
	for range 2 {
		if err := e.replace(e.without(1)); err != nil {
			return err
		}
		time.Sleep(removalPause)
		if err := e.restore(); err != nil {
			return err
		}
	}
	if err := e.awaitWork(ctx, 1); err != nil {
		return fmt.Errorf("removed and back: %w", err)
	}
	return nil
}

// writeFaultyLists writes lists that must not take any node away.
func (e *listEditor) writeFaultyLists(ctx context.Context) error {
	for _, write := range []func() error{
		func() error { return e.replace(e.with(2, e.cluster.addrs[2], "nowhere")) },
		func() error { return e.writeInPlace("id,addr\n\"s-0") },
		func() error { return os.Remove(e.path) },
		func() error { return e.replace("id,addr,objects,shard,state\n") }, // all rows deleted: held back
	} {
		if err := write(); err != nil {
			return err
		}
		time.Sleep(faultyListPause)
		for node := range e.cluster.Stores {
			if err := e.awaitWork(ctx, node); err != nil {
				return fmt.Errorf("after a bad list: %w", err)
			}
		}
	}
	return e.restore()
}

// editRapidly writes fifty lists within a second, of which the last one counts.
func (e *listEditor) editRapidly(ctx context.Context) error {
	write := func() error {
		for i := range rapidEdits {
			list := e.cluster.List(nil)
			if i%2 == 0 {
				list = e.with(0, ",up", ",up ")
			}
			if i == rapidEdits-1 {
				list = e.without(3)
			}
			if err := e.writeInPlace(list); err != nil {
				return err
			}
			time.Sleep(rapidEditPause)
		}
		return nil
	}
	if err := e.measure(ctx, "the last of fifty edits in a second", 3, write); err != nil {
		return err
	}
	return e.restore()
}

// overrideDiscovery takes a node out that discovery has up: the stricter source wins.
func (e *listEditor) overrideDiscovery(ctx context.Context) error {
	s := e.cluster
	s.Disc.Set(discovery.Endpoint{ID: "s-2", Addr: s.addrs[2], ObjectAddr: s.objects[2], Zone: "room", Shard: 2, State: "up", Capacity: 1})
	takeOut := func() error { return e.replace(e.with(2, ",up", ",out")) }
	if err := e.measure(ctx, "out, though discovery has it up", 2, takeOut); err != nil {
		return err
	}
	s.Disc.Set(discovery.Endpoint{ID: "s-2", State: "removed"})
	return e.restore()
}

// measure waits until work reaches a node, changes the list, and records when the last new work reached the node.
func (e *listEditor) measure(ctx context.Context, name string, node int, write func() error) error {
	if err := e.awaitWork(ctx, node); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := write(); err != nil {
		return err
	}
	written := time.Now()
	for deadline := written.Add(e.patience); ; {
		time.Sleep(e.settle)
		count, last := e.arrivals.after(node, written)
		if count == 0 {
			e.edits = append(e.edits, Edit{Name: name})
			return nil
		}
		if time.Since(last) >= e.settle {
			e.edits = append(e.edits, Edit{Name: name, Work: count, Took: last.Sub(written)})
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: work goes on reaching s-%d", name, node)
		}
	}
}

// awaitWork waits until new work reaches a node.
func (e *listEditor) awaitWork(ctx context.Context, node int) error {
	start := time.Now()
	for deadline := start.Add(e.patience); ; time.Sleep(busyPoll) {
		if count, _ := e.arrivals.after(node, start); count > busyRequestCount {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("no work reaches node s-%d", node)
		}
	}
}

// restore writes the list with all nodes up.
func (e *listEditor) restore() error { return e.replace(e.cluster.List(nil)) }

// replace replaces the list atomically.
func (e *listEditor) replace(list string) error { return e.cluster.write(listFile, list) }

func (e *listEditor) writeInPlace(list string) error {
	return os.WriteFile(e.path, []byte(list), 0o600)
}

// writeSlowly truncates the list and writes it in pieces.
func (e *listEditor) writeSlowly(list string) (err error) {
	file, err := os.OpenFile(e.path, os.O_WRONLY|os.O_TRUNC, 0)
	if err != nil {
		return err
	}
	for len(list) > 0 && err == nil {
		n := min(len(list), slowWriteChunk)
		_, err = file.WriteString(list[:n])
		list = list[n:]
		time.Sleep(slowWritePause)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// without is the list without a node.
func (e *listEditor) without(node int) string {
	return e.cluster.List(func(k int, row string) string {
		if k == node {
			return ""
		}
		return row
	})
}

// with is the list with a text in a node's row replaced.
func (e *listEditor) with(node int, from, to string) string {
	return e.cluster.List(func(k int, row string) string {
		if k == node {
			return strings.Replace(row, from, to, 1)
		}
		return row
	})
}
