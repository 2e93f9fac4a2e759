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

// Wait returns nil once the process has ended, or the error of ctx if ctx is done first. It does not reap the process.
func (i Identity) Wait(ctx context.Context) error {
	fd, err := i.openPidfd()
	if errors.Is(err, ErrExited) {
		return nil
	}
	if err != nil {
		return err
	}
	defer closeDescriptor(fd)
	cancelFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC)
	if err != nil {
		return fmt.Errorf("eventfd: %w", err)
	}
	defer closeDescriptor(cancelFD)
	written := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(written)
		// The write cannot fail: the descriptor stays open until written is closed, and the counter of the eventfd has
		// space.
		_, _ = unix.Write(cancelFD, binary.NativeEndian.AppendUint64(nil, 1))
	})
	defer func() {
		if !stop() {
			<-written
		}
	}()
	ended, err := pollFirst(fd, cancelFD)
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
	// An open pidfd refers to the same process until it is closed, so the result of the comparison stays valid.
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

// closeDescriptor closes a descriptor without buffered data, so that closing it cannot fail.
func closeDescriptor(fd int) { _ = unix.Close(fd) }
