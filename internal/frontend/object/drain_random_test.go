package object

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/timing/clock"
)

// countingConn counts the whole requests that the server has read from it. The requests have no bodies.
type countingConn struct {
	*net.TCPConn
	requests *atomic.Int64

	mu   sync.Mutex // net/http reads from two goroutines, one after the other
	tail []byte     // the last bytes of an incomplete request
}

var endOfHead = []byte("\r\n\r\n")

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tail = append(c.tail, b[:n]...)
	for {
		_, rest, found := bytes.Cut(c.tail, endOfHead)
		if !found {
			return n, err
		}
		c.tail = rest
		c.requests.Add(1)
	}
}

// countingListener counts the whole requests that the server has read.
type countingListener struct {
	net.Listener
	requests atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{TCPConn: c.(*net.TCPConn), requests: &l.requests}, nil
}

// sendInPieces writes text in up to three pieces with pauses between them, and ends at an error.
func sendInPieces(w io.Writer, random *rand.Rand, text string) {
	const maxPause = 2 * time.Millisecond
	for range 2 {
		cut := random.IntN(len(text))
		if _, err := io.WriteString(w, text[:cut]); err != nil {
			return
		}
		text = text[cut:]
		time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
	}
	_, _ = io.WriteString(w, text) // the server may have ended the connection
}

// Guards against any order of connections, pieces of requests, evictions and a drain in which the server reads a request
// and does not handle it. The orders are random; the check holds for each of them.
func TestDrainHandlesEveryRequestItHasRead(t *testing.T) {
	const (
		seed       = 34
		rounds     = 25
		clients    = 12
		maxConns   = 6
		maxStart   = 8 * time.Millisecond // of a client, and of the drain
		maxRequest = 3                    // sent together by one client
	)
	cfg, err := config.Parse([]byte(testConfig+drainTuning+"}"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for round := range rounds {
		random := rand.New(rand.NewPCG(seed, uint64(round)))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		counting := &countingListener{Listener: ln}
		broker := newFakeBroker()
		broker.received = make(chan string, clients*maxRequest)
		s := New(broker, cfg, maxConns, clock.New(), slog.New(slog.DiscardHandler))
		served := make(chan error, 1)
		go func() { served <- s.Serve(counting) }()
		var running sync.WaitGroup
		for i := range clients {
			start := time.Duration(random.Int64N(int64(maxStart)))
			requests := 1 + random.IntN(maxRequest)
			ownRandom := rand.New(rand.NewPCG(seed, uint64(round*clients+i)))
			running.Go(func() { runRandomClient(ln.Addr().String(), ownRandom, start, requests) })
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxStart))))
		if err := s.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		running.Wait()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if read, handled := counting.requests.Load(), int64(len(broker.received)); read != handled {
			t.Errorf("round %d: %d requests were read, %d handled", round, read, handled)
		}
	}
}

// runRandomClient sends requests together on one connection and reads until the server ends it. It gives up if the
// server does not accept it.
func runRandomClient(addr string, random *rand.Rand, start time.Duration, requests int) {
	time.Sleep(start)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var text string
	for i := range requests {
		text += fmt.Sprintf("GET /art/%d HTTP/1.1\r\nHost: b\r\n\r\n", i)
	}
	sendInPieces(c, random, text)
	_, _ = io.Copy(io.Discard, c) // ends with the connection
}
