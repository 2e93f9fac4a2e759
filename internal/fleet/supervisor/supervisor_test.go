package supervisor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/manager"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/process"
	"poppyarch/internal/testkit/faultfs"
)

// machine is a machine in memory: its processes outlive every agent.
type machine struct {
	t    *testing.T
	mu   sync.Mutex
	pids int
	live map[int]*fakeProcess
	took map[string]int // changes taken, by boot and edition
	// failures to come
	dieBefore, dieAfter int  // the n-th change kills its broker before or after it is recorded
	lose                int  // the n-th answer to a change is lost
	changes             int  // so far
	deaf                bool // brokers do not answer
	starts              map[string]int
}

type fakeProcess struct {
	m      *machine
	id     process.Identity
	name   string
	mark   string
	start  string
	bad    bool
	ledger *control.Ledger
	done   chan struct{}
	once   sync.Once
}

func newMachine(t *testing.T) *machine {
	return &machine{t: t, live: map[int]*fakeProcess{}, took: map[string]int{}, starts: map[string]int{}}
}

func (m *machine) Start(in *spec.Instance, text, mark string) (Process, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.live {
		if p.name == in.Name {
			m.t.Errorf("%s is started while it runs", in.Name)
		}
	}
	m.pids++
	p := &fakeProcess{m: m, name: in.Name, mark: mark, start: in.Start.Digest(), bad: text == "bad", done: make(chan struct{}),
		id: process.Identity{PID: 100 + m.pids, StartTicks: uint64(m.pids), BootID: "machine"}, ledger: control.NewLedger(fmt.Sprint("boot", m.pids), 100)}
	m.live[p.id.PID] = p
	m.starts[in.Name]++
	if p.bad {
		time.AfterFunc(10*time.Millisecond, p.end)
	}
	return &hold{p}, nil
}

func (m *machine) Adopt(id process.Identity) (Process, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.live[id.PID]; p != nil && p.id == id {
		return &hold{p}, nil
	}
	return nil, process.ErrExited
}

func (m *machine) Find(mark string) (process.Identity, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.live {
		if p.mark == mark {
			return p.id, true
		}
	}
	return process.Identity{}, false
}

func (p *fakeProcess) end() {
	p.once.Do(func() {
		p.m.mu.Lock()
		delete(p.m.live, p.id.PID)
		p.m.mu.Unlock()
		close(p.done)
	})
}

// hold is one agent's hold of a process.
type hold struct{ p *fakeProcess }

func (h *hold) Identity() process.Identity { return h.p.id }
func (h *hold) Done() <-chan error {
	ch := make(chan error, 1)
	go func() { <-h.p.done; ch <- errors.New("killed") }()
	return ch
}
func (h *hold) Terminate() error { time.AfterFunc(20*time.Millisecond, h.p.end); return nil }
func (h *hold) Kill() error      { h.p.end(); return nil }

