package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/host/inventory"
)

// fakeLauncher simulates processes in memory.
type fakeLauncher struct {
	mu         sync.Mutex
	events     []string // starts, drains and kills, in order
	running    map[string]*fakeProcess
	neverReady map[string]bool
	drainTime  map[string]time.Duration
	startError map[string]error
	lastPID    int
}

type fakeProcess struct {
	launcher *fakeLauncher
	name     string
	pid      int
	done     chan error
	exitOnce sync.Once
}

func newFakeLauncher() *fakeLauncher {
	return &fakeLauncher{
		running:    map[string]*fakeProcess{},
		neverReady: map[string]bool{},
		drainTime:  map[string]time.Duration{},
		startError: map[string]error{},
	}
}

// record appends an event. The caller holds mu.
func (l *fakeLauncher) record(format string, args ...any) {
	l.events = append(l.events, fmt.Sprintf(format, args...))
}

func (l *fakeLauncher) Start(in inventory.Instance) (Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.startError[in.Name]; err != nil {
		return nil, err
	}
	if l.running[in.Name] != nil {
		l.record("%s started twice", in.Name)
	}
	l.lastPID++
	p := &fakeProcess{launcher: l, name: in.Name, pid: l.lastPID, done: make(chan error, 1)}
	l.running[in.Name] = p
	l.record("start %s %d", in.Name, in.MemoryMB)
	return p, nil
}

func (l *fakeLauncher) Ready(_ context.Context, in inventory.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[in.Name] != nil && !l.neverReady[in.Name]
}

// setStartError makes the starts of an instance fail; nil lets them succeed again.
func (l *fakeLauncher) setStartError(name string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startError[name] = err
}

// crash ends an instance's process with an error.
func (l *fakeLauncher) crash(name string) {
	l.mu.Lock()
	p := l.running[name]
	l.mu.Unlock()
	p.exit(errors.New("exit status 2"))
}

// takeEvents returns the events since the last call.
func (l *fakeLauncher) takeEvents() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.events
	l.events = nil
	return out
}

func (p *fakeProcess) PID() int           { return p.pid }
func (p *fakeProcess) Done() <-chan error { return p.done }

func (p *fakeProcess) exit(err error) {
	p.exitOnce.Do(func() {
		p.launcher.mu.Lock()
		delete(p.launcher.running, p.name)
		p.launcher.mu.Unlock()
		p.done <- err
	})
}

func (p *fakeProcess) Terminate() error {
	p.launcher.mu.Lock()
	defer p.launcher.mu.Unlock()
	p.launcher.record("drain %s", p.name)
	time.AfterFunc(p.launcher.drainTime[p.name], func() { p.exit(nil) })
	return nil
}

func (p *fakeProcess) Kill() error {
	p.launcher.mu.Lock()
	p.launcher.record("kill %s", p.name)
	p.launcher.mu.Unlock()
	p.exit(errors.New("killed"))
	return nil
}

// withAgent runs a test with an agent that has the instances a, b and c, of which c is disabled. Reading the inventory
// fails while list is nil.
func withAgent(t *testing.T, f func(t *testing.T, a *Agent, l *fakeLauncher, list *[]inventory.Instance)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		list := []inventory.Instance{{Name: "a", Enabled: true}, {Name: "b", Enabled: true}, {Name: "c"}}
		load := func() ([]inventory.Instance, error) {
			if list == nil {
				return nil, errors.New("inv.csv:3: colour: unknown key")
			}
			return list, nil
		}
		l := newFakeLauncher()
		a := New(load, l, DefaultTiming(), slog.New(slog.DiscardHandler))
		defer a.Close()
		if _, err := a.Reload(t.Context()); err != nil {
			t.Fatal(err)
		}
		waitUntilSettled()
		l.takeEvents()
		f(t, a, l, &list)
	})
}

// waitUntilSettled waits until the runners have reached the desired state.
func waitUntilSettled() {
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
}

