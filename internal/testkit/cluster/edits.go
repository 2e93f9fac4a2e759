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

// Edit is one way to change the list under running brokers, and what came of it.
type Edit struct {
	Name string
	Took time.Duration // from the end of the writing to the last new work that reached the node
	Work int           // that reached it after the writing
}

// arrivals notes when work reaches each node.
type arrivals struct {
	mu sync.Mutex
	at [][]time.Time
}

func (a *arrivals) note(node int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[node] = append(a.at[node], time.Now())
}

func (a *arrivals) after(node int, t time.Time) (n int, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.at[node] {
		if x.After(t) {
			n, last = n+1, x
		}
	}
	return n, last
}

// Edits changes Dir/nodes.csv in every way that the lists have to stand, under load, and says when new work stopped
// reaching the node that was taken away. wait is how long is looked for stragglers; patience bounds every wait for what must come.
func (s *Stack) Edits(ctx context.Context, wait, patience time.Duration) ([]Edit, error) {
	a := &arrivals{at: make([][]time.Time, len(s.Stores))}
	for k := range s.Stores {
		s.Stores[k].SetHook(func(redcon.Conn, redcon.Command) bool { a.note(k); return false })
		s.Object[k].SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) { a.note(k); next() })
	}
	path := filepath.Join(s.opt.Dir, "nodes.csv")
	rename := func(text string) error { return s.write("nodes.csv", text) }
	inPlace := func(text string) error { return os.WriteFile(path, []byte(text), 0o600) }
	slowly := func(text string) error {
		f, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		for len(text) > 0 {
			n := min(len(text), 40)
			if _, err := f.WriteString(text[:n]); err != nil {
				return err
			}
			text = text[n:]
			time.Sleep(15 * time.Millisecond)
		}
		return nil
	}
	busy := func(node int) error { // until new work reaches it again
		from := time.Now()
		for end := from.Add(patience); ; time.Sleep(5 * time.Millisecond) {
			if n, _ := a.after(node, from); n > 3 {
				return nil
			}
			if time.Now().After(end) || ctx.Err() != nil {
				return fmt.Errorf("no work reaches node s-%d", node)
			}
		}
	}
	without := func(node int) string {
		return s.List(func(k int, row string) string {
			if k == node {
				return ""
			}
			return row
		})
	}
	with := func(node int, from, to string) string {
		return s.List(func(k int, row string) string {
			if k == node {
				row = strings.Replace(row, from, to, 1)
			}
			return row
		})
	}
	var out []Edit
	quiet := func(name string, node int, write func() error) error {
		if err := busy(node); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := write(); err != nil {
			return err
		}
		told := time.Now()
		for end := told.Add(patience); ; {
			time.Sleep(wait)
			n, last := a.after(node, told)
			if n == 0 || time.Since(last) >= wait {
				e := Edit{Name: name, Work: n}
				if n > 0 {
					e.Took = last.Sub(told)
				}
				out = append(out, e)
				return nil
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s: work goes on reaching s-%d", name, node)
			}
		}
	}
	steps := []struct {
		name  string
		node  int
		write func() error
	}{
		{"row removed, by rename", 1, func() error { return rename(without(1)) }},
		{"row removed, written in place", 2, func() error { return inPlace(without(2)) }},
		{"row removed, cut off and written slowly", 3, func() error { return slowly(without(3)) }},
		{"state draining, in place", 1, func() error { return inPlace(with(1, ",up", ",draining")) }},
		{"state out, by rename", 2, func() error { return rename(with(2, ",up", ",out")) }},
		{"moved to another address, which nobody serves", 3, func() error {
			return rename(with(3, s.addrs[3]+","+s.objects[3], "127.0.0.1:1,127.0.0.1:1"))
		}},
	}
	for _, x := range steps {
		if err := quiet(x.name, x.node, x.write); err != nil {
			return out, err
		}
		if err := rename(s.List(nil)); err != nil {
			return out, err
		}
	}
	// Draining first, and removed while it drains: no work in between.
	if err := quiet("draining, then removed while it drains", 1, func() error {
		if err := rename(with(1, ",up", ",draining")); err != nil {
			return err
		}
		return nil
	}); err != nil {
		return out, err
	}
	from := time.Now()
	if err := rename(without(1)); err != nil {
		return out, err
	}
	time.Sleep(wait)
	if n, _ := a.after(1, from); n > 0 {
		return out, fmt.Errorf("%d pieces of work reached a node that was removed while it drained", n)
	}
	// Removed and added back within a second: used again.
	if err := rename(s.List(nil)); err != nil {
		return out, err
	}
	if err := busy(1); err != nil {
		return out, err
	}
	for range 2 {
		_ = rename(without(1))
		time.Sleep(300 * time.Millisecond)
		_ = rename(s.List(nil))
	}
	if err := busy(1); err != nil {
		return out, fmt.Errorf("removed and back: %w", err)
	}
	// A bad row: the node stays as it was. A list that is half there, or gone: all stay.
	for _, bad := range []func() error{
		func() error { return rename(with(2, s.addrs[2], "nowhere")) },
		func() error { return inPlace("id,addr\n\"s-0") },
		func() error { return os.Remove(path) },
		func() error { return rename("id,addr,objects,shard,state\n") }, // a whole list deleted: held back
	} {
		if err := bad(); err != nil {
			return out, err
		}
		time.Sleep(400 * time.Millisecond)
		for k := range s.Stores {
			if err := busy(k); err != nil {
				return out, fmt.Errorf("after a bad list: %w", err)
			}
		}
	}
	if err := rename(s.List(nil)); err != nil {
		return out, err
	}
	// Fifty edits a second, and the last one counts.
	if err := quiet("the last of fifty edits in a second", 3, func() error {
		for k := range 50 {
			text := s.List(nil)
			if k%2 == 0 {
				text = with(0, ",up", ",up ")
			}
			if k == 49 {
				text = without(3)
			}
			if err := inPlace(text); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}); err != nil {
		return out, err
	}
	if err := rename(s.List(nil)); err != nil {
		return out, err
	}
	// Discovery says up and the list says out: out.
	s.Disc.Set(discovery.Endpoint{ID: "s-2", Addr: s.addrs[2], ObjectAddr: s.objects[2], Zone: "room", Shard: 2, State: "up", Capacity: 1})
	if err := quiet("out, though discovery has it up", 2, func() error { return rename(with(2, ",up", ",out")) }); err != nil {
		return out, err
	}
	s.Disc.Set(discovery.Endpoint{ID: "s-2", State: "removed"})
	return out, rename(s.List(nil))
}
