package process

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// CheckRunning returns nil for a running process, and ErrExited for one that has ended.
func (i Identity) CheckRunning() error {
	fd, err := i.openPidfd()
	if err != nil {
		return err
	}
	closeDescriptor(fd)
	return nil
}

// Signal sends a signal to the process, or returns ErrExited.
func (i Identity) Signal(signal syscall.Signal) error {
	fd, err := i.openPidfd()
	if err != nil {
		return err
	}
	defer closeDescriptor(fd)
	return unix.PidfdSendSignal(fd, signal, nil, 0)
}

// Wait returns nil once the process has ended, or the error of ctx once that is done. It does not reap the process.
func (i Identity) Wait(ctx context.Context) error {
	fd, err := i.openPidfd()
	if errors.Is(err, ErrExited) {
		return nil
	}
	if err != nil {
		return err
	}
	defer closeDescriptor(fd)
	cancelled, err := unix.Eventfd(0, unix.EFD_CLOEXEC)
	if err != nil {
		return fmt.Errorf("eventfd: %w", err)
	}
	defer closeDescriptor(cancelled)
	written := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(written)
		// The write cannot fail: the descriptor is open until written is closed, and its counter has space.
		_, _ = unix.Write(cancelled, binary.NativeEndian.AppendUint64(nil, 1))
	})
	defer func() {
		if !stop() {
			<-written
		}
	}()
	ended, err := pollFirst(fd, cancelled)
	if err != nil || ended {
		return err
	}
	return ctx.Err()
}

// pollFirst waits until one of two descriptors is readable, and reports whether the first one is.
func pollFirst(first, second int) (bool, error) {
	fds := []unix.PollFd{
		{Fd: int32(first), Events: unix.POLLIN},
		{Fd: int32(second), Events: unix.POLLIN},
	}
	for {
		_, err := unix.Poll(fds, -1)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return false, fmt.Errorf("poll: %w", err)
		}
		return fds[0].Revents != 0, nil
	}
}

// openPidfd returns a pidfd of the process, or ErrExited.
func (i Identity) openPidfd() (int, error) {
	fd, err := unix.PidfdOpen(i.PID, 0)
	if errors.Is(err, unix.ESRCH) {
		return 0, ErrExited
	}
	if err != nil {
		return 0, fmt.Errorf("pidfd of pid %d: %w", i.PID, err)
	}
	// While the pidfd is open the pid stays with its process, so the comparison holds from now on.
	current, err := Identify(i.PID)
	if err == nil && current != i {
		err = ErrExited
	}
	if err != nil {
		closeDescriptor(fd)
		return 0, err
	}
	return fd, nil
}

// closeDescriptor closes a descriptor that has nothing to flush, so that closing cannot fail.
func closeDescriptor(fd int) { _ = unix.Close(fd) }