func (m *machine) find(name string) *fakeProcess {
	for _, p := range m.live {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (m *machine) Probe(_ context.Context, in *spec.Instance) (*control.State, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.find(in.Name)
	if p == nil || m.deaf || p.bad {
		return nil, false, errors.New("connection refused")
	}
	return &control.State{Boot: p.ledger.Boot(), PID: p.id.PID, StartDigest: p.start, AppliedRevision: p.ledger.Applied()}, true, nil
}

func (m *machine) SendChange(_ context.Context, in *spec.Instance, c *control.Change) (*control.Outcome, error) {
	m.mu.Lock()
	p := m.find(in.Name)
	if p == nil || m.deaf {
		m.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	m.changes++
	n := m.changes
	if n == m.dieBefore {
		m.mu.Unlock()
		p.end()
		return nil, errors.New("connection reset")
	}
	o := p.ledger.Admit(c)
	if o == nil {
		m.took[fmt.Sprintf("%s %d", c.Boot, c.Revision)]++
		if in.Live.MaxInFlight == 666 {
			o = p.ledger.Record(c, nil, errors.New("live.max_open: not that"))
		} else {
			o = p.ledger.Record(c, nil, nil)
		}
	}
	m.mu.Unlock()
	if n == m.dieAfter {
		p.end()
		return nil, errors.New("connection reset")
	}
	if n == m.lose {
		return nil, errors.New("connection reset")
	}
	return o, nil
}

// line is the way to a manager, which may be cut.
type line struct {
	mu sync.Mutex
	m  *manager.Manager
}

func (l *line) get() (*manager.Manager, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.m == nil {
		return nil, api.ErrUnavailable
	}
	return l.m, nil
}

func (l *line) set(m *manager.Manager) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m = m
}

func (l *line) Register(_ context.Context, agent string, seen uint64) (r api.Registration, err error) {
	m, err := l.get()
	if err != nil {
		return r, err
	}
	return m.Register(agent, seen)
}

func (l *line) Report(_ context.Context, r *api.ReportRequest) error {
	m, err := l.get()
	if err != nil {
		return err
	}
	return m.Report(r)
}

func (l *line) Assignments(ctx context.Context, a *api.AssignmentsRequest) (api.Assignments, error) {
	m, err := l.get()
	if err != nil {
		return api.Assignments{}, err
	}
	return m.Assignments(ctx, a)
}

func (l *line) Config(_ context.Context, digest string) (string, error) {
	m, err := l.get()
	if err != nil {
		return "", err
	}
	return m.Config(digest)
}

// rig is a manager, a machine and whatever agents a test starts.
type rig struct {
	t     *testing.T
	mach  *machine
	disk  *faultfs.FS // the manager's
	line  *line
	mgr   *manager.Manager
	stop  context.CancelFunc
	ended sync.WaitGroup
	cmds  int
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, mach: newMachine(t), disk: faultfs.New(), line: &line{}}
	r.startManager()
	return r
}

var quiet = slog.New(slog.DiscardHandler)

func init() {
	if os.Getenv("POPPYARCH_TEST_LOG") != "" {
		quiet = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
}

func (r *rig) startManager() {
	r.t.Helper()
	m, err := manager.Open(r.disk, manager.Options{}, quiet)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.mgr, r.stop = m, cancel
	r.line.set(m)
	r.ended.Go(func() { m.Run(ctx) })
}

func (r *rig) close() {
	r.line.set(nil)
	r.stop()
	r.ended.Wait()
	r.mach.mu.Lock()
	live := slices.Collect(maps.Values(r.mach.live))
	r.mach.mu.Unlock()
	for _, p := range live {
		p.end()
	}
}

// agent starts an agent on a journal. The returned function kills it; err gets how Run ended.
func (r *rig) agent(fs journal.FS) (kill func(), err chan error) {
	r.t.Helper()
	return r.agentWith(fs, Options{Name: "a1"})
}

func (r *rig) agentWith(fs journal.FS, o Options) (kill func(), err chan error) {
	r.t.Helper()
	err = make(chan error, 1)
	s, e := Open(fs, o, r.mach, r.mach, r.line, quiet)
	if e != nil {
		err <- e
		return func() {}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		err <- s.Run(ctx)
		s.Close()
		close(done)
	}()
	return func() { cancel(); <-done }, err
}

func (r *rig) id() state.Command {
	r.cmds++
	return state.Command{ID: fmt.Sprint("c", r.cmds)}
}

// fleet is n instances with some memory and a log level.
func fleet(n, memory int, level string) spec.Spec {
	sp := spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{}}
	text := "good"
	d := spec.ConfigDigest([]byte(text))
	sp.Configs[d] = text
	for k := range n {
		name := fmt.Sprint("n", k)
		sp.Instances[name] = &spec.Instance{Name: name, Agent: "a1", Enabled: true, Live: spec.LiveSettings{LogLevel: level},
			Start: spec.StartSettings{Config: d, Listen: fmt.Sprint("127.0.0.1:", 7000+k), MemoryMB: memory}}
	}
	return sp
}

func (r *rig) apply(sp spec.Spec) uint64 {
	r.t.Helper()
	st := state.DefaultStrategy()
	st.SoakTime, st.MaxUnavailable, st.Batch = 100_000, state.CountOrPercent{Count: 1}, state.CountOrPercent{Count: 2}
	reply, err := r.mgr.Apply(&api.ApplyRequest{Command: r.id(), Spec: sp, Strategy: st})
	if err != nil {
		r.t.Fatal(err)
	}
	return reply.Result.Revision
}

// settled waits until everything is as wanted, and holds what is reported against what is.
func (r *rig) settled(within time.Duration) bool {
	r.t.Helper()
	for end := time.Now().Add(within); ; {
		// What happens in this very instant must be over, or a broker may die between the report and the look at the machine.
		synctest.Wait()
		o, err := r.mgr.Overview(spec.Selector{})
		if err != nil {
			r.t.Fatal(err)
		}
		r.mach.mu.Lock()
		for _, i := range o.Instances {
			p := r.mach.find(i.Name)
			if i.Current && i.Enabled && (p == nil || p.ledger.Boot() == i.Report.Incarnation && p.ledger.Applied() < i.TargetEdition) {
				r.t.Errorf("%s is reported current and is not", i.Name)
			}
		}
		r.mach.mu.Unlock()
		if o.Settled {
			return true
		}
		if time.Now().After(end) {
			for _, i := range o.Instances {
				r.t.Logf("%s: %s %+v", i.Name, i.Reason, i.Report)
			}
			r.t.Logf("%+v %+v", o.Rollouts, o.Agents)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// check holds the end against what was wanted: each runs once, as wanted, and no boot took a change twice.
func (r *rig) check(what string, sp spec.Spec) {
	r.t.Helper()
	r.mach.mu.Lock()
	defer r.mach.mu.Unlock()
	for name, in := range sp.Instances {
		p := r.mach.find(name)
		if p == nil || p.start != in.Start.Digest() || p.ledger.Applied() == 0 {
			r.t.Errorf("%s: %s is %+v", what, name, p)
		}
	}
	if len(r.mach.live) != len(sp.Instances) {
		r.t.Errorf("%s: %d processes for %d instances", what, len(r.mach.live), len(sp.Instances))
	}
	for k, n := range r.mach.took {
		if n > 1 {
			r.t.Errorf("%s: %s was taken %d times", what, k, n)
		}
	}
}

// play brings three instances up, changes what they are started with, and then a level; and returns the number of
// calls to the agent's disk, during which the agent dies at call at (0: never) and another comes.
func play(t *testing.T, at int, half bool, prepare func(*rig)) (calls int) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.close()
		if prepare != nil {
			prepare(r)
		}
		disk := faultfs.New()
		if at > 0 {
			disk.CrashAt(at, half)
		}
		kill, ended := r.agent(disk)
		stop := make(chan struct{})
		var again sync.WaitGroup
		again.Go(func() { // the one who starts a new agent whenever one has died
			for {
				select {
				case <-stop:
					kill()
					return
				case <-ended:
					disk.Reboot()
					kill, ended = r.agent(disk)
				}
			}
		})
		defer again.Wait()
		defer close(stop)
		first, second, third := fleet(3, 64, ""), fleet(3, 96, ""), fleet(3, 96, "debug")
		for _, sp := range []spec.Spec{first, second, third} {
			r.apply(sp)
			if !r.settled(2 * time.Minute) {
				t.Fatalf("death at call %d (%v): never settled", at, half)
			}
			r.check(fmt.Sprintf("death at call %d (%v)", at, half), sp)
		}
		calls = disk.Calls()
	})
	return calls
}

// The agent dies at every single call to its disk, which is before and after every record it writes, and another takes
// over: brokers serve on, none is started twice or lost, no change is taken twice by one boot.
func TestAgentDiesAtEveryPoint(t *testing.T) {
	calls := play(t, 0, false, nil)
	if calls < 40 {
		t.Fatalf("only %d calls", calls)
	}
	for at := 1; at <= calls; at++ {
		for _, half := range []bool{false, true} {
			play(t, at, half, nil)
		}
	}
}

// A broker dies between receiving a change and recording it, or between recording and answering; or the answer is lost.
func TestBrokerDiesAroundAChange(t *testing.T) {
	for n := 1; n <= 9; n++ {
		play(t, 0, false, func(r *rig) { r.mach.dieBefore = n })
		play(t, 0, false, func(r *rig) { r.mach.dieAfter = n })
		play(t, 0, false, func(r *rig) { r.mach.lose = n })
	}
}

// Of two agents of one name only the newer acts; the older stands down and leaves the brokers alone.
func TestOlderAgentStandsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.close()
		_, ended := r.agent(faultfs.New())
		sp := fleet(2, 64, "")
		r.apply(sp)
		if !r.settled(time.Minute) {
			t.Fatal("never settled")
		}
		r.mach.mu.Lock()
		pids := slices.Sorted(maps.Keys(r.mach.live))
		r.mach.mu.Unlock()
		// The second has a disk of its own, and so knows nothing of the processes: it must not be able to run a
		// second set beside them without the first one's word. It registers; the first one stands down.
		reg, err := r.mgr.Register("a1", 0)
		if err != nil || reg.Token < 2 {
			t.Fatal(reg, err)
		}
		if err := <-ended; !errors.Is(err, state.ErrFenced) {
			t.Fatalf("the older agent ended with %v", err)
		}
		r.mach.mu.Lock()
		defer r.mach.mu.Unlock()
		if now := slices.Sorted(maps.Keys(r.mach.live)); !slices.Equal(now, pids) {
			t.Errorf("its brokers were %v and are %v", pids, now)
		}
		for _, p := range r.mach.live {
			p.ledger.Admit(&control.Change{ID: "x", FencingToken: reg.Token, Boot: p.ledger.Boot(), BaseRevision: 99})
			if o := p.ledger.Admit(&control.Change{ID: "y", FencingToken: reg.Token - 1, Boot: p.ledger.Boot()}); o == nil || o.Code != control.CodeFenced {
				t.Errorf("an older token: %+v", o)
			}
		}
	})
}

