package supervisor

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/host/agent"
	"poppyarch/internal/host/inventory"
	"poppyarch/internal/host/process"
)

// LocalBrokers runs brokers as processes of this machine. It is both a Machine and its Brokers.
type LocalBrokers struct {
	Program string   // poppyarch itself
	Args    []string // what makes it a broker; nil: serve
	Env     []string // besides the agent's own
	Dir     string   // for the instances' configurations, sockets and logs
}

// Instance turns an instance into the inventory's form.
func Instance(in *spec.Instance) inventory.Instance {
	return inventory.Instance{Name: in.Name, Listen: in.Start.Listen, ObjectListen: in.Start.ObjectListen, Cores: in.Start.Cores,
		MemoryMB: in.Start.MemoryMB, Sockets: in.Start.Sockets, Enabled: in.Enabled}
}

func (e *LocalBrokers) control(name string) string {
	return "unix:" + filepath.Join(e.Dir, name+".ctl")
}

// Start starts a broker with the start settings of in. What it takes up live comes later, by its control endpoint.
func (e *LocalBrokers) Start(in *spec.Instance, text, mark string) (Process, error) {
	file, err := agent.ComposeText(Instance(in), []byte(text), &config.Control{Listen: e.control(in.Name), Started: in.Start.Digest()})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(e.Dir, in.Name+".json")
	if err := os.WriteFile(path, file, 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(e.Dir, in.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	args := e.Args
	if args == nil {
		args = []string{"serve"}
	}
	cmd := exec.Command(e.Program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	for _, v := range os.Environ() {
		key, _, _ := strings.Cut(v, "=")
		if key != "LB_NAME" && key != "LB_LISTEN" && key != "LB_DISCOVERY" && key != "LB_CONFIG" && key != process.LaunchIDVariable {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(append(cmd.Env, e.Env...), "LB_CONFIG="+path)
	id, exited, err := process.Start(cmd, mark)
	if err != nil {
		return nil, err
	}
	p := &child{id: id, done: exited}
	if p.handle, err = process.Open(id); err != nil && !errors.Is(err, process.ErrExited) {
		cmd.Process.Kill()
		return nil, err
	}
	return p, nil
}

// Adopt takes hold of a broker that an earlier agent started.
func (e *LocalBrokers) Adopt(id process.Identity) (Process, error) {
	h, err := process.Open(id)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		<-h.Done()
		done <- errors.New("ended; how is known only to the agent that started it")
	}()
	return &child{id: id, handle: h, done: done}, nil
}

// Find looks for a broker by its mark.
func (e *LocalBrokers) Find(mark string) (process.Identity, bool) {
	return process.FindByLaunchID(mark)
}

type child struct {
	id     process.Identity
	handle *process.Handle // nil: it had ended at once
	done   <-chan error
}

func (c *child) Identity() process.Identity { return c.id }
func (c *child) Done() <-chan error         { return c.done }
func (c *child) Terminate() error           { return c.signal(syscall.SIGTERM) }
func (c *child) Kill() error                { return c.signal(syscall.SIGKILL) }

func (c *child) signal(sig syscall.Signal) error {
	if c.handle == nil {
		return process.ErrExited
	}
	return c.handle.Signal(sig)
}

// Probe asks a broker what it holds and whether its fronts answer.
func (e *LocalBrokers) Probe(ctx context.Context, in *spec.Instance) (*control.State, bool, error) {
	c, err := control.Dial(e.control(in.Name))
	if err != nil {
		return nil, false, err
	}
	st, err := c.State(ctx)
	if err != nil {
		return nil, false, err
	}
	return st, (&agent.Exec{}).Ready(ctx, Instance(in)), nil
}

// SendChange hands a broker a change.
func (e *LocalBrokers) SendChange(ctx context.Context, in *spec.Instance, ch *control.Change) (*control.Outcome, error) {
	c, err := control.Dial(e.control(in.Name))
	if err != nil {
		return nil, err
	}
	o, err := c.Change(ctx, ch)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", in.Name, err)
	}
	return o, nil
}
