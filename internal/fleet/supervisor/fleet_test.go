package supervisor

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/manager"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/testkit/faultfs"
)

// testLog discards the log, unless the environment variable POPPYARCH_TEST_LOG is set.
var testLog = newTestLog()

func newTestLog() *slog.Logger {
	if os.Getenv("POPPYARCH_TEST_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// fleet is a test fixture with a manager, a machine and the agents that a test starts. It must run in a synctest
// bubble.
type fleet struct {
	t             *testing.T
	machine       *fakeMachine
	managerDisk   *faultfs.FS
	link          *managerLink
	manager       *manager.Manager
	cancelManager context.CancelFunc // stops the manager
	managerDone   sync.WaitGroup
	commands      int // number of commands created
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, machine: newFakeMachine(t), managerDisk: faultfs.New(), link: &managerLink{}}
	f.startManager()
	return f
}

func (f *fleet) startManager() {
	f.t.Helper()
	m, err := manager.Open(f.managerDisk, manager.Options{}, testLog)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.manager = m
	f.cancelManager = cancel
	f.link.set(m)
	f.managerDone.Go(func() { _ = m.Run(ctx) }) // may fail in tests with faults of the manager's disk
}

func (f *fleet) stopManager() {
	f.link.set(nil)
	f.cancelManager()
	f.managerDone.Wait()
}

// close ends the manager and all processes. The agents must have ended.
func (f *fleet) close() {
	f.stopManager()
	f.machine.endAll()
}

// startAgent starts an agent with its journal on disk. kill ends the agent; ended receives the error of Open or Run.
func (f *fleet) startAgent(disk journal.FS) (kill func(), ended chan error) {
	f.t.Helper()
	return f.startAgentWith(disk, f.machine, Options{Name: "a1"})
}

func (f *fleet) startAgentWith(disk journal.FS, machine *fakeMachine, options Options) (kill func(), ended chan error) {
	f.t.Helper()
	ended = make(chan error, 1)
	s, err := Open(disk, options, machine, machine, f.link, testLog)
	if err != nil {
		ended <- err
		return func() {}, ended
	}
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		ended <- s.Run(ctx)
		_ = s.Close() // may fail in tests with faults of the agent's disk
	}()
	return func() { cancel(); <-closed }, ended
}

func (f *fleet) newCommand() state.Command {
	f.commands++
	return state.Command{ID: fmt.Sprint("c", f.commands)}
}

// newSpec returns the desired state of a fleet of n instances with a memory limit and a log level.
func newSpec(n, memoryMB int, logLevel string) spec.Spec {
	const config = "good"
	digest := spec.ConfigDigest([]byte(config))
	s := spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{digest: config}}
	for i := range n {
		name := fmt.Sprint("n", i)
		s.Instances[name] = &spec.Instance{
			Name:    name,
			Agent:   "a1",
			Enabled: true,
			Live:    spec.LiveSettings{LogLevel: logLevel},
			Start:   spec.StartSettings{Config: digest, Listen: fmt.Sprint("127.0.0.1:", 7000+i), MemoryMB: memoryMB},
		}
	}
	return s
}

// apply sets the desired state of the fleet and returns the revision.
func (f *fleet) apply(s spec.Spec) uint64 {
	f.t.Helper()
	strategy := state.DefaultStrategy()
	strategy.SoakTime = 100_000
	strategy.MaxUnavailable = state.CountOrPercent{Count: 1}
	strategy.Batch = state.CountOrPercent{Count: 2}
	reply, err := f.manager.Apply(&api.ApplyRequest{Command: f.newCommand(), Spec: s, Strategy: strategy})
	if err != nil {
		f.t.Fatal(err)
	}
	return reply.Result.Revision
}

// waitUntilSettled waits until the manager reports the fleet as settled, and returns false if it does not within the
// given time. Meanwhile it compares each status with the machine.
func (f *fleet) waitUntilSettled(within time.Duration) bool {
	f.t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		// Everything that happens at this instant must have finished, or a broker may crash between the report and the
		// comparison.
		synctest.Wait()
		overview, err := f.manager.Overview(spec.Selector{})
		if err != nil {
			f.t.Fatal(err)
		}
		f.compareWithMachine(overview.Instances)
		if overview.Settled {
			return true
		}
		if time.Now().After(end) {
			for _, instance := range overview.Instances {
				f.t.Logf("%s: %s %+v", instance.Name, instance.Reason, instance.Report)
			}
			f.t.Logf("%+v %+v", overview.Rollouts, overview.Agents)
			return false
		}
	}
}

func (f *fleet) mustSettle(when string, within time.Duration) {
	f.t.Helper()
	if !f.waitUntilSettled(within) {
		f.t.Fatalf("%s: the fleet did not settle within %v", when, within)
	}
}

// compareWithMachine checks that every instance that is reported as current is current.
func (f *fleet) compareWithMachine(instances []state.InstanceStatus) {
	f.t.Helper()
	f.machine.mu.Lock()
	defer f.machine.mu.Unlock()
	for _, instance := range instances {
		if !instance.Current || !instance.Enabled {
			continue
		}
		p := f.machine.processOf(instance.Name)
		if p == nil || p.ledger.Incarnation() == instance.Report.Incarnation && p.ledger.AppliedRevision() < instance.TargetEdition {
			f.t.Errorf("instance %s is reported as current but is not: %+v", instance.Name, instance.Report)
		}
	}
}

// checkMachine checks that each instance runs once and as desired, and that no incarnation has applied a change twice.
func (f *fleet) checkMachine(when string, s spec.Spec) {
	f.t.Helper()
	f.machine.mu.Lock()
	defer f.machine.mu.Unlock()
	for name, instance := range s.Instances {
		p := f.machine.processOf(name)
		if p == nil || p.startDigest != instance.Start.Digest() || p.ledger.AppliedRevision() == 0 {
			f.t.Errorf("%s: process of %s is %+v, want one with the desired start settings and an applied change", when, name, p)
		}
	}
	if len(f.machine.processes) != len(s.Instances) {
		f.t.Errorf("%s: %d processes for %d instances", when, len(f.machine.processes), len(s.Instances))
	}
	for change, times := range f.machine.applied {
		if times > 1 {
			f.t.Errorf("%s: change %q was applied %d times", when, change, times)
		}
	}
}