// A full disk: nothing new is begun, nothing that runs is touched, and all goes on once there is room.
func TestFullDiskHoldsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.close()
		disk := faultfs.New()
		kill, _ := r.agent(disk)
		defer func() { kill() }()
		r.apply(fleet(2, 64, ""))
		if !r.settled(time.Minute) {
			t.Fatal("never settled")
		}
		disk.SetRoom(10)
		sp := fleet(3, 96, "")
		r.apply(sp)
		if r.settled(30 * time.Second) {
			t.Fatal("settled without a journal")
		}
		r.mach.mu.Lock()
		if len(r.mach.live) != 2 || r.mach.starts["n0"] != 1 {
			t.Errorf("%d processes, n0 started %d times", len(r.mach.live), r.mach.starts["n0"])
		}
		r.mach.mu.Unlock()
		disk.SetRoom(-1)
		if !r.settled(2 * time.Minute) {
			t.Fatal("never settled with room again")
		}
		r.check("after a full disk", sp)
		// The manager's disk: the command is refused, and nothing of it is known afterwards.
		r.disk.SetRoom(0)
		_, err := r.mgr.ChangeNodes(&api.NodesRequest{Command: r.id(), Changes: []state.NodeChange{{ID: "s", Override: &spec.NodeOverride{ID: "s", State: spec.NodeDraining}}}})
		if !errors.Is(err, api.ErrStorage) {
			t.Errorf("got %v", err)
		}
		if o, _ := r.mgr.Overview(spec.Selector{}); len(o.Nodes) != 0 || o.JournalFault == "" {
			t.Errorf("%+v", o)
		}
		r.disk.SetRoom(-1)
	})
}

