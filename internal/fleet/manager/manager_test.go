package manager

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/testkit/faultfs"
)

func open(t *testing.T, fs *faultfs.FS, o Options) *Manager {
	t.Helper()
	m, err := Open(fs, o, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func drain(id, node string) *api.NodesRequest {
	return &api.NodesRequest{Command: state.Command{ID: id}, Changes: []state.NodeChange{{ID: node, Override: &spec.NodeOverride{ID: node, State: spec.NodeDraining}}}}
}

// What was agreed with a manager's former life is void: a report or a wait that comes late from before its restart is refused,
// whatever its token and numbers.
func TestFormerLife(t *testing.T) {
	fs := faultfs.New()
	m := open(t, fs, Options{})
	reg, err := m.Register("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	c := &api.ReportRequest{Agent: "a", Token: reg.Token, Epoch: reg.Epoch, Seq: 1, Full: true}
	if err := m.Report(c); err != nil {
		t.Fatal(err)
	}
	m.Close()
	m = open(t, fs, Options{})
	c.Seq = 2
	if err := m.Report(c); !errors.Is(err, api.ErrEpoch) {
		t.Errorf("a report of a former life: %v", err)
	}
	if _, err := m.Assignments(t.Context(), &api.AssignmentsRequest{Agent: "a", Token: reg.Token, Epoch: reg.Epoch}); !errors.Is(err, api.ErrEpoch) {
		t.Errorf("a wait of a former life: %v", err)
	}
}

// A command asked for many times at once, and again after a restart and a compaction, is carried out once.
func TestCommandsOnce(t *testing.T) {
	fs := faultfs.New()
	m := open(t, fs, Options{CompactBytes: 1})
	srv := httptest.NewServer(m.Handler())
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			c := api.NewClient(addr)
			defer c.Close()
			if _, err := c.ChangeNodes(t.Context(), drain("same", "s-1")); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	if h := m.History(10); len(h.Revisions) != 1 {
		t.Errorf("%d revisions", len(h.Revisions))
	}
	m.step() // compacts
	m.Close()
	m = open(t, fs, Options{})
	r, err := m.ChangeNodes(drain("same", "s-1"))
	if err != nil || !r.Result.Repeated || r.Result.Revision != 1 {
		t.Errorf("%+v %v", r, err)
	}
	if o, err := m.Overview(spec.Selector{}); err != nil || o.Revision != 1 || len(o.Nodes) != 1 {
		t.Errorf("%+v %v", o, err)
	}
}

// The manager's machine dies at every call to its disk: a command that was confirmed is there afterwards, one that was not is there whole
// or not at all, and asked again it is carried out once.
func TestManagerDiesAtEveryPoint(t *testing.T) {
	for at := 1; ; at++ {
		fs := faultfs.New()
		fs.CrashAt(at, at%2 == 0)
		confirmed := 0
		m, err := Open(fs, Options{CompactBytes: 600}, slog.New(slog.DiscardHandler))
		for n := 0; err == nil && n < 8; n++ {
			if _, err = m.ChangeNodes(drain(fmt.Sprint("c", n), fmt.Sprint("s-", n))); err == nil {
				confirmed++
				m.step()
			}
		}
		if !fs.Down() {
			if at < 20 {
				t.Fatalf("only %d calls", at)
			}
			return
		}
		fs.Reboot()
		m = open(t, fs, Options{})
		if o, _ := m.Overview(spec.Selector{}); len(o.Nodes) != confirmed && len(o.Nodes) != confirmed+1 {
			t.Fatalf("down at call %d: %d of %d confirmed commands are there", at, len(o.Nodes), confirmed)
		}
		for n := range 8 {
			if _, err := m.ChangeNodes(drain(fmt.Sprint("c", n), fmt.Sprint("s-", n))); err != nil {
				t.Fatal(err)
			}
		}
		if h := m.History(20); len(h.Revisions) != 8 {
			t.Fatalf("down at call %d: %d revisions", at, len(h.Revisions))
		}
	}
}