func instanceStates(a *Agent) (out []State) {
	for _, s := range a.Status() {
		out = append(out, s.State)
	}
	return out
}

func expectEqual[T comparable](t *testing.T, label string, got, want []T) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", label, got, want)
	}
}

func TestEnabledInstancesAreStarted(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, _ *fakeLauncher, _ *[]inventory.Instance) {
		expectEqual(t, "states", instanceStates(a), []State{Running, Running, Stopped})
	})
}

func TestCrashedInstanceRestartsWithExponentialBackoff(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, _ *[]inventory.Instance) {
		var waits []time.Duration
		for range 8 {
			crashedAt := time.Now()
			l.crash("a")
			for len(l.takeEvents()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			waits = append(waits, time.Since(crashedAt).Round(100*time.Millisecond))
		}
		const ms = time.Millisecond
		expectEqual(t, "waits", waits, []time.Duration{500 * ms, 1000 * ms, 2000 * ms, 4000 * ms, 8000 * ms, 16000 * ms, 30000 * ms,
			30000 * ms})
		waitUntilSettled()
		if st := a.Status()[0]; st.Restarts != 8 || st.Error != "exit status 2" {
			t.Errorf("got %+v, want 8 restarts and the error of the last exit", st)
		}
		time.Sleep(2 * time.Minute) // longer than StableAfter, which resets the backoff
		l.crash("a")
		time.Sleep(600 * time.Millisecond)
		expectEqual(t, "events after a long run", l.takeEvents(), []string{"start a 0"})
	})
}

func TestStoppedInstanceDrainsAndStaysStopped(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, _ *[]inventory.Instance) {
		l.drainTime["a"] = 3 * time.Second
		startedAt := time.Now()
		if err := a.Stop(t.Context(), []string{"a"}); err != nil {
			t.Fatal(err)
		}
		if elapsed := time.Since(startedAt); elapsed != 3*time.Second {
			t.Errorf("Stop returned after %v, want 3 s, the time of the drain", elapsed)
		}
		time.Sleep(time.Hour)
		expectEqual(t, "events", l.takeEvents(), []string{"drain a"})
		expectEqual(t, "states", instanceStates(a), []State{Stopped, Running, Stopped})
		if err := a.Start(t.Context(), []string{"a", "c"}); err != nil {
			t.Fatal(err)
		}
		waitUntilSettled()
		expectEqual(t, "states", instanceStates(a), []State{Running, Running, Running})
	})
}

func TestInstanceIsKilledAfterDrainTimeout(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, _ *[]inventory.Instance) {
		l.drainTime["a"] = time.Hour
		if err := a.Stop(t.Context(), []string{"a"}); err != nil {
			t.Fatal(err)
		}
		expectEqual(t, "events", l.takeEvents(), []string{"drain a", "kill a"})
	})
}

func TestStopDuringBackoffCancelsNextStart(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, _ *[]inventory.Instance) {
		l.crash("a")
		synctest.Wait()
		if err := a.Stop(t.Context(), []string{"a"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		expectEqual(t, "events", l.takeEvents(), nil)
	})
}

func TestRestartIsRollingAndStopsAtFirstFailure(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, _ *[]inventory.Instance) {
		if err := a.Restart(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		expectEqual(t, "events", l.takeEvents(), []string{"drain a", "start a 0", "drain b", "start b 0"})
		expectEqual(t, "states", instanceStates(a), []State{Running, Running, Stopped})
		l.neverReady["a"] = true // simulates a faulty change: a does not become ready, so b must not be restarted
		if err := a.Restart(t.Context(), nil); err == nil {
			t.Error("Restart returned no error although a does not become ready")
		}
		expectEqual(t, "events", l.takeEvents(), []string{"drain a", "start a 0"})
		expectEqual(t, "states", instanceStates(a), []State{Starting, Running, Stopped})
	})
}

