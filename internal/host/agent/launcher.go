package agent

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"

	"poppyarch/internal/host/inventory"
)

const privateFileMode = 0o600 // configurations may hold secrets

// ProcessLauncher starts brokers as processes of `poppyarch serve`.
type ProcessLauncher struct {
	Program  string // path of poppyarch itself
	StateDir string // for the instances' configuration files and logs
}

// Start runs a broker for an instance. Its log is appended to a file of its own.
func (l *ProcessLauncher) Start(instance inventory.Instance) (Process, error) {
	text, err := ComposeFile(instance)
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(l.StateDir, instance.Name+".json")
	if err := os.WriteFile(configPath, text, privateFileMode); err != nil {
		return nil, err
	}
	logPath := filepath.Join(l.StateDir, instance.Name+".log")
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, privateFileMode)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(l.Program, "serve")
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.Env = append(environWithoutOverrides(), "LB_CONFIG="+configPath)
	// Where the agent is killed, its brokers drain instead of running on unsupervised.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	p := &process{cmd: cmd, done: make(chan error, 1)}
	started := make(chan error)
	go p.run(output, started)
	return p, <-started
}

// environWithoutOverrides is this process's environment without the variables that would override an instance's
// configuration.
func environWithoutOverrides() []string {
	return slices.DeleteFunc(os.Environ(), func(v string) bool {
		name, _, _ := strings.Cut(v, "=")
		return name == "LB_NAME" || name == "LB_LISTEN" || name == "LB_DISCOVERY"
	})
}

// process is a Process of the operating system.
type process struct {
	cmd  *exec.Cmd
	done chan error
}

// run starts the process, reports that on started, and waits for its end. It stays on one thread meanwhile, since the
// kernel sends Pdeathsig when the thread that started the process ends.
func (p *process) run(output *os.File, started chan<- error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer func() { _ = output.Close() }() // the process writes to its own copy
	if err := p.cmd.Start(); err != nil {
		started <- err
		return
	}
	started <- nil
	p.done <- p.cmd.Wait()
}

func (p *process) PID() int           { return p.cmd.Process.Pid }
func (p *process) Done() <-chan error { return p.done }
func (p *process) Terminate() error   { return p.cmd.Process.Signal(syscall.SIGTERM) }
func (p *process) Kill() error        { return p.cmd.Process.Kill() }
