package agent

import (
	"os"
	"syscall"

	"poppyarch/internal/host/inventory"
	"poppyarch/internal/host/process"
)

// ProcessLauncher starts brokers as processes of `poppyarch serve`.
type ProcessLauncher struct {
	Program  string // path of the poppyarch executable
	StateDir string // directory of the instances' configuration files and logs
}

// Start starts a broker for an instance. Its output is appended to the instance's log file. If the agent is killed, its
// brokers drain instead of continuing to run unsupervised.
func (l *ProcessLauncher) Start(instance inventory.Instance) (Process, error) {
	text, err := ComposeFile(instance)
	if err != nil {
		return nil, err
	}
	broker := &process.Broker{Program: l.Program, Dir: l.StateDir, Name: instance.Name, Config: text}
	cmd, release, err := broker.Command()
	if err != nil {
		return nil, err
	}
	defer release()
	exited, err := process.StartBound(cmd)
	if err != nil {
		return nil, err
	}
	return &brokerProcess{process: cmd.Process, done: exited}, nil
}

// brokerProcess is the process of a broker that this agent has started.
type brokerProcess struct {
	process *os.Process
	done    <-chan error
}

func (p *brokerProcess) PID() int           { return p.process.Pid }
func (p *brokerProcess) Done() <-chan error { return p.done }
func (p *brokerProcess) Terminate() error   { return p.process.Signal(syscall.SIGTERM) }
func (p *brokerProcess) Kill() error        { return p.process.Kill() }
