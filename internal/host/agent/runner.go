package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"poppyarch/internal/host/inventory"
)

// State is what an instance is doing.
type State string

// The states.
const (
	Stopped  State = "stopped"
	Starting State = "starting" // its process runs, but does not answer yet
	Running  State = "running"
	Stopping State = "stopping" // told to drain
	Backoff  State = "backoff"  // crashed, waits for its next start
)

// Timing are the agent's waits.
type Timing struct {
	InitialBackoff time.Duration // after a crash; doubles with each further one
	MaxBackoff     time.Duration
	StableAfter    time.Duration // a run of this length ends the doubling
	DrainTimeout   time.Duration // from SIGTERM to SIGKILL
	ReadyTimeout   time.Duration // from the start to the first answer, in a rolling restart
	PollInterval   time.Duration // between two looks whether an instance answers
}

// DefaultTiming suit brokers whose longest deadline is some seconds.
func DefaultTiming() Timing {
	return Timing{InitialBackoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second, StableAfter: time.Minute,
		DrainTimeout: 15 * time.Second, ReadyTimeout: 30 * time.Second, PollInterval: 50 * time.Millisecond}
}

// Process is a started broker.
type Process interface {
	PID() int
	Done() <-chan error // gives how it ended
	Terminate() error   // asks it to drain
	Kill() error
}

// Launcher starts brokers and looks whether they answer.
type Launcher interface {
	Start(inventory.Instance) (Process, error)
	Ready(context.Context, inventory.Instance) bool
}

// Status is an instance as the agent sees it.
type Status struct {
	Name         string    `json:"name"`
	State        State     `json:"state"`
	ShouldRun    bool      `json:"wanted"` // whether it should run
	PID          int       `json:"pid,omitempty"`
	Listen       string    `json:"listen,omitempty"`
	ObjectListen string    `json:"object_listen,omitempty"`
	Restarts     int       `json:"restarts"` // after crashes
	Since        time.Time `json:"since"`
	Error        string    `json:"error,omitempty"` // of the last crash or failed start
}

// runner keeps one instance as it should be.
type runner struct {
	launcher Launcher
	times    Timing
	log      *slog.Logger
	poke     chan struct{} // what is wanted has changed; holds one
	done     chan struct{} // the runner has ended

	mu      sync.Mutex
	spec    inventory.Instance
	status  Status
	changed chan struct{} // closed at each change of status
}

func newRunner(spec inventory.Instance, l Launcher, times Timing, log *slog.Logger) *runner {
	return &runner{launcher: l, times: times, log: log.With("instance", spec.Name), spec: spec,
		poke: make(chan struct{}, 1), done: make(chan struct{}), changed: make(chan struct{}),
		status: Status{Name: spec.Name, State: Stopped, Since: time.Now()}}
}

// want says whether the instance should run, from now on as spec has it.
func (r *runner) want(run bool, spec inventory.Instance) {
	r.mu.Lock()
	r.status.ShouldRun, r.spec = run, spec
	r.mu.Unlock()
	select {
	case r.poke <- struct{}{}:
	default:
	}
}

// get returns the status, the spec, and a channel that closes at the next change.
func (r *runner) get() (Status, inventory.Instance, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Listen, s.ObjectListen = r.spec.Listen, r.spec.ObjectListen
	return s, r.spec, r.changed
}

// set records a new state.
func (r *runner) set(state State, change func(*Status)) {
	r.mu.Lock()
	r.status.State, r.status.Since = state, time.Now()
	if change != nil {
		change(&r.status)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
}

// until waits for a state, or for ctx.
func (r *runner) until(ctx context.Context, state State) error {
	for {
		s, _, changed := r.get()
		if s.State == state {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// run keeps the instance until ctx is done, then drains it.
func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	wait := r.times.InitialBackoff
	for ctx.Err() == nil {
		s, spec, _ := r.get()
		if !s.ShouldRun {
			if s.State != Stopped {
				r.set(Stopped, nil)
			}
			select {
			case <-r.poke:
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		err, asked := r.once(ctx, spec)
		if asked {
			wait = r.times.InitialBackoff
			r.set(Stopped, func(s *Status) { s.PID, s.Error = 0, "" })
			continue
		}
		if time.Since(began) >= r.times.StableAfter {
			wait = r.times.InitialBackoff
		}
		text := "ended with exit code 0 though it was not asked to"
		if err != nil {
			text = err.Error()
		}
		r.log.Error("agent: instance crashed", "err", text, "next_start_in", wait)
		r.set(Backoff, func(s *Status) { s.PID, s.Error, s.Restarts = 0, text, s.Restarts+1 })
		next := time.NewTimer(wait)
		select {
		case <-next.C:
		case <-r.poke: // stopped meanwhile, or to be started at once
		case <-ctx.Done():
		}
		next.Stop()
		wait = min(2*wait, r.times.MaxBackoff)
	}
	r.set(Stopped, nil)
}

// once runs the process once. asked is true where it ended because it should.
func (r *runner) once(ctx context.Context, spec inventory.Instance) (err error, asked bool) {
	p, err := r.launcher.Start(spec)
	if err != nil {
		return err, false
	}
	r.set(Starting, func(s *Status) { s.PID = p.PID() })
	r.log.Info("agent: instance started", "pid", p.PID())
	looking, stop := context.WithCancel(ctx)
	defer stop()
	ready := make(chan struct{})
	go r.look(looking, spec, ready)
	for {
		select {
		case err := <-p.Done():
			return err, false
		case <-ready:
			ready = nil
			r.set(Running, nil)
			r.log.Info("agent: instance answers", "pid", p.PID())
			continue
		case <-r.poke:
		case <-ctx.Done():
		}
		if s, _, _ := r.get(); s.ShouldRun && ctx.Err() == nil {
			continue
		}
		break
	}
	stop()
	r.set(Stopping, nil)
	r.log.Info("agent: instance told to drain", "pid", p.PID())
	p.Terminate()
	drain := time.NewTimer(r.times.DrainTimeout)
	defer drain.Stop()
	select {
	case <-p.Done():
	case <-drain.C:
		r.log.Error("agent: instance did not drain in time, killed", "pid", p.PID())
		p.Kill()
		<-p.Done()
	}
	return nil, true
}

// look closes ready when the instance answers.
func (r *runner) look(ctx context.Context, spec inventory.Instance, ready chan<- struct{}) {
	for {
		if r.launcher.Ready(ctx, spec) {
			close(ready)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.times.PollInterval):
		}
	}
}
