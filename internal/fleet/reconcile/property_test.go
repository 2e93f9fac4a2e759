package reconcile

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/retry"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/process"
	"poppyarch/internal/timing/clock"
)

// simulation carries out a controller's actions on a simulated process and broker, with random failures, and checks
// each of the actions.
type simulation struct {
	t          *rapid.T
	controller *Controller
	now        clock.Micros

	running  bool
	draining bool
	pid      int

	incarnation int
	lastProbed  string // incarnation of the last probe
	applied     uint64 // edition that the current incarnation holds

	targetOfCommand map[string]uint64 // target editions by command id
}

func newSimulation(t *rapid.T) *simulation {
	random := func() float64 { return rapid.Float64Range(0, 1).Draw(t, "random") }
	return &simulation{
		t:               t,
		controller:      New("n", DefaultConfig(), retry.NewBudget(5, 0.1), random),
		now:             1,
		pid:             100,
		targetOfCommand: map[string]uint64{},
	}
}

// step advances the time; then the desired state changes, the process is killed, or the next action is carried out.
func (s *simulation) step() {
	s.now += clock.Micros(rapid.IntRange(0, 2_000_000).Draw(s.t, "time"))
	switch rapid.IntRange(0, 9).Draw(s.t, "event") {
	case 0:
		s.changeDesired()
	case 1:
		if s.running {
			s.exit()
		}
	default:
		s.takeAction()
		s.checkReport()
	}
}

func (s *simulation) changeDesired() {
	advance := uint64(rapid.IntRange(0, 2).Draw(s.t, "target"))
	s.controller.SetDesired(Desired{
		Run:           rapid.IntRange(0, 4).Draw(s.t, "run") > 0,
		StartDigest:   rapid.SampledFrom([]string{"d", "e"}).Draw(s.t, "digest"),
		TargetEdition: s.controller.Desired.TargetEdition + advance,
	})
}

func (s *simulation) exit() {
	s.running = false
	s.controller.RecordExit(s.now, "killed")
}

func (s *simulation) takeAction() {
	switch action, _ := s.controller.Next(s.now); action.Kind {
	case StartProcess:
		s.start()
	case Terminate:
		if !s.running || s.draining {
			s.t.Fatalf("Terminate with running %v, draining %v", s.running, s.draining)
		}
		s.draining = true
	case Kill:
		if !s.draining {
			s.t.Fatal("Kill of a process that has not been asked to drain")
		}
		s.exit()
	case Probe:
		s.probe()
	case SendCommand:
		s.send(action.Command)
	}
}

func (s *simulation) start() {
	if s.running {
		s.t.Fatal("StartProcess while a process runs")
	}
	s.controller.RecordStartIntent("launch", s.controller.Desired.StartDigest)
	if rapid.IntRange(0, 5).Draw(s.t, "start fails") == 0 {
		s.controller.RecordStartFailure(s.now, errors.New("no such program"))
		return
	}
	s.running = true
	s.draining = false
	s.pid++
	s.incarnation++
	s.applied = 0
	s.controller.RecordRunning(process.Identity{PID: s.pid}, s.now)
}

func (s *simulation) probe() {
	if !s.running {
		s.t.Fatal("Probe while no process runs")
	}
	if rapid.IntRange(0, 3).Draw(s.t, "probe fails") == 0 {
		s.controller.RecordProbe(s.now, nil, false, errors.New("time-out"))
		return
	}
	s.lastProbed = fmt.Sprint("b", s.incarnation)
	answer := &control.State{Incarnation: s.lastProbed, PID: s.pid, StartDigest: s.controller.StartDigest, AppliedRevision: s.applied}
	s.controller.RecordProbe(s.now, answer, true, nil)
}

func (s *simulation) send(command *Command) {
	if command.Incarnation != s.lastProbed || s.draining {
		s.t.Fatalf("SendCommand to incarnation %s, last probed %s, draining %v", command.Incarnation, s.lastProbed, s.draining)
	}
	if target, sent := s.targetOfCommand[command.ID]; sent && target != command.TargetEdition {
		s.t.Fatalf("command id %s has the target editions %d and %d", command.ID, target, command.TargetEdition)
	}
	s.targetOfCommand[command.ID] = command.TargetEdition
	lost := errors.New("connection reset")
	switch rapid.IntRange(0, 3).Draw(s.t, "answer") {
	case 0: // the command is lost
		s.controller.RecordOutcome(s.now, command.ID, nil, lost)
	case 1: // the answer is lost
		s.apply(command)
		s.controller.RecordOutcome(s.now, command.ID, nil, lost)
	default:
		s.controller.RecordOutcome(s.now, command.ID, s.apply(command), nil)
	}
}

// apply does what a broker does with a command.
func (s *simulation) apply(command *Command) *control.Outcome {
	outcome := &control.Outcome{Code: control.CodeApplied, Incarnation: command.Incarnation}
	if command.BaseEdition == s.applied {
		s.applied = command.TargetEdition
	} else if s.applied != command.TargetEdition {
		outcome.Code = control.CodeStaleBase
	}
	outcome.AppliedRevision = s.applied
	return outcome
}

func (s *simulation) checkReport() {
	report := s.controller.Report(s.now)
	if report.AppliedEdition > s.applied {
		s.t.Fatalf("report is %+v, but the broker has applied edition %d only", report, s.applied)
	}
	if !s.running && (report.Incarnation != "" || report.Process == state.ProcessRunning) {
		s.t.Fatalf("report is %+v, but no process runs", report)
	}
}

// In any order of events there is no start while a process runs, no second drain, no kill without a drain, no command
// to an incarnation other than the one probed last, and no report of anything that this incarnation has not stated.
func TestActionsAndReportsAreSafeInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.step()
		}
	})
}
