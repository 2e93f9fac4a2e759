// Package socket looks at connections without taking anything from them.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// State is what a connection's receiving side holds.
type State uint8

// The states.
const (
	Quiet State = iota // nothing has come
	Data               // bytes are there to be read
	Ended              // the peer has closed, or the connection is broken
)

// Peek tells, without waiting or taking anything, what there is to read. A connection that has no descriptor of its own
// counts as quiet.
func Peek(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	// Control and not Read: the latter fails at once where the read deadline has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Data
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
