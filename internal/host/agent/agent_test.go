package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// stage is a launcher whose processes live in memory.
type stage struct {
	mu    sync.Mutex
	log   []string // starts, terminations and kills, in order
	live  map[string]*actor
	mute  map[string]bool          // never answers
	stays map[string]time.Duration // drains for so long
	pid   int
	fails map[string]error // cannot start
}

type actor struct {
	s    *stage
	name string
	pid  int
	done chan error
	once sync.Once
}

func newStage() *stage {
	return &stage{live: map[string]*actor{}, mute: map[string]bool{}, stays: map[string]time.Duration{},
		fails: map[string]error{}}
}

func (s *stage) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

func (s *stage) Start(in inventory.Instance) (Process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fails[in.Name]; err != nil {
		return nil, err
	}
	if s.live[in.Name] != nil {
		s.note("%s started twice", in.Name)
	}
	s.pid++
	a := &actor{s: s, name: in.Name, pid: s.pid, done: make(chan error, 1)}
	s.live[in.Name] = a
	s.note("start %s %d", in.Name, in.MemoryMB)
	return a, nil
}

func (s *stage) Ready(_ context.Context, in inventory.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[in.Name] != nil && !s.mute[in.Name]
}

func (a *actor) PID() int           { return a.pid }
func (a *actor) Done() <-chan error { return a.done }

func (a *actor) end(err error) {
	a.once.Do(func() {
		a.s.mu.Lock()
		delete(a.s.live, a.name)
		a.s.mu.Unlock()
		a.done <- err
	})
}

func (a *actor) Terminate() error {
	a.s.mu.Lock()
	defer a.s.mu.Unlock()
	a.s.note("drain %s", a.name)
	time.AfterFunc(a.s.stays[a.name], func() { a.end(nil) })
	return nil
}

func (a *actor) Kill() error {
	a.s.mu.Lock()
	a.s.note("kill %s", a.name)
	a.s.mu.Unlock()
	a.end(errors.New("killed"))
	return nil
}

// crash ends an instance's process.
func (s *stage) crash(name string) {
	s.mu.Lock()
	a := s.live[name]
	s.mu.Unlock()
	a.end(errors.New("exit status 2"))
}

// took returns the notes since the last call.
func (s *stage) took() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.log
	s.log = nil
	return out
}

// play runs a test against an agent with instances a, b and c, c being disabled.
func play(t *testing.T, f func(t *testing.T, a *Agent, s *stage, list *[]inventory.Instance)) {
	synctest.Test(t, func(t *testing.T) {
		list := []inventory.Instance{{Name: "a", Enabled: true}, {Name: "b", Enabled: true}, {Name: "c"}}
		s := newStage()
		a := New(func() ([]inventory.Instance, error) {
			if list == nil {
				return nil, errors.New("inv.csv:3: colour: unknown key")
			}
			return list, nil
		}, s, DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		defer a.Close()
		if _, err := a.Reload(t.Context()); err != nil {
			t.Fatal(err)
		}
		settle()
		s.took()
		f(t, a, s, &list)
	})
}

// settle lets what goes on come to rest.
func settle() {
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
}

func states(a *Agent) (out []State) {
	for _, s := range a.Status() {
		out = append(out, s.State)
	}
	return out
}

func expect[T comparable](t *testing.T, what string, got, want []T) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestStartsWhatTheInventoryEnables(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		expect(t, "states", states(a), []State{Running, Running, Stopped})
	})
}

func TestCrashesRestartWithGrowingWaits(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		var waits []time.Duration
		for range 8 {
			began := time.Now()
			s.crash("a")
			for len(s.took()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			waits = append(waits, time.Since(began).Round(100*time.Millisecond))
		}
		const ms = time.Millisecond
		expect(t, "waits", waits, []time.Duration{500 * ms, 1000 * ms, 2000 * ms, 4000 * ms, 8000 * ms, 16000 * ms, 30000 * ms,
			30000 * ms})
		settle()
		if st := a.Status()[0]; st.Restarts != 8 || st.Error != "exit status 2" {
			t.Errorf("%+v", st)
		}
		time.Sleep(2 * time.Minute) // a long run ends the doubling
		s.crash("a")
		time.Sleep(600 * time.Millisecond)
		expect(t, "after a long run", s.took(), []string{"start a 0"})
	})
}

func TestStopDrainsAndStaysStopped(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		s.stays["a"] = 3 * time.Second
		began := time.Now()
		if err := a.Stop(t.Context(), []string{"a"}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != 3*time.Second {
			t.Errorf("stop returned after %v, the drain takes 3 s", took)
		}
		time.Sleep(time.Hour)
		expect(t, "notes", s.took(), []string{"drain a"})
		expect(t, "states", states(a), []State{Stopped, Running, Stopped})
		if err := a.Start(t.Context(), []string{"a", "c"}); err != nil {
			t.Fatal(err)
		}
		settle()
		expect(t, "states", states(a), []State{Running, Running, Running})
	})
}

