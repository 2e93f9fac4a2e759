package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// newPair returns both ends of a loopback connection.
func newPair(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(ln)
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(in, out) })
	return in.(*net.TCPConn), out.(*net.TCPConn)
}

// closeAll closes what may be closed already.
func closeAll(closers ...io.Closer) {
	for _, c := range closers {
		_ = c.Close()
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// eventually waits for what the system has yet to deliver.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func TestPeerClosedDetectsTheEndBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half close": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error {
			return errors.Join(c.SetLinger(0), c.Close())
		},
	} {
		local, peer := newPair(t)
		_, err := io.WriteString(peer, "unread")
		must(t, err)
		eventually(t, "the bytes", func() bool { return Peek(local) == Readable })
		if PeerClosed(local) {
			t.Errorf("%s: the peer counts as closed before", name)
		}
		must(t, end(peer))
		eventually(t, name, func() bool { return PeerClosed(local) })
	}
}

// This side's half close does not count as the peer's; a connection that this side has closed has no peer.
func TestPeerClosedAfterThisSideCloses(t *testing.T) {
	local, _ := newPair(t)
	must(t, local.CloseWrite())
	if PeerClosed(local) {
		t.Error("the peer counts as closed after a half close of this side")
	}
	must(t, local.Close())
	if !PeerClosed(local) {
		t.Error("the peer of a closed connection does not count as closed")
	}
}

func TestConnectionWithoutDescriptorHasNoState(t *testing.T) {
	local, peer := net.Pipe()
	must(t, peer.Close())
	if PeerClosed(local) || Peek(local) != Empty {
		t.Error("a pipe has a state of its own")
	}
	if _, ok := UnsentBytes(local); ok {
		t.Error("a pipe has a count of bytes")
	}
}

func TestUnsentBytesCountsWhatThePeerHasNoRoomFor(t *testing.T) {
	local, peer := newPair(t)
	if n, ok := UnsentBytes(local); n != 0 || !ok {
		t.Errorf("%d bytes, %v, before anything was written", n, ok)
	}
	must(t, peer.SetReadBuffer(4096))
	must(t, local.SetWriteBuffer(4<<20))
	must(t, local.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	if _, err := local.Write(make([]byte, 16<<20)); err == nil {
		t.Error("both sides hold 16 MiB")
	}
	if n, ok := UnsentBytes(local); n == 0 || !ok {
		t.Errorf("%d bytes, %v, of 16 MiB that nobody reads", n, ok)
	}
}

func TestIsTimeout(t *testing.T) {
	for _, x := range []struct {
		err  error
		want bool
	}{
		{os.ErrDeadlineExceeded, true},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, true},
		{context.DeadlineExceeded, true},
		{io.EOF, false},
		{nil, false},
	} {
		if got := IsTimeout(x.err); got != x.want {
			t.Errorf("%v: %v", x.err, got)
		}
	}
}
