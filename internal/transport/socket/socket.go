// Package socket looks at connections without taking anything from them.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection's receiving side holds.
type State uint8

// The states.
const (
	Empty    State = iota // nothing has come
	Readable              // bytes are there to be read
	Closed                // the peer has closed, or the connection is broken
)

// Peek tells, without waiting or taking anything, what there is to read. A connection that has no descriptor of its own
// counts as quiet.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Empty
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control and not Read: the latter fails at once where the read deadline has passed.
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

// The states of RFC 9293 that the system counts by, as far as a connection that was accepted can be in them while its peer
// has neither closed nor reset it.
const (
	tcpEstablished = 1
	tcpSynReceived = 3
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// PeerClosed reports whether the peer has closed its side of a connection or reset it. It sees this also where bytes that came
// before are still to be read, which hide the end from Peek.
func PeerClosed(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	state, known := uint8(0), false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state, known = info.State, info.State != 0 // no state has that number
		}
	})
	switch {
	case err != nil:
		return true // closed on this side
	case !known:
		return Peek(c) == Closed
	}
	switch state {
	case tcpEstablished, tcpSynReceived, tcpFinWait1, tcpFinWait2:
		return false
	}
	return true
}

// UnsentBytes is how many bytes were written to a connection that its peer's system has not yet got; ok is false where that is
// not known.
func UnsentBytes(c net.Conn) (n int, ok bool) {
	sc, isRaw := c.(syscall.Conn)
	if !isRaw {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	if raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) != nil || err != nil {
		return 0, false
	}
	return n, true
}
