package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"poppyarch/internal/host/inventory"
)

// Timing holds the agent's timeouts and intervals.
type Timing struct {
	InitialBackoff time.Duration // after a crash; doubles with each further crash
	MaxBackoff     time.Duration
	StableAfter    time.Duration // a process that has run for this long resets the backoff
	DrainTimeout   time.Duration // for a drain, from SIGTERM to SIGKILL
	ReadyTimeout   time.Duration // from the start until the instance is ready, during a restart
	PollInterval   time.Duration // between readiness checks
}

// DefaultTiming returns values for brokers whose longest request deadline is a few seconds.
func DefaultTiming() Timing {
	return Timing{
		InitialBackoff: 500 * time.Millisecond,
		MaxBackoff:     30 * time.Second,
		StableAfter:    time.Minute,
		DrainTimeout:   15 * time.Second,
		ReadyTimeout:   30 * time.Second,
		PollInterval:   50 * time.Millisecond,
	}
}

// Process is a broker process that has been started.
type Process interface {
	PID() int
	Done() <-chan error // delivers the result of the process once, nil for exit code 0
	Terminate() error   // asks the process to drain
	Kill() error
}

// Launcher starts brokers and checks their readiness.
type Launcher interface {
	Start(inventory.Instance) (Process, error)
	Ready(context.Context, inventory.Instance) bool
}

// errUnexpectedExit reports that a process exited with code 0 without being asked to stop.
var errUnexpectedExit = errors.New("ended with exit code 0 though it was not asked to")

// runner keeps the process of one instance in its desired state.
type runner struct {
	launcher Launcher
	timing   Timing
	log      *slog.Logger
	cancel   context.CancelFunc // cancels the context of run
	wake     chan struct{}      // signals a change of the desired state; capacity 1
	done     chan struct{}      // closed when run returns

	mu       sync.Mutex
	instance inventory.Instance
	status   Status
	changed  chan struct{} // closed at each change of status
}

// snapshot is a copy of a runner's state.
type snapshot struct {
	status   Status
	instance inventory.Instance
	changed  <-chan struct{} // closed at the next change of status
}

// newRunner returns a runner. cancel cancels the context that is passed to run.
func newRunner(instance inventory.Instance, l Launcher, timing Timing, log *slog.Logger, cancel context.CancelFunc) *runner {
	return &runner{
		launcher: l,
		timing:   timing,
		log:      log.With("instance", instance.Name),
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		instance: instance,
		status:   Status{Name: instance.Name, State: Stopped, Since: time.Now()},
		changed:  make(chan struct{}),
	}
}

func (r *runner) snapshot() snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.status
	status.Listen = r.instance.Listen
	status.ObjectListen = r.instance.ObjectListen
	return snapshot{status: status, instance: r.instance, changed: r.changed}
}

