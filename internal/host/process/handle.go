package process

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// Handle refers to one process, whatever becomes of its pid. Its goroutine ends with the process.
type Handle struct {
	ID   Identity
	fd   int // pidfd; closed with done
	done chan struct{}
}

// Open returns a handle of a running process, or ErrExited.
func Open(id Identity) (*Handle, error) {
	fd, err := openPidfd(id)
	if err != nil {
		return nil, err
	}
	h := &Handle{ID: id, fd: fd, done: make(chan struct{})}
	go h.waitForExit()
	return h, nil
}

// openPidfd returns a pidfd of the process, or ErrExited.
func openPidfd(id Identity) (int, error) {
	fd, err := unix.PidfdOpen(id.PID, 0)
	if errors.Is(err, unix.ESRCH) {
		return 0, ErrExited
	}
	if err != nil {
		return 0, fmt.Errorf("pidfd of pid %d: %w", id.PID, err)
	}
	// While the pidfd is open the pid stays with its process, so the comparison holds from now on.
	current, err := Identify(id.PID)
	if err == nil && current != id {
		err = ErrExited
	}
	if err != nil {
		closePidfd(fd)
		return 0, err
	}
	return fd, nil
}

// closePidfd closes a pidfd, which has nothing to flush that could fail.
func closePidfd(fd int) { _ = unix.Close(fd) }

// waitForExit closes done once the process has ended. It does not reap the process.
func (h *Handle) waitForExit() {
	defer close(h.done)
	defer closePidfd(h.fd)
	for {
		fds := []unix.PollFd{{Fd: int32(h.fd), Events: unix.POLLIN}}
		ready, err := unix.Poll(fds, -1)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil || ready > 0 {
			return
		}
	}
}

// Done is closed once the process has ended.
func (h *Handle) Done() <-chan struct{} { return h.done }

// Signal sends a signal to the process, or returns ErrExited.
func (h *Handle) Signal(signal syscall.Signal) error {
	select {
	case <-h.done:
		return ErrExited
	default:
	}
	// It uses a pidfd of its own, as that of the handle may be closed at any moment.
	fd, err := openPidfd(h.ID)
	if err != nil {
		return ErrExited
	}
	defer closePidfd(fd)
	return unix.PidfdSendSignal(fd, signal, nil, 0)
}