// A bad start crashes its canary again and again: the rollout pauses with the reason, the others are left alone, and the
// way back mends what it broke. A live change that a broker turns down is told so and changes nothing.
func TestBadChangesStopAtTheCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.close()
		kill, _ := r.agent(faultfs.New())
		defer func() { kill() }()
		good := fleet(3, 64, "")
		r.apply(good)
		if !r.settled(time.Minute) {
			t.Fatal("never settled")
		}
		bad := fleet(3, 64, "")
		d := spec.ConfigDigest([]byte("bad"))
		bad.Configs[d] = "bad"
		for _, i := range bad.Instances {
			i.Start.Config = d
		}
		rev := r.apply(bad)
		list, _, err := r.mgr.Wait(t.Context(), rev, time.Minute)
		if err != nil || list[0].Phase != state.Paused || len(list[0].Failed) != 1 {
			t.Fatalf("%v %+v", err, list)
		}
		if r.mach.starts["n1"] != 1 || r.mach.starts["n2"] != 1 {
			t.Errorf("starts: %v", r.mach.starts)
		}
		if _, err := r.mgr.Rollback(&api.RollbackRequest{Command: r.id(), To: rev - 1, Strategy: state.DefaultStrategy()}); err != nil {
			t.Fatal(err)
		}
		if !r.settled(time.Minute) {
			t.Fatal("never settled after the rollback")
		}
		r.check("after the rollback", good)
		refused := fleet(3, 64, "")
		for _, i := range refused.Instances {
			i.Live.MaxInFlight = 666
		}
		rev = r.apply(refused)
		list, _, err = r.mgr.Wait(t.Context(), rev, time.Minute)
		if err != nil || list[0].Phase != state.Paused || len(list[0].Failed) != 1 {
			t.Fatalf("%v %+v", err, list)
		}
		for name, why := range list[0].Failed {
			if name != "n0" || why != "turned down by the broker: refused: live.max_open: not that" {
				t.Errorf("%s: %s", name, why)
			}
		}
	})
}

