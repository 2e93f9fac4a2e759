package object

import (
	"bytes"
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

	"poppyarch/internal/broker/config"
	"poppyarch/internal/testkit/fake"
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
		s := New(broker, cfg, testOptions(cfg, maxConns), clock.New(), slog.New(slog.DiscardHandler))
		served := make(chan error, 1)
		go func() { served <- s.Serve(counting) }()
		var running sync.WaitGroup
		for i := range clients {
			delay := time.Duration(random.Int64N(int64(maxStart)))
			text := pipelinedRequests(1 + random.IntN(maxRequest))
			ownRandom := rand.New(rand.NewPCG(seed, uint64(round*clients+i)))
			running.Go(func() { fake.SendInPieces(ln.Addr().String(), text, delay, ownRandom) })
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

// pipelinedRequests returns the text of requests that a client sends together.
func pipelinedRequests(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "GET /art/%d HTTP/1.1\r\nHost: b\r\n\r\n", i)
	}
	return text.String()
}
