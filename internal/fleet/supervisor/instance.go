package supervisor

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/host/process"
	"poppyarch/internal/timing/clock"
)

// managedInstance is an instance with its process and the call in flight to its broker.
type managedInstance struct {
	*reconcile.Controller
	handle       Process      // its process, nil if none runs
	generation   int          // number of the process; events of earlier processes are ignored
	callInFlight bool         // a call to its broker is in flight
	nextActionAt clock.Micros // 0 if due immediately
	unreported   *measurement // nil if all statistics have been reported
}

// measurement holds the statistics of a broker as of one probe.
type measurement struct {
	stats      *control.Stats
	inFlight   int64 // number of requests
	measuredAt clock.Micros
}

// instance returns the instance with a name, and creates it if there is none.
func (s *Supervisor) instance(name string) *managedInstance {
	if known := s.instances[name]; known != nil {
		return known
	}
	added := &managedInstance{Controller: reconcile.New(name, s.options.Reconcile, s.retryBudget, rand.Float64)}
	s.instances[name] = added
	return added
}

// restoreInstance restores an instance from the journal, and adopts its process if it still runs.
func (s *Supervisor) restoreInstance(name string) error {
	stored := s.state.Instances[name]
	restored := s.instance(name)
	restored.SetDesired(stored.desired())
	restored.Pending = stored.Command
	if stored.LaunchID == "" {
		return nil
	}
	restored.RecordStartIntent(stored.LaunchID, stored.StartDigest)
	if stored.Process == nil {
		return nil // the next action is to find it by its launch id
	}
	id := *stored.Process
	adopted, err := s.runner.Adopt(id)
	if err != nil {
		if !errors.Is(err, process.ErrExited) {
			return fmt.Errorf("%s: adopt pid %d: %w", name, id.PID, err)
		}
		s.log.Warn("agent: instance ended while no agent was running", "instance", name, "pid", id.PID)
		if err := s.commitResult(&record{Kind: recordEnded, Name: name}); err != nil {
			return err
		}
		now := s.clock.Now()
		restored.RecordRunning(id, now)
		restored.RecordExit(now, "ended while no agent was there")
		return nil
	}
	s.log.Info("agent: instance adopted", "instance", name, "pid", id.PID)
	restored.RecordRunning(id, s.clock.Now())
	s.watch(restored, adopted)
	return nil
}

// watch sets the process of an instance, and waits for its exit in a goroutine.
func (s *Supervisor) watch(instance *managedInstance, p Process) {
	instance.handle = p
	instance.generation++
	exited := &processExited{instance: instance, generation: instance.generation, pid: p.Identity().PID}
	s.watchers.Go(func() {
		exited.err = p.Wait(s.watchCtx)
		if s.watchCtx.Err() == nil {
			s.send(s.watchCtx, exited)
		}
	})
}
