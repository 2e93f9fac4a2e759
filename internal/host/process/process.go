// Package process tells who a process is beyond its pid, which the kernel gives away again, and lets a process be minded
// by another that did not start it. Linux only: it reads /proc and uses pidfds.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrExited says that the process has ended, whoever has its pid now.
var ErrExited = errors.New("process has ended")

// Identity names a process for good: no other on any boot of any machine has the same one.
type Identity struct {
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"start"` // when the kernel started it, in its ticks since boot
	BootID     string `json:"boot"`  // of the machine
}

// Identify identifies a running process.
func Identify(pid int) (Identity, error) {
	start, state, err := stat(pid)
	if err != nil {
		return Identity{}, err
	}
	if state == 'Z' || state == 'X' {
		return Identity{}, ErrExited
	}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return Identity{}, err
	}
	return Identity{PID: pid, StartTicks: start, BootID: strings.TrimSpace(string(boot))}, nil
}

// stat reads a process's start time and state. Its name may hold anything, so fields count from the last ')'.
func stat(pid int) (start uint64, state byte, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			return 0, 0, ErrExited
		}
		return 0, 0, err
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	if len(fields) < 20 {
		return 0, 0, fmt.Errorf("/proc/%d/stat: %d fields", pid, len(fields))
	}
	start, err = strconv.ParseUint(fields[19], 10, 64)
	return start, fields[0][0], err
}

// Handle is a process that is surely the one meant, whatever becomes of its pid.
type Handle struct {
	ID   Identity
	fd   int
	done chan struct{}
}

// Open takes hold of the process that id names, or returns ErrGone.
func Open(id Identity) (*Handle, error) {
	fd, err := unix.PidfdOpen(id.PID, 0)
	if err != nil {
		if errors.Is(err, unix.ESRCH) {
			return nil, ErrExited
		}
		return nil, fmt.Errorf("pidfd: %w", err)
	}
	// Now the pid cannot change its owner under us: if it is still the one that id names, it stays so.
	now, err := Identify(id.PID)
	if err == nil && now != id {
		err = ErrExited
	}
	if err != nil {
		unix.Close(fd)
		return nil, err
	}
	h := &Handle{ID: id, fd: fd, done: make(chan struct{})}
	go h.wait()
	return h, nil
}

// wait closes done when the process has ended. Its parent, if that is us, reaps it elsewhere.
func (h *Handle) wait() {
	defer close(h.done)
	for {
		fds := []unix.PollFd{{Fd: int32(h.fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, -1)
		if err == unix.EINTR {
			continue
		}
		if err != nil || n > 0 {
			unix.Close(h.fd)
			return
		}
	}
}

// Done is closed when the process has ended.
func (h *Handle) Done() <-chan struct{} { return h.done }

// Signal reaches this process or none.
func (h *Handle) Signal(sig syscall.Signal) error {
	select {
	case <-h.done:
		return ErrExited
	default:
	}
	// Through a pidfd of its own: the one above may be closed at any moment.
	fd, err := unix.PidfdOpen(h.ID.PID, 0)
	if err != nil {
		return ErrExited
	}
	defer unix.Close(fd)
	if now, err := Identify(h.ID.PID); err != nil || now != h.ID {
		return ErrExited
	}
	return unix.PidfdSendSignal(fd, sig, nil, 0)
}

// LaunchIDVariable is the environment variable that carries a process's mark.
const LaunchIDVariable = "POPPYARCH_MARK"

// FindByLaunchID looks for the running process whose environment carries a mark: one that was started and whose identity
// was not noted any more.
func FindByLaunchID(mark string) (Identity, bool) {
	want := []byte(LaunchIDVariable + "=" + mark)
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, dir := range dirs {
		env, err := os.ReadFile(filepath.Join(dir, "environ"))
		if err != nil {
			continue // not ours, or gone
		}
		for _, v := range bytes.Split(env, []byte{0}) {
			if bytes.Equal(v, want) {
				if pid, err := strconv.Atoi(filepath.Base(dir)); err == nil {
					if id, err := Identify(pid); err == nil {
						return id, true
					}
				}
			}
		}
	}
	return Identity{}, false
}

// Start runs a command so that it outlives its parent, and reaps it while the parent lives. exited gets its end.
func Start(cmd *exec.Cmd, mark string) (id Identity, exited <-chan error, err error) {
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, LaunchIDVariable+"="+mark)
	// A session of its own: neither the end of the parent nor a signal to its terminal or group reaches it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return Identity{}, nil, err
	}
	ch := make(chan error, 1)
	id, err = Identify(cmd.Process.Pid)
	go func() { ch <- cmd.Wait() }()
	if errors.Is(err, ErrExited) { // it has ended already
		return Identity{PID: cmd.Process.Pid, BootID: "gone"}, ch, nil
	}
	if err != nil {
		cmd.Process.Kill()
		return Identity{}, nil, err
	}
	return id, ch, nil
}

// Uptime tells since when a process runs, by the wall clock; good for showing it, not for deciding by it.
func (i Identity) Uptime() (time.Duration, error) {
	b, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return 0, err
	}
	var up float64
	if _, err := fmt.Sscan(string(b), &up); err != nil {
		return 0, err
	}
	const ticks = 100 // USER_HZ, the same on all Linux platforms that Go runs on
	return time.Duration((up - float64(i.StartTicks)/ticks) * float64(time.Second)), nil
}
