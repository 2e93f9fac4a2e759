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

// closeAll closes connections and listeners. It ignores errors, since they may be closed already.
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

// eventually waits until condition is true, for up to 30 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func TestPeerClosedDetectsACloseBehindUnreadBytes(t *testing.T) {
	for name, closePeer := range map[string]func(*net.TCPConn) error{
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
			t.Errorf("%s: PeerClosed is true before the peer closes the connection", name)
		}
		must(t, closePeer(peer))
		eventually(t, name, func() bool { return PeerClosed(local) })
	}
}

// A half close by this side does not count as a close by the peer; a full close by this side does.
func TestPeerClosedAfterThisSideCloses(t *testing.T) {
	local, _ := newPair(t)
	must(t, local.CloseWrite())
	if PeerClosed(local) {
		t.Error("PeerClosed is true after a half close by this side")
	}
	must(t, local.Close())
	if !PeerClosed(local) {
		t.Error("PeerClosed is false after this side has closed the connection")
	}
}

func TestConnectionWithoutDescriptorHasNoState(t *testing.T) {
	local, peer := net.Pipe()
	must(t, peer.Close())
	if PeerClosed(local) || Peek(local) != Empty {
		t.Error("a closed pipe is not reported as open and empty")
	}
	if _, ok := UnsentBytes(local); ok {
		t.Error("UnsentBytes returned a number for a pipe")
	}
}

func TestUnsentBytesCountsBytesThatDoNotFitThePeersBuffer(t *testing.T) {
	local, peer := newPair(t)
	if n, ok := UnsentBytes(local); n != 0 || !ok {
		t.Errorf("UnsentBytes returned %d, %v before any write, want 0, true", n, ok)
	}
	must(t, peer.SetReadBuffer(4096))
	must(t, local.SetWriteBuffer(4<<20))
	must(t, local.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	if _, err := local.Write(make([]byte, 16<<20)); err == nil {
		t.Error("a write of 16 MiB succeeded although the peer does not read")
	}
	if n, ok := UnsentBytes(local); n == 0 || !ok {
		t.Errorf("UnsentBytes returned %d, %v after a write that the peer does not read", n, ok)
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
			t.Errorf("IsTimeout(%v) = %v, want %v", x.err, got, x.want)
		}
	}
}

// A peer that reads slowly gets all bytes although input is waiting on the connection, of which nothing is read.
func TestAwaitDeliveryWaitsForASlowPeerAndReadsNothing(t *testing.T) {
	local, peer := newPair(t)
	must(t, local.SetWriteBuffer(1<<20))
	must(t, peer.SetReadBuffer(4096))
	sent := make([]byte, 60_000)
	_, err := local.Write(sent)
	must(t, err)
	_, err = io.WriteString(peer, "unread")
	must(t, err)
	eventually(t, "the input", func() bool { return Peek(local) == Readable })
	closed := make(chan State, 1)
	go func() {
		AwaitDelivery(local, 10*time.Second, 30*time.Second)
		closed <- Peek(local)
		closeAll(local)
	}()
	received, err := io.ReadAll(peer)
	if err != nil || len(received) != len(sent) {
		t.Errorf("the peer received %d of %d bytes, then %v", len(received), len(sent), err)
	}
	closeAll(peer)
	if state := <-closed; state != Readable {
		t.Errorf("state %d, want the input unread", state)
	}
}

// A peer that never reads does not hold up the close for longer than the total time.
func TestAwaitDeliveryEndsAtItsTimeout(t *testing.T) {
	local, peer := newPair(t)
	must(t, local.SetWriteBuffer(1<<20))
	must(t, peer.SetReadBuffer(4096))
	_, err := local.Write(make([]byte, 60_000))
	must(t, err)
	AwaitDelivery(local, time.Hour, 20*time.Millisecond)
	AwaitDelivery(local, 20*time.Millisecond, time.Hour)
	if n, ok := UnsentBytes(local); n == 0 || !ok {
		t.Errorf("%d unsent bytes, %v; want some", n, ok)
	}
}
