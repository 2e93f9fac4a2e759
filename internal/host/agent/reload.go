package agent

import (
	"context"

	"poppyarch/internal/host/inventory"
)

// ReloadResult lists the names of the instances that a reload changed, and counts the unchanged ones.
type ReloadResult struct {
	Added     []string `json:"added"`
	Removed   []string `json:"removed"`
	Restarted []string `json:"restarted"`
	Unchanged int      `json:"unchanged"`
}

// Reload reads the inventory and reconciles the instances with it: it drains removed instances, starts new ones, and
// restarts changed ones one at a time. An invalid inventory changes nothing.
func (a *Agent) Reload(ctx context.Context) (ReloadResult, error) {
	a.operation.Lock()
	defer a.operation.Unlock()
	result := ReloadResult{Added: []string{}, Removed: []string{}, Restarted: []string{}}
	loaded, err := a.load()
	if err != nil {
		return result, err
	}
	instances := make([]inventory.Instance, 0, len(loaded))
	listed := map[string]bool{}
	for _, instance := range loaded {
		instances = append(instances, instance.WithoutFleetFields())
		listed[instance.Name] = true
	}
	for _, name := range a.names() {
		if !listed[name] {
			result.Removed = append(result.Removed, name)
		}
	}
	// Removals come first, since a new instance may use the address of a removed one.
	if err := a.remove(ctx, result.Removed); err != nil {
		return result, err
	}
	var changed []inventory.Instance
	for _, instance := range instances {
		r := a.runner(instance.Name)
		switch {
		case r == nil:
			result.Added = append(result.Added, instance.Name)
			a.add(instance)
		case r.update(instance):
			result.Unchanged++
		default:
			changed = append(changed, instance)
		}
	}
	for _, instance := range changed {
		if err := a.runner(instance.Name).restart(ctx, instance, instance.Enabled); err != nil {
			return result, err
		}
		result.Restarted = append(result.Restarted, instance.Name)
	}
	a.log.Info("agent: inventory loaded", "added", result.Added, "removed", result.Removed,
		"restarted", result.Restarted, "unchanged", result.Unchanged)
	return result, nil
}

// add starts the runner of an instance.
func (a *Agent) add(instance inventory.Instance) {
	ctx, cancel := context.WithCancel(a.ctx)
	r := newRunner(instance, a.launcher, a.timing, a.log, cancel)
	r.setDesired(instance.Enabled, instance)
	a.mu.Lock()
	a.runners[instance.Name] = r
	a.mu.Unlock()
	a.running.Go(func() { r.run(ctx) })
}

// remove drains instances concurrently and deletes their runners.
func (a *Agent) remove(ctx context.Context, names []string) error {
	for _, name := range names {
		a.runner(name).cancel()
	}
	for _, name := range names {
		select {
		case <-a.runner(name).done:
		case <-ctx.Done():
			return ctx.Err()
		}
		a.mu.Lock()
		delete(a.runners, name)
		a.mu.Unlock()
	}
	return nil
}