// The manager dies and comes back in the middle; brokers stop answering for a while; an agent that is told by a manager
// without history does not follow it.
func TestManagerComesAndGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.close()
		disk := faultfs.New()
		kill, _ := r.agent(disk)
		sp := fleet(3, 64, "")
		r.apply(sp)
		time.Sleep(700 * time.Millisecond) // in the middle of it
		r.line.set(nil)
		r.stop()
		r.ended.Wait()
		time.Sleep(10 * time.Second)
		r.startManager()
		if !r.settled(time.Minute) {
			t.Fatal("never settled")
		}
		r.check("after the manager's return", sp)
		r.mach.mu.Lock()
		r.mach.deaf = true
		r.mach.mu.Unlock()
		time.Sleep(10 * time.Second)
		o, _ := r.mgr.Overview(spec.Selector{})
		for _, i := range o.Instances {
			if i.Current || i.Available || i.Report.Incarnation != "" {
				t.Errorf("nothing is known of %s, and it is reported as %+v", i.Name, i)
			}
		}
		r.mach.mu.Lock()
		r.mach.deaf = false
		r.mach.mu.Unlock()
		if !r.settled(time.Minute) {
			t.Fatal("never settled")
		}
		// The old fleet has come far: its brokers hold editions that a new one will not reach by itself.
		for k := range 80 {
			ch := state.NodeChange{ID: "s-9"}
			if k%2 == 0 {
				ch.Override = &spec.NodeOverride{ID: "s-9", State: spec.NodeDraining}
			}
			if _, err := r.mgr.ChangeNodes(&api.NodesRequest{Command: r.id(), Changes: []state.NodeChange{ch}}); err != nil {
				t.Fatal(err)
			}
		}
		if !r.settled(time.Minute) {
			t.Fatal("never settled")
		}
		// Another manager, with an empty journal, at the same address.
		r.line.set(nil)
		r.stop()
		r.ended.Wait()
		r.disk = faultfs.New()
		r.startManager()
		time.Sleep(time.Minute)
		r.check("before a manager without history", sp)
		kill()
		// An operator says that the new one counts, after telling it what is wanted. No broker is ended or started for it, though
		// only a canary is released at first, and each comes to hold what the new one says.
		r.apply(sp)
		kill, _ = r.agentWith(disk, Options{Name: "a1", AcceptNewFleet: true})
		if !r.settled(2 * time.Minute) {
			t.Fatal("never settled with the new fleet")
		}
		r.check("with the new fleet", sp)
		kill()
		for _, name := range []string{"n0", "n1", "n2"} {
			if r.mach.starts[name] != 1 {
				t.Errorf("%s was started %d times", name, r.mach.starts[name])
			}
		}
	})
}

// A machine is gone for good. Its instance, wanted elsewhere, waits for it until an operator retires its agent; then it comes up
// at the other. An agent that is heard of cannot be retired, and one that comes back after all is told to let go.
func TestRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		defer r.close()
		there := newMachine(t)
		defer func() {
			there.mu.Lock()
			live := slices.Collect(maps.Values(there.live))
			there.mu.Unlock()
			for _, p := range live {
				p.end()
			}
		}()
		old := faultfs.New()
		kill, _ := r.agent(old)
		here := r.mach
		r.mach = there
		kill2, _ := r.agentWith(faultfs.New(), Options{Name: "a2"})
		r.mach = here
		defer func() { kill2() }()
		r.apply(fleet(1, 64, ""))
		if !r.settled(time.Minute) {
			t.Fatal("never settled")
		}
		retire := func() error {
			_, err := r.mgr.Retire(&api.RetireRequest{Command: r.id(), Agent: "a1"})
			return err
		}
		if err := retire(); !errors.Is(err, state.ErrInvalidState) {
			t.Errorf("an agent that is heard of: %v", err)
		}
		kill()
		moved := fleet(1, 64, "")
		moved.Instances["n0"].Agent = "a2"
		r.apply(moved)
		time.Sleep(time.Minute)
		if len(there.live) != 0 {
			t.Fatal("it runs at both")
		}
		if err := retire(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		there.mu.Lock()
		p := there.find("n0")
		there.mu.Unlock()
		if p == nil {
			t.Fatal("it never came up at the other")
		}
		kill, _ = r.agent(old) // back after all
		time.Sleep(30 * time.Second)
		here.mu.Lock()
		defer here.mu.Unlock()
		if len(here.live) != 0 {
			t.Error("the old machine still runs it")
		}
		kill()
	})
}
