package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/host/inventory"
)

// ProcessLauncher starts brokers as processes.
type ProcessLauncher struct {
	Program  string // poppyarch itself
	StateDir string // for the instances' configuration files and logs
}

// ComposeFile makes an instance's configuration from the file that it names: the inventory's settings replace those
// of the file.
func ComposeFile(in inventory.Instance) ([]byte, error) {
	text, err := os.ReadFile(in.Config)
	if err != nil {
		return nil, err
	}
	return Compose(in, text, nil)
}

// Compose does the same with the text of that file at hand. control, if any, sets up the control endpoint.
func Compose(in inventory.Instance, text []byte, control *config.Control) ([]byte, error) {
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("%s: %w", in.Config, err)
	}
	put := func(to map[string]json.RawMessage, key string, v any, given bool) {
		if b, err := json.Marshal(v); err == nil && given {
			to[key] = b
		}
	}
	nested := func(key string, fill func(map[string]json.RawMessage)) error {
		part := map[string]json.RawMessage{}
		if doc[key] != nil {
			if err := json.Unmarshal(doc[key], &part); err != nil {
				return fmt.Errorf("%s: %s: %w", in.Config, key, err)
			}
		}
		fill(part)
		put(doc, key, part, len(part) > 0)
		return nil
	}
	put(doc, "name", in.Name, true)
	put(doc, "listen", in.Listen, in.Listen != "")
	put(doc, "discovery", in.Discovery, in.Discovery != "")
	put(doc, "log", in.Log, in.Log != "")
	delete(doc, "seed") // each start draws its own
	err := nested("limits", func(l map[string]json.RawMessage) {
		put(l, "cores", in.Cores, in.Cores > 0)
		put(l, "memory_mb", in.MemoryMB, in.MemoryMB > 0)
		put(l, "sockets", in.Sockets, in.Sockets > 0)
	})
	if err == nil && in.ObjectListen != "" {
		err = nested("object", func(o map[string]json.RawMessage) { put(o, "listen", in.ObjectListen, true) })
	}
	if err != nil {
		return nil, err
	}
	if control != nil {
		put(doc, "control", control, true)
	}
	if in.ObjectListen == "" {
		delete(doc, "object") // its address would be every instance's
	}
	if in.Listen == "" {
		delete(doc, "listen")
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	if _, err := config.Parse(out, func(string) string { return "" }); err != nil {
		return nil, fmt.Errorf("%s: %s: %w", in.Name, in.Config, err)
	}
	return out, nil
}

// Start runs `poppyarch serve` for an instance. Its log goes to a file of its own.
func (e *ProcessLauncher) Start(in inventory.Instance) (Process, error) {
	text, err := ComposeFile(in)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(e.StateDir, in.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(e.StateDir, in.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(e.Program, "serve")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	cmd.Env = drop(cmd.Env, "LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=")
	// Should the agent be killed, its brokers drain instead of running on with nobody to mind them. The kernel
	// ties that to the thread that started them, so that thread stays.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	p := &process{cmd: cmd, done: make(chan error, 1)}
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer out.Close()
		if err := cmd.Start(); err != nil {
			started <- err
			return
		}
		started <- nil
		p.done <- cmd.Wait()
	}()
	return p, <-started
}

func drop(env []string, prefixes ...string) (out []string) {
	for _, v := range env {
		keep := true
		for _, p := range prefixes {
			keep = keep && !strings.HasPrefix(v, p)
		}
		if keep {
			out = append(out, v)
		}
	}
	return out
}

// Ready asks an instance's fronts whether they serve.
func (e *ProcessLauncher) Ready(ctx context.Context, in inventory.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return (in.Listen == "" || ping(ctx, in.Listen) == nil) && (in.ObjectListen == "" || health(ctx, in.ObjectListen) == nil)
}

// ping asks a block front.
func ping(ctx context.Context, addr string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if at, ok := ctx.Deadline(); ok {
		c.SetDeadline(at)
	}
	const want = "+PONG\r\n"
	b := make([]byte, len(want))
	if _, err := io.WriteString(c, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return err
	}
	if _, err := io.ReadFull(c, b); err != nil {
		return err
	}
	if string(b) != want {
		return errors.New("no PONG")
	}
	return nil
}

// health asks an object front.
func health(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/_health", nil)
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

type process struct {
	cmd  *exec.Cmd
	done chan error
}

func (p *process) PID() int           { return p.cmd.Process.Pid }
func (p *process) Done() <-chan error { return p.done }
func (p *process) Terminate() error   { return p.cmd.Process.Signal(syscall.SIGTERM) }
func (p *process) Kill() error        { return p.cmd.Process.Kill() }
