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

func openManager(t *testing.T, fs *faultfs.FS, options Options) *Manager {
	t.Helper()
	m, err := Open(fs, options, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func closeManager(t *testing.T, m *Manager) {
	t.Helper()
	if err := m.Close(); err != nil {
		t.Error(err)
	}
}

func drainNode(commandID, node string) *api.NodeOverridesRequest {
	return &api.NodeOverridesRequest{
		Command: state.Command{ID: commandID},
		Changes: []state.NodeOverrideChange{{ID: node, Override: &spec.NodeOverride{ID: node, State: spec.NodeDraining}}},
	}
}

func TestSessionEndsWithTheManagersIncarnation(t *testing.T) {
	fs := faultfs.New()
	m := openManager(t, fs, Options{})
	session, err := m.Register("a", 0)
	if err != nil {
		t.Fatal(err)
	}
	report := &api.ReportRequest{Agent: "a", Token: session.Token, Epoch: session.Epoch, Seq: 1, Full: true}
	if err := m.Report(report); err != nil {
		t.Fatal(err)
	}
	closeManager(t, m)
	m = openManager(t, fs, Options{})
	report.Seq = 2
	if err := m.Report(report); !errors.Is(err, api.ErrManagerRestarted) {
		t.Errorf("report of an earlier session returned %v, want ErrManagerRestarted", err)
	}
	poll := &api.AssignmentsRequest{Agent: "a", Token: session.Token, Epoch: session.Epoch}
	if _, err := m.Assignments(t.Context(), poll); !errors.Is(err, api.ErrManagerRestarted) {
		t.Errorf("poll of an earlier session returned %v, want ErrManagerRestarted", err)
	}
}

func TestConcurrentAndRepeatedCommandIsExecutedOnce(t *testing.T) {
	fs := faultfs.New()
	m := openManager(t, fs, Options{CompactBytes: 1})
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			client := api.NewClient(addr)
			defer client.Close()
			if _, err := client.ChangeNodes(t.Context(), drainNode("same", "s-1")); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	if history := m.History(10); len(history.Revisions) != 1 {
		t.Errorf("%d revisions after eight concurrent calls with one id, want 1", len(history.Revisions))
	}
	m.step() // compacts the journal
	closeManager(t, m)
	m = openManager(t, fs, Options{})
	reply, err := m.ChangeNodes(drainNode("same", "s-1"))
	if err != nil || !reply.Result.Repeated || reply.Result.Revision != 1 {
		t.Errorf("reply is %+v, error %v; want the repeated result of revision 1", reply, err)
	}
	if overview, err := m.Overview(spec.Selector{}); err != nil || overview.Revision != 1 || len(overview.Nodes) != 1 {
		t.Errorf("overview is %+v, error %v; want revision 1 with one node", overview, err)
	}
}

// changeNodesUntilFailure changes eight nodes, one after the other, until a change fails. It returns the number of
// confirmed changes.
func changeNodesUntilFailure(fs *faultfs.FS) (confirmed int) {
	m, err := Open(fs, Options{CompactBytes: 600}, slog.New(slog.DiscardHandler))
	if err != nil {
		return 0
	}
	for i := range 8 {
		if _, err := m.ChangeNodes(drainNode(fmt.Sprint("c", i), fmt.Sprint("s-", i))); err != nil {
			return i
		}
		m.step()
	}
	return 8
}

// The manager's machine crashes at every single disk call. After that, each confirmed command has been executed, a
// command that was not confirmed has been executed completely or not at all, and a repeated command is executed once.
func TestCommandsSurviveACrashAtEveryDiskCall(t *testing.T) {
	for crashAt := 1; ; crashAt++ {
		fs := faultfs.New()
		fs.CrashAt(crashAt, crashAt%2 == 0)
		confirmed := changeNodesUntilFailure(fs)
		if !fs.Crashed() {
			if crashAt < 20 {
				t.Fatalf("%d disk calls without a crash, want at least 20", crashAt)
			}
			return
		}
		fs.Reboot()
		m := openManager(t, fs, Options{})
		if overview, _ := m.Overview(spec.Selector{}); len(overview.Nodes) != confirmed && len(overview.Nodes) != confirmed+1 {
			t.Fatalf("crash at disk call %d: %d commands were executed, %d confirmed", crashAt, len(overview.Nodes), confirmed)
		}
		for i := range 8 {
			if _, err := m.ChangeNodes(drainNode(fmt.Sprint("c", i), fmt.Sprint("s-", i))); err != nil {
				t.Fatal(err)
			}
		}
		if history := m.History(20); len(history.Revisions) != 8 {
			t.Fatalf("crash at disk call %d: %d revisions after repeating all commands, want 8", crashAt, len(history.Revisions))
		}
	}
}
