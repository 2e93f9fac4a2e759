package supervisor

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/manager"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/host/process"
)

const (
	invalidConfig       = "bad" // a broker with this configuration crashes soon after its start
	rejectedMaxInFlight = 666   // brokers reject a change to this limit
)

// errReset is the error of a call whose response is lost.
var errReset = errors.New("connection reset")

// fakeMachine is an in-memory ProcessRunner and BrokerClient. Its processes keep running when an agent ends.
type fakeMachine struct {
	t *testing.T

	mu        sync.Mutex // guards the fields below
	processes map[int]*fakeProcess
	lastPID   int
	starts    map[string]int // number of starts by instance
	applied   map[string]int // how often a change was applied, by incarnation and edition
	changes   int            // number of changes received

	// Faults to inject. Changes are numbered from 1; 0 means none.
	crashBeforeChange int  // the broker crashes before it records this change
	crashAfterChange  int  // the broker crashes after it has recorded this change
	loseResponse      int  // the response to this change is lost
	unresponsive      bool // brokers do not answer
}

// fakeProcess is the process of a broker.
type fakeProcess struct {
	machine     *fakeMachine
	id          process.Identity
	instance    string
	launchID    string
	startDigest string
	crashing    bool // it crashes soon after its start
	ledger      *control.Ledger
	done        chan struct{}
	endOnce     sync.Once
}

func newFakeMachine(t *testing.T) *fakeMachine {
	return &fakeMachine{t: t, processes: map[int]*fakeProcess{}, starts: map[string]int{}, applied: map[string]int{}}
}

func (m *fakeMachine) Start(instance *spec.Instance, config, launchID string) (Process, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.processOf(instance.Name) != nil {
		m.t.Errorf("instance %s is started while a process of it runs", instance.Name)
	}
	m.lastPID++
	p := &fakeProcess{
		machine:     m,
		id:          process.Identity{PID: 100 + m.lastPID, StartTicks: uint64(m.lastPID), BootID: "machine"},
		instance:    instance.Name,
		launchID:    launchID,
		startDigest: instance.Start.Digest(),
		crashing:    config == invalidConfig,
		ledger:      control.NewLedger(fmt.Sprint("boot", m.lastPID), 100),
		done:        make(chan struct{}),
	}
	m.processes[p.id.PID] = p
	m.starts[instance.Name]++
	if p.crashing {
		time.AfterFunc(10*time.Millisecond, p.end)
	}
	return &fakeHandle{p}, nil
}

func (m *fakeMachine) Adopt(id process.Identity) (Process, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.processes[id.PID]; p != nil && p.id == id {
		return &fakeHandle{p}, nil
	}
	return nil, process.ErrExited
}

func (m *fakeMachine) Find(launchID string) (process.Identity, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		if p.launchID == launchID {
			return p.id, true
		}
	}
	return process.Identity{}, false
}

// processOf returns the process of an instance, or nil. The caller holds mu.
func (m *fakeMachine) processOf(instance string) *fakeProcess {
	for _, p := range m.processes {
		if p.instance == instance {
			return p
		}
	}
	return nil
}

// pids returns the pids of all processes in ascending order.
func (m *fakeMachine) pids() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.processes))
}

// startsOf returns how often an instance was started.
func (m *fakeMachine) startsOf(instance string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts[instance]
}

func (m *fakeMachine) setUnresponsive(unresponsive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsive = unresponsive
}

// endAll ends all processes.
func (m *fakeMachine) endAll() {
	m.mu.Lock()
	processes := slices.Collect(maps.Values(m.processes))
	m.mu.Unlock()
	for _, p := range processes {
		p.end()
	}
}

func (p *fakeProcess) end() {
	p.endOnce.Do(func() {
		p.machine.mu.Lock()
		delete(p.machine.processes, p.id.PID)
		p.machine.mu.Unlock()
		close(p.done)
	})
}

// fakeHandle is one agent's handle of a process.
type fakeHandle struct{ process *fakeProcess }

func (h *fakeHandle) Identity() process.Identity { return h.process.id }

func (h *fakeHandle) Wait(ctx context.Context) error {
	select {
	case <-h.process.done:
		return errors.New("killed")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *fakeHandle) Terminate() error {
	time.AfterFunc(20*time.Millisecond, h.process.end)
	return nil
}

func (h *fakeHandle) Kill() error {
	h.process.end()
	return nil
}

func (m *fakeMachine) Probe(_ context.Context, instance *spec.Instance) (*control.State, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.processOf(instance.Name)
	if p == nil || m.unresponsive || p.crashing {
		return nil, false, errors.New("connection refused")
	}
	state := &control.State{Incarnation: p.ledger.Incarnation(), PID: p.id.PID, StartDigest: p.startDigest, AppliedRevision: p.ledger.AppliedRevision()}
	return state, true, nil
}

func (m *fakeMachine) SendChange(_ context.Context, instance *spec.Instance, change *control.Change) (*control.Outcome, error) {
	m.mu.Lock()
	p := m.processOf(instance.Name)
	if p == nil || m.unresponsive {
		m.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	m.changes++
	number := m.changes
	if number == m.crashBeforeChange {
		m.mu.Unlock()
		p.end()
		return nil, errReset
	}
	outcome := m.decide(p, instance, change)
	m.mu.Unlock()
	if number == m.crashAfterChange {
		p.end()
		return nil, errReset
	}
	if number == m.loseResponse {
		return nil, errReset
	}
	return outcome, nil
}

// decide does what a broker does with a change. The caller holds mu.
func (m *fakeMachine) decide(p *fakeProcess, instance *spec.Instance, change *control.Change) *control.Outcome {
	if outcome := p.ledger.Admit(change); outcome != nil {
		return outcome
	}
	m.applied[fmt.Sprintf("%s %d", change.Incarnation, change.Revision)]++
	if instance.Live.MaxInFlight == rejectedMaxInFlight {
		return p.ledger.Record(change, nil, errors.New("live.max_open: not that"))
	}
	return p.ledger.Record(change, nil, nil)
}

// managerLink is a Manager that forwards calls to another one, and whose connection can be cut.
type managerLink struct {
	mu      sync.Mutex
	manager *manager.Manager // nil while the connection is cut
}

func (l *managerLink) get() (*manager.Manager, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.manager == nil {
		return nil, api.ErrUnavailable
	}
	return l.manager, nil
}

func (l *managerLink) set(m *manager.Manager) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.manager = m
}

func (l *managerLink) Register(_ context.Context, agent string, seenEdition uint64) (api.Registration, error) {
	m, err := l.get()
	if err != nil {
		return api.Registration{}, err
	}
	return m.Register(agent, seenEdition)
}

func (l *managerLink) Report(_ context.Context, request *api.ReportRequest) error {
	m, err := l.get()
	if err != nil {
		return err
	}
	return m.Report(request)
}

func (l *managerLink) Assignments(ctx context.Context, request *api.AssignmentsRequest) (api.Assignments, error) {
	m, err := l.get()
	if err != nil {
		return api.Assignments{}, err
	}
	return m.Assignments(ctx, request)
}

func (l *managerLink) Config(_ context.Context, digest string) (string, error) {
	m, err := l.get()
	if err != nil {
		return "", err
	}
	return m.Config(digest)
}
