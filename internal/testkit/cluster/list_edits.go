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

// EditResult is the measured effect of an edit of the node list on a node.
type EditResult struct {
	Name             string
	LastRequestAfter time.Duration // time from the end of the write to the last request that reached the node
	RequestsAfter    int           // requests that reached the node after the write
}

// listFile is the name of the node list in the installation's folder.
const listFile = "nodes.csv"

// Parameters of the edits.
const (
	slowWriteChunk  = 40 // bytes
	slowWritePause  = 15 * time.Millisecond
	requestPoll     = 5 * time.Millisecond
	removalPause    = 300 * time.Millisecond
	faultyListPause = 400 * time.Millisecond
	rapidEdits      = 50
	rapidEditPause  = 20 * time.Millisecond
	awaitedRequests = 3 // a node is in use if it receives more requests than this
)

// arrivals records when requests reach each node.
type arrivals struct {
	mu    sync.Mutex
	times [][]time.Time // by node
}

func (a *arrivals) record(node int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[node] = append(a.times[node], time.Now())
}

// countAfter returns the number of requests that reached a node after t, and the time of the last one.
func (a *arrivals) countAfter(node int, t time.Time) (count int, last time.Time) {
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

// listEditor edits the node list and observes which nodes receive requests.
type listEditor struct {
	cluster     *Cluster
	path        string // path of the node list
	arrivals    *arrivals
	quietPeriod time.Duration // a node without requests for this long is regarded as unused
	timeout     time.Duration // for each wait
	results     []EditResult
}

// MeasureListEdits edits the node list of a fleet under load in every way that brokers have to handle, and measures
// when requests stop reaching the node that was removed, drained or moved. A node without requests for quietPeriod is
// regarded as unused. timeout bounds each wait. MeasureListEdits returns an error if requests keep reaching such a
// node, or stop reaching another one.
func (s *Cluster) MeasureListEdits(ctx context.Context, quietPeriod, timeout time.Duration) ([]EditResult, error) {
	e := &listEditor{
		cluster:     s,
		path:        filepath.Join(s.options.Dir, listFile),
		arrivals:    &arrivals{times: make([][]time.Time, len(s.BlockServers))},
		quietPeriod: quietPeriod,
		timeout:     timeout,
	}
	e.observeNodes()
	for _, step := range []func(context.Context) error{
		e.removeDrainAndMove, e.removeWhileDraining, e.removeAndAddBack, e.writeFaultyLists, e.editRapidly, e.overrideDiscovery,
	} {
		if err := step(ctx); err != nil {
			return e.results, err
		}
	}
	return e.results, nil
}

// observeNodes records the requests that reach each node.
func (e *listEditor) observeNodes() {
	for node := range e.cluster.BlockServers {
		e.cluster.BlockServers[node].SetHook(func(redcon.Conn, redcon.Command) bool {
			e.arrivals.record(node)
			return false
		})
		e.cluster.ObjectServers[node].SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) {
			e.arrivals.record(node)
			next()
		})
	}
}

