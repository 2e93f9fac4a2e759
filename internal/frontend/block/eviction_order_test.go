package block

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

// slowToEndConn holds a read that has timed out until it is released.
type slowToEndConn struct {
	net.Conn
	released chan struct{}
}

func (c *slowToEndConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		<-c.released
	}
	return n, err
}

// immediateBroker serves each request at once.
type immediateBroker struct{}

func (immediateBroker) Submit(core.Request[*blockstore.Command]) core.Pending[[]byte] {
	return servedAtOnce{}
}

// Guards against several connections being closed for one new client because the first one is slow to end.
func TestOneConnectionIsEvictedForOneClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConns = 3
		lim := testLimits()
		s := New(immediateBroker{}, testSchema(lim), testOptions(lim, maxConns), clock.New(), lim, slog.New(slog.DiscardHandler))
		listener := &pipeListener{conns: make(chan net.Conn)}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = s.Serve(listener) // returns an error when the listener is closed
		}()
		silentClient, silentServer := net.Pipe()
		silent := &slowToEndConn{silentServer, make(chan struct{})}
		listener.conns <- silent
		var used []net.Conn
		for _, id := range []string{"a", "b"} {
			client, server := net.Pipe()
			listener.conns <- server
			send(client, readCommand(id))
			expectText(t, bufio.NewReader(client), "$1\r\nv\r\n")
			used = append(used, client)
		}
		next, nextServer := net.Pipe()
		go func() { listener.conns <- nextServer }()
		time.Sleep(4 * freeSlotInterval) // the clock of the bubble goes on when all goroutines wait
		if n := closingCount(s); n != 1 {
			t.Errorf("%d connections are closing for one client, want 1", n)
		}
		close(silent.released)
		if _, err := silentClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the silent client got %v, want the end of its connection", err)
		}
		for _, c := range append(used, next) {
			disconnect(c)
		}
		close(listener.conns)
		<-served
	})
}

func closingCount(s *Server) (n int) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for c := range s.conns.conns {
		if c.isClosing() {
			n++
		}
	}
	return n
}
