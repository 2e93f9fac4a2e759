// Package kit has what the cases share: the record, processes of the project, free ports, discovery and object nodes.
package kit

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case.
type Case struct {
	Root    string // root of the repository
	Dir     string // temporary folder, deleted at the end
	Trouble bool   // whether the disruption happens
	record  *os.File
	start   time.Time
	mu      sync.Mutex
	cleanup []func()
}

// NotRunError is the panic value of a case that cannot run.
type NotRunError struct{ Reason string }

// Main runs a case and exits with its result. The first argument is the folder of the case.
func Main(run func(c *Case) int) {
	folder, err := filepath.Abs(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Root: filepath.Dir(filepath.Dir(folder)), Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c.Cleanup(func() { _ = os.RemoveAll(c.Dir) })
	watchdog := time.AfterFunc(110*time.Second, func() {
		c.Logf("result: the case took longer than 110 s")
		c.end(NotRun)
	})
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		c.Logf("result: the case was stopped by %v", <-stopped)
		c.end(NotRun)
	}()
	code := c.run(run)
	watchdog.Stop()
	c.end(code)
}

func (c *Case) run(run func(c *Case) int) (code int) {
	defer func() {
		if v := recover(); v != nil {
			e, ok := v.(NotRunError)
			if !ok {
				c.Logf("result: the case could not run: panic: %v", v)
				code = NotRun
				return
			}
			c.Logf("result: the case could not run: %s", e.Reason)
			code = NotRun
		}
	}()
	return run(c)
}

func (c *Case) end(code int) {
	c.mu.Lock()
	cleanup := c.cleanup
	c.cleanup = nil
	c.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	c.Logf("exit code %d", code)
	os.Exit(code)
}

// Cleanup registers a function that is called at the end.
func (c *Case) Cleanup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanup = append(c.cleanup, f)
}

// Logf writes a line with the time since the start to the record and to standard output.
func (c *Case) Logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Must ends the case as not run if err is not nil.
func Must(err error) {
	if err != nil {
		panic(NotRunError{err.Error()})
	}
}

// Fail ends the case as not run.
func Fail(format string, args ...any) { panic(NotRunError{fmt.Sprintf(format, args...)}) }

// WriteFile writes a file into the temporary folder and returns its path.
func (c *Case) WriteFile(name, text string) string {
	path := filepath.Join(c.Dir, name)
	Must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// FreeAddr returns a free address on loopback.
func FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// RunLine returns the run line of the deploy file.
func (c *Case) RunLine() string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	Must(err)
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		Fail("deploy/balancer.toml has no run line")
	}
	return string(m[1])
}

// Process is a process that the case started.
type Process struct {
	Name    string
	LogPath string
	cmd     *exec.Cmd
	exited  chan struct{}
	err     error
}

// Start starts a command line with /bin/sh -c from the root of the repository, as the platform does. Its output goes to
// NAME.log in the temporary folder. It is killed at the end.
func (c *Case) Start(name, commandLine string, env ...string) *Process {
	p := &Process{Name: name, LogPath: filepath.Join(c.Dir, name+".log"), exited: make(chan struct{})}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Must(err)
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command("/bin/sh", "-c", commandLine)
	p.cmd.Dir = c.Root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	Must(p.cmd.Start())
	c.Logf("%s: started, pid %d: %s", name, p.PID(), commandLine)
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	c.Cleanup(func() { p.Kill() })
	return p
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process, if it still runs, and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// WaitExit waits for the end of the process and reports whether it has ended.
func (p *Process) WaitExit(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool { return p.WaitExit(0) }

// Log returns the output of the process.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.LogPath)
	return string(text)
}

// LogLines returns the lines of the output that contain one of the texts.
func (p *Process) LogLines(texts ...string) []string {
	var out []string
	for _, line := range strings.Split(p.Log(), "\n") {
		for _, t := range texts {
			if strings.Contains(line, t) {
				out = append(out, line)
				break
			}
		}
	}
	return out
}

// WaitFor waits until a condition holds, and ends the case as not run if it does not in time.
func WaitFor(what string, timeout time.Duration, condition func() bool) {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			Fail("%s: not within %v", what, timeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// IsReset reports whether a connection was ended by its peer without more bytes.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNREFUSED)
}

// Healthy reports whether an object frontend answers its health check.
func Healthy(addr string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// KillBrokers kills the brokers that an agent's log names as started, if they still run. A pid counts only if the
// process's environment names a configuration in this case's temporary folder.
func KillBrokers(c *Case, agent *Process) {
	for _, line := range agent.LogLines("agent: instance started") {
		_, rest, _ := strings.Cut(line, "pid=")
		pid, err := strconv.Atoi(strings.Fields(rest + " ")[0])
		if err != nil {
			continue
		}
		env, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
		if err == nil && strings.Contains(string(env), "LB_CONFIG="+c.Dir+"/") {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}