func TestReloadReconcilesInstancesWithInventory(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, list *[]inventory.Instance) {
		old := *list
		*list = nil
		if _, err := a.Reload(t.Context()); err == nil {
			t.Error("Reload accepted an invalid inventory")
		}
		expectEqual(t, "events after an invalid inventory", l.takeEvents(), nil)
		*list = []inventory.Instance{{Name: "b", Enabled: true, MemoryMB: 64}, old[2], {Name: "d", Enabled: true}}
		c, err := a.Reload(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		expectEqual(t, "added", c.Added, []string{"d"})
		expectEqual(t, "removed", c.Removed, []string{"a"})
		expectEqual(t, "restarted", c.Restarted, []string{"b"})
		waitUntilSettled()
		events := l.takeEvents()
		slices.Sort(events)
		expectEqual(t, "events", events, []string{"drain a", "drain b", "start b 64", "start d 0"})
		expectEqual(t, "states", instanceStates(a), []State{Running, Stopped, Running})
		c, err = a.Reload(t.Context())
		if err != nil || c.Unchanged != 3 {
			t.Errorf("reload without changes: got %+v, %v; want 3 unchanged instances", c, err)
		}
		expectEqual(t, "events after a reload without changes", l.takeEvents(), nil)
	})
}

func TestUnknownNameChangesNothing(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, _ *[]inventory.Instance) {
		if err := a.Stop(t.Context(), []string{"a", "x"}); !errors.Is(err, ErrUnknownInstance) {
			t.Errorf("got %v, want %v", err, ErrUnknownInstance)
		}
		expectEqual(t, "events", l.takeEvents(), nil)
	})
}

func TestFailedStartIsRetried(t *testing.T) {
	withAgent(t, func(t *testing.T, a *Agent, l *fakeLauncher, _ *[]inventory.Instance) {
		l.setStartError("c", errors.New("no such file"))
		if err := a.Start(t.Context(), []string{"c"}); err != nil {
			t.Fatal(err)
		}
		waitUntilSettled()
		if st := a.Status()[2]; st.State != Backoff || st.Error != "no such file" {
			t.Errorf("got %+v, want state %s and the error of the start", st, Backoff)
		}
		l.setStartError("c", nil)
		time.Sleep(time.Second)
		expectEqual(t, "states", instanceStates(a), []State{Running, Running, Running})
	})
}

func TestCallOverSocketLeftByKilledAgent(t *testing.T) {
	path := t.TempDir() + "/agent.sock"
	if _, err := Call(t.Context(), path, "GET", "status", Request{}); !errors.Is(err, ErrNoAgent) {
		t.Errorf("call without an agent: got %v, want %v", err, ErrNoAgent)
	}
	for range 2 {
		ln, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Listen(path); !errors.Is(err, ErrAgentRunning) {
			t.Fatalf("second agent on the socket: got %v, want %v", err, ErrAgentRunning)
		}
		load := func() ([]inventory.Instance, error) { return []inventory.Instance{{Name: "c"}}, nil }
		a := New(load, newFakeLauncher(), DefaultTiming(), slog.New(slog.DiscardHandler))
		kill := serveAgent(t, ln, a)
		r, err := Call(t.Context(), path, "POST", "reload", Request{})
		if err != nil || len(r.Changes.Added) != 1 || len(r.Instances) != 1 {
			t.Errorf("reload: got %+v, %v; want one instance, added", r, err)
		}
		if _, err := Call(t.Context(), path, "POST", "start", Request{Names: []string{"x"}}); !errors.Is(err, ErrUnknownInstance) {
			t.Errorf("start of an unknown instance: got %v, want %v", err, ErrUnknownInstance)
		}
		kill()
		a.Close()
	}
}

// serveAgent handles calls on ln. The returned function stops the server and leaves the socket file behind, as a killed
// agent does.
func serveAgent(t *testing.T, ln net.Listener, a *Agent) (kill func()) {
	t.Helper()
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	srv := &http.Server{Handler: Handler(a)}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	return func() {
		t.Helper()
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}
}
