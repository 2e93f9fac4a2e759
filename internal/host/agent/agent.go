// Package agent runs the broker instances of an inventory: it starts them, restarts what crashes, drains what
// should stop, rolls restarts, and follows changes of the inventory.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sort"
	"sync"

	"poppyarch/internal/host/inventory"
)

// ErrUnknownInstance says that the inventory has no such instance.
var ErrUnknownInstance = errors.New("no such instance")

// Agent runs instances. Calls that change something come one after the other.
type Agent struct {
	load     func() ([]inventory.Instance, error)
	launcher Launcher
	times    Timing
	log      *slog.Logger
	running  sync.WaitGroup
	ctx      context.Context // of all runners
	stop     context.CancelFunc

	op      sync.Mutex // held by the call that changes something
	mu      sync.Mutex
	runners map[string]*runner
	ends    map[string]context.CancelFunc
}

// New returns an agent without instances; Reload brings them.
func New(load func() ([]inventory.Instance, error), l Launcher, times Timing, log *slog.Logger) *Agent {
	ctx, stop := context.WithCancel(context.Background())
	return &Agent{load: load, launcher: l, times: times, log: log, ctx: ctx, stop: stop,
		runners: map[string]*runner{}, ends: map[string]context.CancelFunc{}}
}

// ReloadResult tells what a reload did.
type ReloadResult struct {
	Added     []string `json:"added"`
	Removed   []string `json:"removed"`
	Restarted []string `json:"restarted"`
	Unchanged int      `json:"unchanged"`
}

// Reload reads the inventory and brings the instances in line with it. A faulty inventory changes nothing. What
// was removed is drained, what is new started, what changed restarted one at a time, the rest left alone.
func (a *Agent) Reload(ctx context.Context) (ReloadResult, error) {
	a.op.Lock()
	defer a.op.Unlock()
	c := ReloadResult{Added: []string{}, Removed: []string{}, Restarted: []string{}}
	list, err := a.load()
	if err != nil {
		return c, err
	}
	wanted := map[string]inventory.Instance{}
	list = slices.Clone(list)
	for i, in := range list {
		list[i] = in.WithoutFleetFields()
		in = list[i]
		wanted[in.Name] = in
	}
	for _, name := range a.names() {
		if _, ok := wanted[name]; !ok {
			c.Removed = append(c.Removed, name)
		}
	}
	if err := a.remove(ctx, c.Removed); err != nil { // first, since its address may be another's now
		return c, err
	}
	var roll []inventory.Instance
	for _, in := range list {
		r := a.runner(in.Name)
		if r == nil {
			c.Added = append(c.Added, in.Name)
			a.add(in)
			continue
		}
		s, old, _ := r.get()
		switch {
		case old == in:
			c.Unchanged++
		case !s.ShouldRun && !in.Enabled || s.State == Stopped && old.Enabled == in.Enabled:
			r.want(s.ShouldRun, in) // takes the change up when it is started
			c.Unchanged++
		default:
			roll = append(roll, in)
		}
	}
	for _, in := range roll {
		if err := a.cycle(ctx, a.runner(in.Name), in); err != nil {
			return c, err
		}
		c.Restarted = append(c.Restarted, in.Name)
	}
	a.log.Info("agent: inventory read", "added", c.Added, "removed", c.Removed, "restarted", c.Restarted,
		"unchanged", c.Unchanged)
	return c, nil
}

// add starts keeping an instance.
func (a *Agent) add(in inventory.Instance) {
	r := newRunner(in, a.launcher, a.times, a.log)
	r.want(in.Enabled, in)
	ctx, cancel := context.WithCancel(a.ctx)
	a.mu.Lock()
	a.runners[in.Name], a.ends[in.Name] = r, cancel
	a.mu.Unlock()
	a.running.Go(func() { r.run(ctx) })
}

// remove drains instances, all at once, and forgets them.
func (a *Agent) remove(ctx context.Context, names []string) error {
	for _, name := range names {
		a.mu.Lock()
		a.ends[name]()
		a.mu.Unlock()
	}
	for _, name := range names {
		select {
		case <-a.runner(name).done:
		case <-ctx.Done():
			return ctx.Err()
		}
		a.mu.Lock()
		delete(a.runners, name)
		delete(a.ends, name)
		a.mu.Unlock()
	}
	return nil
}

// cycle stops an instance, and starts it as in says, if it should run.
func (a *Agent) cycle(ctx context.Context, r *runner, in inventory.Instance) error {
	r.want(false, in)
	if err := r.until(ctx, Stopped); err != nil {
		return fmt.Errorf("%s: not stopped: %w", in.Name, err)
	}
	if !in.Enabled {
		return nil
	}
	return a.begin(ctx, r, in)
}

// begin starts an instance and waits until it answers.
func (a *Agent) begin(ctx context.Context, r *runner, in inventory.Instance) error {
	r.want(true, in)
	ready, cancel := context.WithTimeout(ctx, a.times.ReadyTimeout)
	defer cancel()
	if err := r.until(ready, Running); err != nil {
		s, _, _ := r.get()
		return fmt.Errorf("%s: does not answer after its restart: %w (%s)", in.Name, err, s.Error)
	}
	return nil
}

// Start has instances run. Without names it means all that the inventory enables.
func (a *Agent) Start(_ context.Context, names []string) error {
	return a.each(names, func(r *runner, in inventory.Instance) error {
		if len(names) > 0 || in.Enabled {
			r.want(true, in)
		}
		return nil
	})
}

// Stop drains instances, all at once, and returns when they have ended.
func (a *Agent) Stop(ctx context.Context, names []string) error {
	return a.each(names, func(r *runner, in inventory.Instance) error {
		r.want(false, in)
		return nil
	}, func(r *runner, in inventory.Instance) error {
		if err := r.until(ctx, Stopped); err != nil {
			return fmt.Errorf("%s: not stopped: %w", in.Name, err)
		}
		return nil
	})
}

// Restart drains and starts instances one at a time, each once the one before it answers. At the first that does
// not it stops, so that a bad change takes one instance and not all. Instances that do not run are left alone.
func (a *Agent) Restart(ctx context.Context, names []string) error {
	return a.each(names, func(r *runner, in inventory.Instance) error {
		if s, _, _ := r.get(); !s.ShouldRun && len(names) == 0 {
			return nil
		}
		r.want(false, in)
		if err := r.until(ctx, Stopped); err != nil {
			return fmt.Errorf("%s: not stopped: %w", in.Name, err)
		}
		return a.begin(ctx, r, in)
	})
}

// each calls every step for all the named instances, or for all there are.
func (a *Agent) each(names []string, steps ...func(*runner, inventory.Instance) error) error {
	a.op.Lock()
	defer a.op.Unlock()
	all := a.names()
	if len(names) == 0 {
		names = all
	}
	for _, name := range names {
		if !slices.Contains(all, name) {
			return fmt.Errorf("%s: %w", name, ErrUnknownInstance)
		}
	}
	for _, step := range steps {
		for _, name := range names {
			r := a.runner(name)
			_, spec, _ := r.get()
			if err := step(r, spec); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *Agent) runner(name string) *runner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runners[name]
}

func (a *Agent) names() (out []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name := range a.runners {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Status lists the instances by name.
func (a *Agent) Status() []Status {
	out := []Status{}
	for _, name := range a.names() {
		if r := a.runner(name); r != nil {
			s, _, _ := r.get()
			out = append(out, s)
		}
	}
	return out
}

// Close drains everything and returns when all has ended.
func (a *Agent) Close() {
	a.stop()
	a.running.Wait()
}
