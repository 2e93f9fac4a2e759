package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"poppyarch/internal/host/inventory"
)

// ErrUnknownInstance reports that the inventory does not contain an instance.
var ErrUnknownInstance = errors.New("no such instance")

// Agent runs the instances of an inventory. Operations that change instances are carried out one at a time.
type Agent struct {
	load     func() ([]inventory.Instance, error)
	launcher Launcher
	timing   Timing
	log      *slog.Logger

	ctx     context.Context // parent of the runners' contexts; cancelled by Close
	cancel  context.CancelFunc
	running sync.WaitGroup // counts the runners' goroutines

	operation sync.Mutex // held by the operation in progress
	mu        sync.Mutex // guards runners
	runners   map[string]*runner
}

// New returns an agent without instances; Reload starts them. load reads the inventory.
func New(load func() ([]inventory.Instance, error), l Launcher, timing Timing, log *slog.Logger) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		load:     load,
		launcher: l,
		timing:   timing,
		log:      log,
		ctx:      ctx,
		cancel:   cancel,
		runners:  map[string]*runner{},
	}
}

// Start starts the named instances, or all that the inventory enables if names is empty. It does not wait until they
// are ready.
func (a *Agent) Start(_ context.Context, names []string) error {
	return a.operate(names, func(runners []*runner) error {
		for _, r := range runners {
			if s := r.snapshot(); len(names) > 0 || s.instance.Enabled {
				r.setDesired(true, s.instance)
			}
		}
		return nil
	})
}

// Stop drains the named instances, or all if names is empty, concurrently. It returns when they have stopped.
func (a *Agent) Stop(ctx context.Context, names []string) error {
	return a.operate(names, func(runners []*runner) error {
		for _, r := range runners {
			r.setDesired(false, r.snapshot().instance)
		}
		for _, r := range runners {
			if err := r.waitStopped(ctx); err != nil {
				return err
			}
		}
		return nil
	})
}

// Restart drains and starts the named instances one at a time, each once the previous one is ready. If names is empty,
// it restarts all instances that should be running. It returns an error at the first instance that does not become
// ready, so that a faulty change takes down one instance and not all.
func (a *Agent) Restart(ctx context.Context, names []string) error {
	return a.operate(names, func(runners []*runner) error {
		for _, r := range runners {
			s := r.snapshot()
			if !s.status.ShouldRun && len(names) == 0 {
				continue
			}
			if err := r.restart(ctx, s.instance, true); err != nil {
				return err
			}
		}
		return nil
	})
}

// operate carries out an operation on the runners of the named instances, or on all if names is empty, while no other
// operation is in progress.
func (a *Agent) operate(names []string, operation func([]*runner) error) error {
	a.operation.Lock()
	defer a.operation.Unlock()
	runners, err := a.selectRunners(names)
	if err != nil {
		return err
	}
	return operation(runners)
}

// Status returns the status of all instances, sorted by name.
func (a *Agent) Status() []Status {
	out := []Status{}
	for _, name := range a.names() {
		if r := a.runner(name); r != nil {
			out = append(out, r.snapshot().status)
		}
	}
	return out
}

// Close drains all instances and returns when they have stopped.
func (a *Agent) Close() {
	a.cancel()
	a.running.Wait()
}

// selectRunners returns the runners of the named instances, or all runners sorted by name if names is empty.
func (a *Agent) selectRunners(names []string) ([]*runner, error) {
	if len(names) == 0 {
		names = a.names()
	}
	out := make([]*runner, 0, len(names))
	for _, name := range names {
		r := a.runner(name)
		if r == nil {
			return nil, fmt.Errorf("%s: %w", name, ErrUnknownInstance)
		}
		out = append(out, r)
	}
	return out, nil
}

func (a *Agent) runner(name string) *runner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runners[name]
}

func (a *Agent) names() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.runners))
}