// removeDrainAndMove removes, drains or moves a node, with each way of writing a file.
func (e *listEditor) removeDrainAndMove(ctx context.Context) error {
	for _, step := range []struct {
		name  string
		node  int
		write func() error
	}{
		{"row removed, by rename", 1, func() error { return e.replaceFile(e.listWithout(1)) }},
		{"row removed, written in place", 2, func() error { return e.writeInPlace(e.listWithout(2)) }},
		{"row removed, cut off and written slowly", 3, func() error { return e.writeSlowly(e.listWithout(3)) }},
		{"state draining, in place", 1, func() error { return e.writeInPlace(e.listWith(1, ",up", ",draining")) }},
		{"state out, by rename", 2, func() error { return e.replaceFile(e.listWith(2, ",up", ",out")) }},
		{"moved to another address, which nobody serves", 3, func() error {
			return e.replaceFile(e.listWith(3, e.cluster.blockServerAddrs[3]+","+e.cluster.objectServerAddrs[3], "127.0.0.1:1,127.0.0.1:1"))
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

// removeWhileDraining drains a node and then removes it. No request may reach the node after the removal.
func (e *listEditor) removeWhileDraining(ctx context.Context) error {
	drain := func() error { return e.replaceFile(e.listWith(1, ",up", ",draining")) }
	if err := e.measure(ctx, "draining, then removed while it drains", 1, drain); err != nil {
		return err
	}
	removed := time.Now()
	if err := e.replaceFile(e.listWithout(1)); err != nil {
		return err
	}
	time.Sleep(e.quietPeriod)
	if count, _ := e.arrivals.countAfter(1, removed); count > 0 {
		return fmt.Errorf("%d requests reached node s-1, which was removed while it drained", count)
	}
	return e.restore()
}

// removeAndAddBack removes a node and adds it back within a second, twice. Brokers must use the node again.
func (e *listEditor) removeAndAddBack(ctx context.Context) error {
	if err := e.awaitRequests(ctx, 1); err != nil {
		return err
	}
	for range 2 {
		if err := e.replaceFile(e.listWithout(1)); err != nil {
			return err
		}
		time.Sleep(removalPause)
		if err := e.restore(); err != nil {
			return err
		}
	}
	if err := e.awaitRequests(ctx, 1); err != nil {
		return fmt.Errorf("node removed and added back: %w", err)
	}
	return nil
}

// writeFaultyLists writes faulty lists and removes the file. Brokers must keep using all nodes.
func (e *listEditor) writeFaultyLists(ctx context.Context) error {
	for _, write := range []func() error{
		func() error { return e.replaceFile(e.listWith(2, e.cluster.blockServerAddrs[2], "nowhere")) },
		func() error { return e.writeInPlace("id,addr\n\"s-0") },
		func() error { return os.Remove(e.path) },
		func() error { return e.replaceFile("id,addr,objects,shard,state\n") }, // the removal of all rows is held back
	} {
		if err := write(); err != nil {
			return err
		}
		time.Sleep(faultyListPause)
		for node := range e.cluster.BlockServers {
			if err := e.awaitRequests(ctx, node); err != nil {
				return fmt.Errorf("after a faulty list: %w", err)
			}
		}
	}
	return e.restore()
}

// editRapidly writes fifty lists within a second. Brokers must end with the last one.
func (e *listEditor) editRapidly(ctx context.Context) error {
	write := func() error {
		for i := range rapidEdits {
			list := e.cluster.NodeList(nil)
			if i%2 == 0 {
				list = e.listWith(0, ",up", ",up ")
			}
			if i == rapidEdits-1 {
				list = e.listWithout(3)
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

// overrideDiscovery lists a node as out that discovery reports as up. The stricter source must win.
func (e *listEditor) overrideDiscovery(ctx context.Context) error {
	s := e.cluster
	s.Discovery.SetEndpoints(discovery.Endpoint{ID: "s-2", Addr: s.blockServerAddrs[2], ObjectAddr: s.objectServerAddrs[2], Zone: "room", Shard: 2,
		State: "up", Capacity: 1})
	takeOut := func() error { return e.replaceFile(e.listWith(2, ",up", ",out")) }
	if err := e.measure(ctx, "out, though discovery has it up", 2, takeOut); err != nil {
		return err
	}
	s.Discovery.SetEndpoints(discovery.Endpoint{ID: "s-2", State: "removed"})
	return e.restore()
}

// measure waits until requests reach a node, calls write, and records when the last request reached the node.
func (e *listEditor) measure(ctx context.Context, name string, node int, write func() error) error {
	if err := e.awaitRequests(ctx, node); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if err := write(); err != nil {
		return err
	}
	written := time.Now()
	for deadline := written.Add(e.timeout); ; {
		time.Sleep(e.quietPeriod)
		count, last := e.arrivals.countAfter(node, written)
		if count == 0 {
			e.results = append(e.results, EditResult{Name: name})
			return nil
		}
		if time.Since(last) >= e.quietPeriod {
			e.results = append(e.results, EditResult{Name: name, RequestsAfter: count, LastRequestAfter: last.Sub(written)})
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: requests still reach node s-%d %v after the edit", name, node, e.timeout)
		}
	}
}

// awaitRequests waits until new requests reach a node.
func (e *listEditor) awaitRequests(ctx context.Context, node int) error {
	start := time.Now()
	for deadline := start.Add(e.timeout); ; time.Sleep(requestPoll) {
		count, _ := e.arrivals.countAfter(node, start)
		if count > awaitedRequests {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("node s-%d received %d requests in %v, want more than %d", node, count, time.Since(start), awaitedRequests)
		}
	}
}

// restore writes the list with all nodes up.
func (e *listEditor) restore() error { return e.replaceFile(e.cluster.NodeList(nil)) }

// replaceFile replaces the list atomically.
func (e *listEditor) replaceFile(list string) error { return e.cluster.writeFile(listFile, list) }

func (e *listEditor) writeInPlace(list string) error {
	return os.WriteFile(e.path, []byte(list), 0o600)
}

// writeSlowly truncates the list and writes it in small chunks.
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

// listWithout returns the list without a node.
func (e *listEditor) listWithout(node int) string {
	return e.cluster.NodeList(func(k int, row string) string {
		if k == node {
			return ""
		}
		return row
	})
}

// listWith returns the list with a text in a node's row replaced.
func (e *listEditor) listWith(node int, from, to string) string {
	return e.cluster.NodeList(func(k int, row string) string {
		if k == node {
			return strings.Replace(row, from, to, 1)
		}
		return row
	})
}
