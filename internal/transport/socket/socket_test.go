package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

// pair is both ends of a connection over loopback.
func pair(t *testing.T) (here, peer *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close(); out.Close() })
	return in.(*net.TCPConn), out.(*net.TCPConn)
}

// eventually waits for what the system has yet to deliver.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came: " + what)
		}
	}
}

// An end is seen behind bytes that are still to be read, whether the peer closes, half closes or resets.
func TestLeftBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		here, peer := pair(t)
		io.WriteString(peer, "unread")
		eventually(t, "the bytes", func() bool { return Peek(here) == Readable })
		if PeerClosed(here) {
			t.Errorf("%s: the peer is there", name)
		}
		end(peer)
		eventually(t, name, func() bool { return PeerClosed(here) })
	}
}

// This side's own half close is no sign of the peer's, and a connection that is closed here has nobody at its other end.
func TestLeftAfterOwnClose(t *testing.T) {
	here, _ := pair(t)
	here.CloseWrite()
	if PeerClosed(here) {
		t.Error("the peer is there after a half close of this side")
	}
	here.Close()
	if !PeerClosed(here) {
		t.Error("nobody is at the other end of a closed connection")
	}
}

// A connection without a descriptor tells nothing.
func TestConnectionsWithoutDescriptor(t *testing.T) {
	here, peer := net.Pipe()
	peer.Close()
	if PeerClosed(here) || Peek(here) != Empty {
		t.Error("a pipe has no state of its own")
	}
	if _, ok := UnsentBytes(here); ok {
		t.Error("nor a count of bytes")
	}
}

// What the peer's system has no room for is counted.
func TestUnsent(t *testing.T) {
	here, peer := pair(t)
	if n, ok := UnsentBytes(here); n != 0 || !ok {
		t.Errorf("%d bytes, %v, before anything was written", n, ok)
	}
	peer.SetReadBuffer(4096)
	here.SetWriteBuffer(4 << 20)
	here.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	here.Write(make([]byte, 16<<20)) // more than both sides hold
	if n, ok := UnsentBytes(here); n == 0 || !ok {
		t.Errorf("%d bytes, %v, of 16 MiB that nobody reads", n, ok)
	}
}
