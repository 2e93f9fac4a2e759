package block

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/testkit/fake"
	"poppyarch/internal/timing/clock"
)

// countingListener counts the bytes that the server has read from its connections.
type countingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*countingConn
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counting := &countingConn{TCPConn: c.(*net.TCPConn)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, counting)
	return counting, nil
}

// wholeCommands returns the number of commands of the given size that the server has read.
func (l *countingListener) wholeCommands(size int) (n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		n += c.bytesRead.Load() / int64(size)
	}
	return n
}

// countingConn counts the bytes that are read until its sending side is closed. Bytes that are read later are discarded,
// and the client knows that no reply follows.
type countingConn struct {
	*net.TCPConn
	bytesRead    atomic.Int64
	writesClosed atomic.Bool
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if !c.writesClosed.Load() {
		c.bytesRead.Add(int64(n))
	}
	return n, err
}

func (c *countingConn) CloseWrite() error {
	c.writesClosed.Store(true)
	return c.TCPConn.CloseWrite()
}

// countingBroker serves each request at once and counts them.
type countingBroker struct {
	servedAtOnce
	submitted atomic.Int64
}

func (b *countingBroker) Submit(core.Request[*blockstore.Command]) core.Pending[[]byte] {
	b.submitted.Add(1)
	return b
}

// Guards against any order of connections, pieces of commands, evictions and a drain in which the server reads a request
// and does not execute it. The orders are random; the check holds for each of them.
func TestDrainExecutesEveryRequestItHasRead(t *testing.T) {
	const (
		seed       = 34
		rounds     = 25
		clients    = 12
		maxConns   = 6
		maxStart   = 8 * time.Millisecond // of a client, and of the drain
		maxRequest = 3                    // sent together by one client
	)
	lim := testLimits()
	lim.DrainServeTime = millisecond
	lim.ClientStallTimeout = 20 * millisecond
	for round := range rounds {
		random := rand.New(rand.NewPCG(seed, uint64(round)))
		ln := &countingListener{Listener: listen(t)}
		broker := &countingBroker{}
		s := New(broker, testSchema(lim), testOptions(lim, maxConns), clock.New(), lim, slog.New(slog.DiscardHandler))
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = s.Serve(ln) // returns an error when the listener is closed
		}()
		var running sync.WaitGroup
		for i := range clients {
			delay := time.Duration(random.Int64N(int64(maxStart)))
			text := pipelinedCommands(i, 1+random.IntN(maxRequest))
			ownRandom := rand.New(rand.NewPCG(seed, uint64(round*clients+i)))
			running.Go(func() { fake.SendInPieces(ln.Addr().String(), text, delay, ownRandom) })
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxStart))))
		if err := s.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		running.Wait()
		<-served
		if read, submitted := ln.wholeCommands(len(readCommand("00-0"))), broker.submitted.Load(); read != submitted {
			t.Errorf("round %d: %d requests were read, %d executed", round, read, submitted)
		}
	}
}

// pipelinedCommands returns the text of requests that a client sends together.
func pipelinedCommands(client, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(readCommand(fmt.Sprintf("%02d-%d", client, i)))
	}
	return text.String()
}
