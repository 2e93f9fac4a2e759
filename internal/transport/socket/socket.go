// Package socket inspects connections without reading from them, and closes them without losing sent bytes.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State describes the receiving side of a connection.
type State uint8

// The states.
const (
	Empty    State = iota // nothing to read
	Readable              // bytes to read
	Closed                // nothing to read, and the peer has closed the connection or it is broken
)

// Peek returns the state without blocking. A connection without a file descriptor, such as a pipe, counts as Empty.
func Peek(c net.Conn) State {
	raw, err := rawConn(c)
	if errors.Is(err, errNoDescriptor) {
		return Empty
	}
	if err != nil {
		return Closed
	}
	state := Closed
	// Control is used because Read fails immediately if the read deadline has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Empty
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// The TCP states of an accepted connection that its peer has neither closed nor reset, with their numbers on Linux.
const (
	tcpEstablished = 1
	tcpSynReceived = 3
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// tcpInfo returns what the system knows of a connection. ok is false if it is no TCP connection, or if the system does not
// tell. err is not nil if the connection is closed on this side.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo, ok bool, err error) {
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	ok = err == nil && infoErr == nil && info.State != 0 // 0 is not a TCP state
	return info, ok, err
}

// SinceLastArrival returns how long ago the last bytes have arrived on a connection, or the connection was opened. ok is
// false if that is not known.
func SinceLastArrival(c net.Conn) (since time.Duration, ok bool) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, false
	}
	info, ok, _ := tcpInfo(raw)
	if !ok {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// PeerClosed reports whether the peer has closed or reset a connection, or this side has closed it. Unlike Peek, it
// detects that even while earlier bytes are unread. It returns false for a connection without a file descriptor.
func PeerClosed(c net.Conn) bool {
	raw, err := rawConn(c)
	if err != nil {
		return !errors.Is(err, errNoDescriptor)
	}
	info, ok, err := tcpInfo(raw)
	if err != nil {
		return true // closed on this side
	}
	if !ok {
		return Peek(c) == Closed
	}
	switch info.State {
	case tcpEstablished, tcpSynReceived, tcpFinWait1, tcpFinWait2:
		return false
	}
	return true
}

// UnsentBytes returns the number of bytes that were written to a connection and that the peer's system has not
// acknowledged. ok is false if the number is not known.
func UnsentBytes(c net.Conn) (n int, ok bool) { return queuedBytes(c, unix.SIOCOUTQ) }

// UnreadBytes returns the number of bytes that have arrived on a connection and have not been read. ok is false if the number
// is not known.
func UnreadBytes(c net.Conn) (n int, ok bool) { return queuedBytes(c, unix.SIOCINQ) }

// queuedBytes returns the length of one of the queues of a connection.
func queuedBytes(c net.Conn, request uint) (n int, ok bool) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, false
	}
	var ioctlErr error
	err = raw.Control(func(fd uintptr) {
		n, ioctlErr = unix.IoctlGetInt(int(fd), request)
	})
	if err != nil || ioctlErr != nil {
		return 0, false
	}
	return n, true
}

// MaxUnreadBytes is the size of unread input from which on the end of a connection may be held back at the peer. The receive
// window closes at far fewer bytes than the size of the buffer if they come in small segments.
const MaxUnreadBytes = 4 << 10

// MayHaveEnded reports whether the peer has closed or reset a connection, or may have done so without a way to tell: the end
// of a connection comes behind its input, and cannot come while unread input fills the buffers.
func MayHaveEnded(c net.Conn) bool {
	if PeerClosed(c) {
		return true
	}
	n, ok := UnreadBytes(c)
	return ok && n >= MaxUnreadBytes
}

// IsTimeout reports whether a network operation failed because its deadline has passed.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// errNoDescriptor reports a connection without a file descriptor, such as a pipe.
var errNoDescriptor = errors.New("socket: connection has no file descriptor")

func rawConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}
