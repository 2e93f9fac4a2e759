// Package process starts brokers as processes, and identifies and controls processes that another program has started.
// A pid is not enough to identify a process, since the kernel reuses it. The package needs Linux, for /proc and pidfds.
package process

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
)

// LaunchIDVariable is the environment variable that carries the launch id of a process.
const LaunchIDVariable = "POPPYARCH_MARK"

// FindByLaunchID returns the running process that was started with a launch id, and whether there is one.
func FindByLaunchID(launchID string) (Identity, bool) {
	variable := []byte(LaunchIDVariable + "=" + launchID)
	dirs, _ := filepath.Glob("/proc/[0-9]*") // the pattern is valid
	for _, dir := range dirs {
		pid, err := strconv.Atoi(filepath.Base(dir))
		if err != nil || !hasVariable(dir, variable) {
			continue
		}
		if id, err := Identify(pid); err == nil {
			return id, true
		}
	}
	return Identity{}, false
}

// hasVariable reports whether the environment of a process contains variable, in the form KEY=VALUE. dir is the
// directory of the process in /proc. It returns false if the process has ended or access to its environment is denied.
func hasVariable(dir string, variable []byte) bool {
	environ, err := os.ReadFile(filepath.Join(dir, "environ"))
	if err != nil {
		return false
	}
	for v := range bytes.SplitSeq(environ, []byte{0}) {
		if bytes.Equal(v, variable) {
			return true
		}
	}
	return false
}

// endedBootID is the boot id in the identity of a process that ended before it could be identified. No running process
// has this boot id.
const endedBootID = "gone"

// Start starts a command as a process that outlives its parent and that FindByLaunchID finds. While the parent runs, it
// reaps the process; exited then receives the result of the process once.
func Start(cmd *exec.Cmd, launchID string) (id Identity, exited <-chan error, err error) {
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, LaunchIDVariable+"="+launchID)
	// In a separate session the process does not receive signals to the parent's terminal or process group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return Identity{}, nil, err
	}
	result := make(chan error, 1)
	id, err = Identify(cmd.Process.Pid)
	go func() { result <- cmd.Wait() }() // this goroutine ends when the process does
	if errors.Is(err, ErrExited) {
		return Identity{PID: cmd.Process.Pid, BootID: endedBootID}, result, nil
	}
	if err != nil {
		_ = cmd.Process.Kill() // fails only if the process has ended
		return Identity{}, nil, err
	}
	return id, result, nil
}

// StartBound starts a command as a process that gets SIGTERM when its parent dies. exited receives the result of the
// process once.
func StartBound(cmd *exec.Cmd) (exited <-chan error, err error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	started := make(chan error)
	result := make(chan error, 1)
	go func() { // this goroutine ends when the process does
		// The kernel sends SIGTERM when the thread that started the process ends, so the goroutine keeps its thread.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			result <- cmd.Wait()
		}
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	return result, nil
}
