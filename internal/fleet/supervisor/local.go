package supervisor

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"syscall"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/host/agent"
	"poppyarch/internal/host/inventory"
	"poppyarch/internal/host/process"
)

// LocalBrokers runs brokers as processes on this machine. It implements ProcessRunner and BrokerClient.
type LocalBrokers struct {
	Program string   // path of the poppyarch binary
	Args    []string // arguments that make it a broker; nil means serve
	Env     []string // variables added to the agent's own environment
	Dir     string   // folder of the instances' configurations, control sockets and logs
}

// inventoryInstance converts an instance to its inventory form.
func inventoryInstance(instance *spec.Instance) inventory.Instance {
	return inventory.Instance{
		Name:         instance.Name,
		Listen:       instance.Start.Listen,
		ObjectListen: instance.Start.ObjectListen,
		Cores:        instance.Start.Cores,
		MemoryMB:     instance.Start.MemoryMB,
		Sockets:      instance.Start.Sockets,
		Enabled:      instance.Enabled,
	}
}

func (b *LocalBrokers) controlAddress(name string) string {
	return "unix:" + filepath.Join(b.Dir, name+".ctl")
}

// Start starts a broker with the start settings of an instance. The live settings are sent to its control endpoint
// later.
func (b *LocalBrokers) Start(instance *spec.Instance, text, launchID string) (Process, error) {
	endpoint := &config.ControlEndpoint{Listen: b.controlAddress(instance.Name), StartDigest: instance.Start.Digest()}
	content, err := agent.Compose(inventoryInstance(instance), []byte(text), endpoint)
	if err != nil {
		return nil, err
	}
	broker := &process.Broker{
		Program: b.Program,
		Args:    b.Args,
		Env:     b.Env,
		Dir:     b.Dir,
		Name:    instance.Name,
		Config:  content,
	}
	cmd, release, err := broker.Command()
	if err != nil {
		return nil, err
	}
	defer release()
	id, exited, err := process.Start(cmd, launchID)
	if err != nil {
		return nil, err
	}
	if err := id.CheckRunning(); err != nil && !errors.Is(err, process.ErrExited) {
		_ = cmd.Process.Kill() // fails only if the process has ended
		return nil, err
	}
	return &localProcess{id: id, exited: exited}, nil
}

// Adopt returns the process of a broker that an earlier agent started, or process.ErrExited.
func (b *LocalBrokers) Adopt(id process.Identity) (Process, error) {
	if err := id.CheckRunning(); err != nil {
		return nil, err
	}
	return &localProcess{id: id}, nil
}

// Find looks for the broker process of a launch.
func (b *LocalBrokers) Find(launchID string) (process.Identity, bool) {
	return process.FindByLaunchID(launchID)
}

// localProcess is a Process on this machine.
type localProcess struct {
	id     process.Identity
	exited <-chan error // receives the result of the process; nil if an earlier agent started it
}

// errAdoptedExit is the result of a process that an earlier agent started: only its parent learns its exit status.
var errAdoptedExit = errors.New("ended; how is known only to the agent that started it")

func (p *localProcess) Identity() process.Identity { return p.id }
func (p *localProcess) Terminate() error           { return p.id.Signal(syscall.SIGTERM) }
func (p *localProcess) Kill() error                { return p.id.Signal(syscall.SIGKILL) }

func (p *localProcess) Wait(ctx context.Context) error {
	if p.exited == nil {
		if err := p.id.Wait(ctx); err != nil {
			return err
		}
		return errAdoptedExit
	}
	select {
	case err := <-p.exited:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Probe returns the state of a broker and whether its front ends answer.
func (b *LocalBrokers) Probe(ctx context.Context, instance *spec.Instance) (*control.State, bool, error) {
	client, err := control.Dial(b.controlAddress(instance.Name))
	if err != nil {
		return nil, false, err
	}
	state, err := client.State(ctx)
	if err != nil {
		return nil, false, err
	}
	healthy := (&agent.ProcessLauncher{}).Ready(ctx, inventoryInstance(instance))
	return state, healthy, nil
}

// SendChange sends a change to a broker.
func (b *LocalBrokers) SendChange(ctx context.Context, instance *spec.Instance, change *control.Change) (*control.Outcome, error) {
	client, err := control.Dial(b.controlAddress(instance.Name))
	if err != nil {
		return nil, err
	}
	outcome, err := client.Change(ctx, change)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", instance.Name, err)
	}
	return outcome, nil
}