func TestDrainThatDoesNotEndIsKilled(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		s.stays["a"] = time.Hour
		if err := a.Stop(t.Context(), []string{"a"}); err != nil {
			t.Fatal(err)
		}
		expect(t, "notes", s.took(), []string{"drain a", "kill a"})
	})
}

func TestStopDuringBackoff(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		s.crash("a")
		synctest.Wait()
		if err := a.Stop(t.Context(), []string{"a"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		expect(t, "notes", s.took(), nil)
	})
}

func TestRestartRollsOneByOne(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		if err := a.Restart(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		expect(t, "notes", s.took(), []string{"drain a", "start a 0", "drain b", "start b 0"})
		expect(t, "states", states(a), []State{Running, Running, Stopped})
		s.mute["a"] = true // a bad change: the first does not come up, the second must be left alone
		if err := a.Restart(t.Context(), nil); err == nil {
			t.Error("no error though a does not answer")
		}
		expect(t, "notes", s.took(), []string{"drain a", "start a 0"})
		expect(t, "states", states(a), []State{Starting, Running, Stopped})
	})
}

func TestReloadReconciles(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, list *[]inventory.Instance) {
		old := *list
		*list = nil
		if _, err := a.Reload(t.Context()); err == nil {
			t.Error("a faulty inventory was taken")
		}
		expect(t, "after a faulty inventory", s.took(), nil)
		*list = []inventory.Instance{{Name: "b", Enabled: true, MemoryMB: 64}, old[2], {Name: "d", Enabled: true}}
		c, err := a.Reload(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		expect(t, "added", c.Added, []string{"d"})
		expect(t, "removed", c.Removed, []string{"a"})
		expect(t, "restarted", c.Restarted, []string{"b"})
		settle()
		notes := s.took()
		slices.Sort(notes)
		expect(t, "notes", notes, []string{"drain a", "drain b", "start b 64", "start d 0"})
		expect(t, "states", states(a), []State{Running, Stopped, Running})
		c, err = a.Reload(t.Context())
		if err != nil || c.Unchanged != 3 {
			t.Errorf("%+v %v", c, err)
		}
		expect(t, "after a reload without changes", s.took(), nil)
	})
}

func TestUnknownNamesChangeNothing(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		if err := a.Stop(t.Context(), []string{"a", "x"}); !errors.Is(err, ErrUnknownInstance) {
			t.Errorf("got %v", err)
		}
		expect(t, "notes", s.took(), nil)
	})
}

func TestFailedStartsAreRetried(t *testing.T) {
	play(t, func(t *testing.T, a *Agent, s *stage, _ *[]inventory.Instance) {
		s.mu.Lock()
		s.fails["c"] = errors.New("no such file")
		s.mu.Unlock()
		a.Start(t.Context(), []string{"c"})
		settle()
		if st := a.Status()[2]; st.State != Backoff || st.Error != "no such file" {
			t.Errorf("%+v", st)
		}
		s.mu.Lock()
		delete(s.fails, "c")
		s.mu.Unlock()
		time.Sleep(time.Second)
		expect(t, "states", states(a), []State{Running, Running, Running})
	})
}

// The socket carries the calls, and a socket that a killed agent left behind is taken over.
func TestSocket(t *testing.T) {
	path := t.TempDir() + "/agent.sock"
	if _, err := Call(t.Context(), path, "GET", "status", Request{}); !errors.Is(err, ErrNoAgent) {
		t.Errorf("got %v", err)
	}
	for range 2 {
		ln, err := Listen(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Listen(path); err == nil {
			t.Fatal("two agents on one socket")
		}
		a := New(func() ([]inventory.Instance, error) { return []inventory.Instance{{Name: "c"}}, nil }, newStage(),
			DefaultTiming(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		srv := serve(ln, a)
		r, err := Call(t.Context(), path, "POST", "reload", Request{})
		if err != nil || len(r.Changes.Added) != 1 || len(r.Instances) != 1 {
			t.Errorf("%+v %v", r, err)
		}
		if _, err := Call(t.Context(), path, "POST", "start", Request{Names: []string{"x"}}); !errors.Is(err, ErrUnknownInstance) {
			t.Errorf("got %v", err)
		}
		srv()
		a.Close()
	}
}

// serve answers calls on ln and returns how to die without tidying up.
func serve(ln net.Listener, a *Agent) func() {
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	srv := &http.Server{Handler: Handler(a)}
	go srv.Serve(ln)
	return func() { srv.Close() }
}