// setDesired sets whether the instance should run, and its settings. Changed settings apply from its next start.
func (r *runner) setDesired(shouldRun bool, instance inventory.Instance) {
	r.mu.Lock()
	r.status.ShouldRun = shouldRun
	r.instance = instance
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// update stores new settings if this needs no restart, because nothing has changed or the instance is not running. It
// returns false, and stores nothing, if a restart is needed.
func (r *runner) update(instance inventory.Instance) bool {
	s := r.snapshot()
	if s.instance == instance {
		return true
	}
	staysStopped := !s.status.ShouldRun && !instance.Enabled
	if staysStopped || s.status.State == Stopped && s.instance.Enabled == instance.Enabled {
		r.setDesired(s.status.ShouldRun, instance)
		return true
	}
	return false
}

// restart stops the instance. If start is true, it then starts the instance with the new settings and waits until it is
// ready.
func (r *runner) restart(ctx context.Context, instance inventory.Instance, start bool) error {
	r.setDesired(false, instance)
	if err := r.waitStopped(ctx); err != nil {
		return err
	}
	if !start {
		return nil
	}
	r.setDesired(true, instance)
	ctx, cancel := context.WithTimeout(ctx, r.timing.ReadyTimeout)
	defer cancel()
	if err := r.waitFor(ctx, Running); err != nil {
		lastError := r.snapshot().status.Error
		return fmt.Errorf("%s: does not answer after its restart: %w (%s)", instance.Name, err, lastError)
	}
	return nil
}

func (r *runner) waitStopped(ctx context.Context) error {
	if err := r.waitFor(ctx, Stopped); err != nil {
		return fmt.Errorf("%s: not stopped: %w", r.snapshot().instance.Name, err)
	}
	return nil
}

// waitFor waits until the instance is in a state or ctx is done.
func (r *runner) waitFor(ctx context.Context, state State) error {
	for {
		s := r.snapshot()
		if s.status.State == state {
			return nil
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// setState records a new state. change, if not nil, updates the rest of the status with it.
func (r *runner) setState(state State, change func(*Status)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.State = state
	r.status.Since = time.Now()
	if change != nil {
		change(&r.status)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// run keeps the instance in its desired state until ctx is done; it then drains it.
func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	backoff := r.timing.InitialBackoff
	for ctx.Err() == nil {
		s := r.snapshot()
		if !s.status.ShouldRun {
			if s.status.State != Stopped {
				r.setState(Stopped, nil)
			}
			r.waitForChange(ctx, nil)
			continue
		}
		startedAt := time.Now()
		requested, err := r.runProcess(ctx, s.instance)
		if requested {
			backoff = r.timing.InitialBackoff
			r.setState(Stopped, func(s *Status) {
				s.PID = 0
				s.Error = ""
			})
			continue
		}
		if time.Since(startedAt) >= r.timing.StableAfter {
			backoff = r.timing.InitialBackoff
		}
		r.backOff(ctx, backoff, err)
		backoff = min(2*backoff, r.timing.MaxBackoff)
	}
	r.setState(Stopped, nil)
}

// backOff records a crash and waits before the next start. A change of the desired state ends the wait early.
func (r *runner) backOff(ctx context.Context, wait time.Duration, crash error) {
	if crash == nil {
		crash = errUnexpectedExit
	}
	r.log.Error("agent: instance crashed, restarting it after the backoff", "err", crash.Error(), "next_start_in", wait)
	r.setState(Backoff, func(s *Status) {
		s.PID = 0
		s.Error = crash.Error()
		s.Restarts++
	})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	r.waitForChange(ctx, timer.C)
}

// waitForChange waits until the desired state changes, the timer fires or ctx is done.
func (r *runner) waitForChange(ctx context.Context, timer <-chan time.Time) {
	select {
	case <-timer:
	case <-r.wake:
	case <-ctx.Done():
	}
}

// runProcess starts the process and waits until it ends. requested is true if the agent stopped it; otherwise err is
// the error of the start or the result of the process, nil for exit code 0.
func (r *runner) runProcess(ctx context.Context, instance inventory.Instance) (requested bool, err error) {
	p, err := r.launcher.Start(instance)
	if err != nil {
		return false, err
	}
	r.setState(Starting, func(s *Status) { s.PID = p.PID() })
	r.log.Info("agent: instance started", "pid", p.PID())
	exited, err := r.superviseProcess(ctx, p, instance)
	if exited {
		return false, err
	}
	r.drainProcess(p)
	return true, nil
}

// superviseProcess waits until a process exits on its own, or should stop. It records when the process becomes ready.
func (r *runner) superviseProcess(ctx context.Context, p Process, instance inventory.Instance) (exited bool, err error) {
	pollCtx, stopPolling := context.WithCancel(ctx)
	ready := make(chan struct{})
	var polling sync.WaitGroup
	polling.Go(func() { r.pollReady(pollCtx, instance, ready) })
	defer polling.Wait()
	defer stopPolling()
	for {
		select {
		case err := <-p.Done():
			return true, err
		case <-ready:
			ready = nil // it stays closed, so receiving from it again would not block
			r.setState(Running, nil)
			r.log.Info("agent: instance is ready", "pid", p.PID())
			continue
		case <-r.wake:
		case <-ctx.Done():
		}
		if !r.snapshot().status.ShouldRun || ctx.Err() != nil {
			return false, nil
		}
	}
}

// pollReady polls the readiness of the instance and closes ready when it is ready, or returns when ctx is done.
func (r *runner) pollReady(ctx context.Context, instance inventory.Instance, ready chan<- struct{}) {
	for !r.launcher.Ready(ctx, instance) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.timing.PollInterval):
		}
	}
	close(ready)
}

// drainProcess asks a process to drain and kills it if it does not exit in time.
func (r *runner) drainProcess(p Process) {
	r.setState(Stopping, nil)
	r.log.Info("agent: instance draining", "pid", p.PID())
	_ = p.Terminate() // fails only if the process has exited, which Done delivers
	timer := time.NewTimer(r.timing.DrainTimeout)
	defer timer.Stop()
	if exited, _ := waitExit(p, timer.C); exited { // after a drain the exit code does not matter
		return
	}
	r.log.Error("agent: instance did not drain in time, killing it", "pid", p.PID())
	_ = p.Kill()            // fails only if the process has exited
	_, _ = waitExit(p, nil) // the result of a killed process does not matter
}

// waitExit waits until a process exits or timeout fires. err is the result of the process.
func waitExit(p Process, timeout <-chan time.Time) (exited bool, err error) {
	select {
	case err := <-p.Done():
		return true, err
	case <-timeout:
		return false, nil
	}
}
