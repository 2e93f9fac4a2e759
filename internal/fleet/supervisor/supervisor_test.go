package supervisor

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/testkit/faultfs"
)

// runRollouts starts three instances, changes their start settings, and then a live setting. The agent crashes at disk
// call crashAt (0 means never), halfway through a write if torn is set, and another agent takes over. injectFaults
// injects faults into the machine. runRollouts returns the number of disk calls.
func runRollouts(t *testing.T, crashAt int, torn bool, injectFaults func(*fakeMachine)) (diskCalls int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		when := fmt.Sprintf("crash at disk call %d, torn %v", crashAt, torn)
		f := newFleet(t)
		defer f.close()
		injectFaults(f.machine)
		disk := faultfs.New()
		if crashAt > 0 {
			disk.CrashAt(crashAt, torn)
		}
		stop := f.keepAgentRunning(disk)
		defer stop()
		for _, s := range []spec.Spec{newSpec(3, 64, ""), newSpec(3, 96, ""), newSpec(3, 96, "debug")} {
			f.apply(s)
			f.mustSettle(when, 2*time.Minute)
			f.checkMachine(when, s)
		}
		diskCalls = disk.ModifyingCalls()
	})
	return diskCalls
}

// keepAgentRunning starts an agent, and another one whenever it ends, until stop is called.
func (f *fleet) keepAgentRunning(disk *faultfs.FS) (stop func()) {
	f.t.Helper()
	kill, ended := f.startAgent(disk)
	stopping := make(chan struct{})
	var restarter sync.WaitGroup
	restarter.Go(func() {
		for {
			select {
			case <-stopping:
				kill()
				return
			case err := <-ended:
				testLog.Info("test: agent ended, starting another one", "err", err)
				disk.Reboot()
				kill, ended = f.startAgent(disk)
			}
		}
	})
	return func() {
		close(stopping)
		restarter.Wait()
	}
}

func noFault(*fakeMachine) {}

// The agent crashes at every single disk call, which means before and after each record that it writes, and another
// agent takes over: brokers keep serving, none is started twice or lost, and no incarnation applies a change twice.
func TestBrokersSurviveAnAgentCrashAtEveryDiskCall(t *testing.T) {
	calls := runRollouts(t, 0, false, noFault)
	if calls < 40 {
		t.Fatalf("%d disk calls without a crash, want at least 40", calls)
	}
	for crashAt := 1; crashAt <= calls; crashAt++ {
		for _, torn := range []bool{false, true} {
			runRollouts(t, crashAt, torn, noFault)
		}
	}
}

func TestRolloutSurvivesBrokerCrashAroundAChange(t *testing.T) {
	for change := 1; change <= 9; change++ {
		runRollouts(t, 0, false, func(m *fakeMachine) { m.crashBeforeChange = change })
		runRollouts(t, 0, false, func(m *fakeMachine) { m.crashAfterChange = change })
		runRollouts(t, 0, false, func(m *fakeMachine) { m.loseResponse = change })
	}
}

func TestOlderAgentExitsAndLeavesItsBrokersWhenFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		_, ended := f.startAgent(faultfs.New())
		f.apply(newSpec(2, 64, ""))
		f.mustSettle("with one agent", time.Minute)
		before := f.machine.pids()
		newer, err := f.manager.Register("a1", 0)
		if err != nil || newer.Token < 2 {
			t.Fatalf("registration of a newer agent: token %d, error %v; want a token of at least 2", newer.Token, err)
		}
		if err := <-ended; !errors.Is(err, state.ErrFenced) {
			t.Fatalf("the older agent ended with %v, want ErrFenced", err)
		}
		if after := f.machine.pids(); !slices.Equal(after, before) {
			t.Errorf("brokers of the older agent are %v, want %v as before", after, before)
		}
		f.machine.mu.Lock()
		defer f.machine.mu.Unlock()
		for _, p := range f.machine.processes {
			p.ledger.Admit(&control.Change{ID: "x", FencingToken: newer.Token, Incarnation: p.ledger.Incarnation(), BaseRevision: 99})
			outcome := p.ledger.Admit(&control.Change{ID: "y", FencingToken: newer.Token - 1, Incarnation: p.ledger.Incarnation()})
			if outcome == nil || outcome.Code != control.CodeFenced {
				t.Errorf("outcome of a change with the older token is %+v, want CodeFenced", outcome)
			}
		}
	})
}

