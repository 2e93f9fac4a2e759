// Package process identifies processes beyond their pid, which the kernel gives to another process later, starts brokers as
// processes, and controls processes that another program has started. It needs Linux, for /proc and pidfds.
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

// FindByLaunchID returns the running process that was started with a launch id.
func FindByLaunchID(launchID string) (Identity, bool) {
	wanted := []byte(LaunchIDVariable + "=" + launchID)
	dirs, _ := filepath.Glob("/proc/[0-9]*") // the pattern is valid
	for _, dir := range dirs {
		pid, err := strconv.Atoi(filepath.Base(dir))
		if err != nil || !hasVariable(dir, wanted) {
			continue
		}
		if id, err := Identify(pid); err == nil {
			return id, true
		}
	}
	return Identity{}, false
}

// hasVariable reports whether the process of a folder in /proc has an environment variable. It returns false for a process
// that has ended or whose environment may not be read.
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

// endedBootID is the boot id of a process that had ended before it could be identified. No process has it.
const endedBootID = "gone"

// Start starts a command as a process that outlives its parent, and that FindByLaunchID finds. While the parent lives it
// reaps the process, and exited receives its result once.
func Start(cmd *exec.Cmd, launchID string) (id Identity, exited <-chan error, err error) {
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, LaunchIDVariable+"="+launchID)
	// In a session of its own it gets no signal to the parent's terminal or process group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return Identity{}, nil, err
	}
	result := make(chan error, 1)
	id, err = Identify(cmd.Process.Pid)
	go func() { result <- cmd.Wait() }() // it ends with the process
	if errors.Is(err, ErrExited) {
		return Identity{PID: cmd.Process.Pid, BootID: endedBootID}, result, nil
	}
	if err != nil {
		_ = cmd.Process.Kill() // fails only where it has ended
		return Identity{}, nil, err
	}
	return id, result, nil
}

// StartBound starts a command as a process that gets SIGTERM when its parent dies. exited receives its result once.
func StartBound(cmd *exec.Cmd) (exited <-chan error, err error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	started := make(chan error)
	result := make(chan error, 1)
	go func() { // it ends with the process
		// The kernel sends the signal when the thread that started the process ends, so that thread must stay.
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