func TestAgentWithAFullDiskTakesNoActionAndContinuesWithSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		disk := faultfs.New()
		kill, _ := f.startAgent(disk)
		defer kill()
		f.apply(newSpec(2, 64, ""))
		f.mustSettle("at first", time.Minute)
		disk.SetFreeSpace(10)
		s := newSpec(3, 96, "")
		f.apply(s)
		if f.waitUntilSettled(30 * time.Second) {
			t.Fatal("the fleet settled although the disk is full")
		}
		if pids, starts := f.machine.pids(), f.machine.startsOf("n0"); len(pids) != 2 || starts != 1 {
			t.Errorf("%d processes, n0 started %d times; want 2 and 1", len(pids), starts)
		}
		disk.SetFreeSpace(-1)
		f.mustSettle("with space again", 2*time.Minute)
		f.checkMachine("after a full disk", s)
	})
}

func TestManagerWithAFullDiskRejectsCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.managerDisk.SetFreeSpace(0)
		override := &spec.NodeOverride{ID: "s", State: spec.NodeDraining}
		request := &api.NodeOverridesRequest{Command: f.newCommand(), Changes: []state.NodeOverrideChange{{ID: "s", Override: override}}}
		if _, err := f.manager.ChangeNodes(request); !errors.Is(err, api.ErrStorage) {
			t.Errorf("ChangeNodes on a full disk returned %v, want ErrStorage", err)
		}
		overview, err := f.manager.Overview(spec.Selector{})
		if err != nil || len(overview.Nodes) != 0 || overview.JournalFault == "" {
			t.Errorf("overview is %+v, error %v; want no node and a journal fault", overview, err)
		}
		f.managerDisk.SetFreeSpace(-1)
	})
}

// checkPausedAtCanary waits until the rollout of a revision is paused with one failed instance, and returns the
// instance and the reason.
func (f *fleet) checkPausedAtCanary(revision uint64) (instance, reason string) {
	f.t.Helper()
	progress, err := f.manager.Wait(f.t.Context(), revision, time.Minute)
	if err != nil || progress.Rollouts[0].Phase != state.Paused || len(progress.Rollouts[0].Failed) != 1 {
		f.t.Fatalf("rollouts are %+v, error %v; want a paused one with one failed instance", progress.Rollouts, err)
	}
	for name, why := range progress.Rollouts[0].Failed {
		instance = name
		reason = why
	}
	return instance, reason
}

func TestCrashingStartPausesTheRolloutAtItsCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		kill, _ := f.startAgent(faultfs.New())
		defer kill()
		good := newSpec(3, 64, "")
		f.apply(good)
		f.mustSettle("at first", time.Minute)
		bad := newSpec(3, 64, "")
		digest := spec.ConfigDigest([]byte(invalidConfig))
		bad.Configs[digest] = invalidConfig
		for _, instance := range bad.Instances {
			instance.Start.Config = digest
		}
		revision := f.apply(bad)
		f.checkPausedAtCanary(revision)
		if f.machine.startsOf("n1") != 1 || f.machine.startsOf("n2") != 1 {
			t.Errorf("n1 was started %d times, n2 %d times; want each once", f.machine.startsOf("n1"), f.machine.startsOf("n2"))
		}
		rollback := &api.RollbackRequest{Command: f.newCommand(), To: revision - 1, Strategy: state.DefaultStrategy()}
		if _, err := f.manager.Rollback(rollback); err != nil {
			t.Fatal(err)
		}
		f.mustSettle("after the rollback", time.Minute)
		f.checkMachine("after the rollback", good)
	})
}

func TestRejectedChangePausesTheRolloutAtItsCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		kill, _ := f.startAgent(faultfs.New())
		defer kill()
		good := newSpec(3, 64, "")
		f.apply(good)
		f.mustSettle("at first", time.Minute)
		rejected := newSpec(3, 64, "")
		for _, instance := range rejected.Instances {
			instance.Live.MaxInFlight = rejectedMaxInFlight
		}
		instance, reason := f.checkPausedAtCanary(f.apply(rejected))
		if instance != "n0" || reason != "turned down by the broker: refused: live.max_open: not that" {
			t.Errorf("instance %s failed because of %q, want n0 and the broker's rejection", instance, reason)
		}
		f.checkMachine("after the rejection", good)
	})
}

func TestRolloutContinuesAfterTheManagersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		kill, _ := f.startAgent(faultfs.New())
		defer kill()
		s := newSpec(3, 64, "")
		f.apply(s)
		time.Sleep(700 * time.Millisecond) // the rollout is under way
		f.stopManager()
		time.Sleep(10 * time.Second)
		f.startManager()
		f.mustSettle("after the manager's restart", time.Minute)
		f.checkMachine("after the manager's restart", s)
	})
}

func TestStatusOfUnresponsiveBrokersIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		kill, _ := f.startAgent(faultfs.New())
		defer kill()
		f.apply(newSpec(3, 64, ""))
		f.mustSettle("at first", time.Minute)
		f.machine.setUnresponsive(true)
		time.Sleep(10 * time.Second)
		overview, err := f.manager.Overview(spec.Selector{})
		if err != nil || len(overview.Instances) != 3 {
			t.Fatalf("overview is %+v, error %v; want three instances", overview, err)
		}
		for _, instance := range overview.Instances {
			if instance.Current || instance.Available || instance.Report.Incarnation != "" {
				t.Errorf("the broker of %s does not answer, but its status is %+v", instance.Name, instance)
			}
		}
		f.machine.setUnresponsive(false)
		f.mustSettle("with answers again", time.Minute)
	})
}

// advanceEditions raises the manager's edition beyond any that a new manager reaches in the test.
func (f *fleet) advanceEditions() {
	f.t.Helper()
	for i := range 80 {
		change := state.NodeOverrideChange{ID: "s-9"}
		if i%2 == 0 {
			change.Override = &spec.NodeOverride{ID: "s-9", State: spec.NodeDraining}
		}
		if _, err := f.manager.ChangeNodes(&api.NodeOverridesRequest{Command: f.newCommand(), Changes: []state.NodeOverrideChange{change}}); err != nil {
			f.t.Fatal(err)
		}
	}
}

// An agent ignores a manager with an empty journal at the same address until an operator accepts it. After that, no
// broker is restarted, although only a canary is released at first, and each broker reaches the state that the new
// manager desires.
func TestManagerWithoutHistoryIsIgnoredUntilItIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		disk := faultfs.New()
		kill, _ := f.startAgent(disk)
		s := newSpec(3, 64, "")
		f.apply(s)
		f.mustSettle("at first", time.Minute)
		f.advanceEditions()
		f.mustSettle("after many editions", time.Minute)
		f.stopManager()
		f.managerDisk = faultfs.New()
		f.startManager()
		time.Sleep(time.Minute)
		f.checkMachine("before a manager without history", s)
		kill()
		f.apply(s)
		kill, _ = f.startAgentWith(disk, f.machine, Options{Name: "a1", AcceptNewFleet: true})
		f.mustSettle("with the new fleet", 2*time.Minute)
		f.checkMachine("with the new fleet", s)
		kill()
		for name := range s.Instances {
			if starts := f.machine.startsOf(name); starts != 1 {
				t.Errorf("%s was started %d times", name, starts)
			}
		}
	})
}

// The instance of an agent that has crashed starts on another machine only after an operator has retired the agent. An
// agent that is in contact cannot be retired, and a retired one that returns ends its instances.
func TestInstanceOfARetiredAgentStartsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		otherMachine := newFakeMachine(t)
		defer otherMachine.endAll()
		disk := faultfs.New()
		kill, _ := f.startAgent(disk)
		killOther, _ := f.startAgentWith(faultfs.New(), otherMachine, Options{Name: "a2"})
		defer killOther()
		f.apply(newSpec(1, 64, ""))
		f.mustSettle("at first", time.Minute)
		retire := func() error {
			_, err := f.manager.Retire(&api.RetireRequest{Command: f.newCommand(), Agent: "a1"})
			return err
		}
		if err := retire(); !errors.Is(err, state.ErrInvalidState) {
			t.Errorf("retiring an agent that is in contact returned %v, want ErrInvalidState", err)
		}
		kill()
		moved := newSpec(1, 64, "")
		moved.Instances["n0"].Agent = "a2"
		f.apply(moved)
		time.Sleep(time.Minute)
		if len(otherMachine.pids()) != 0 {
			t.Fatal("the instance was started elsewhere before its agent was retired")
		}
		if err := retire(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if otherMachine.startsOf("n0") != 1 || len(otherMachine.pids()) != 1 {
			t.Fatal("the instance was not started on the other machine")
		}
		kill, _ = f.startAgent(disk)
		time.Sleep(30 * time.Second)
		if len(f.machine.pids()) != 0 {
			t.Error("the retired agent still runs the instance after its return")
		}
		kill()
	})
}
