package block

import (
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

// pipeListener accepts the connections that are sent on its channel until it is closed.
type pipeListener struct {
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error { return nil }

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowFirstBroker takes its time to accept the first request, and records the order in which it has accepted them.
type slowFirstBroker struct {
	acceptFirst chan struct{} // closed when it may accept the request with the id "a"

	mu       sync.Mutex
	accepted []string // ids
}

func (b *slowFirstBroker) Submit(r core.Request[*blockstore.Command]) core.Pending[[]byte] {
	id := string(r.Work.RequestID)
	if id == "a" {
		<-b.acceptFirst
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accepted = append(b.accepted, id)
	return servedAtOnce{}
}

func (b *slowFirstBroker) order() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.accepted)
}

type servedAtOnce struct{}

func (servedAtOnce) Wait(context.Context) core.Response[[]byte] { return success("v") }

// Guards against commands of one connection that reach the decision module in another order than the client has sent
// them in, so that the last of several writes is lost.
func TestRequestsOfOneConnectionAreSubmittedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &slowFirstBroker{acceptFirst: make(chan struct{})}
		lim := testLimits()
		s := New(b, testSchema(lim), testOptions(lim, 4), clock.New(), lim, slog.New(slog.DiscardHandler))
		client, serverSide := net.Pipe()
		listener := &pipeListener{conns: make(chan net.Conn, 1)}
		listener.conns <- serverSide
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = s.Serve(listener) // returns an error when the listener is closed
		}()
		go send(client, readCommand("a")+readCommand("b")+readCommand("c"))
		synctest.Wait()
		if early := b.order(); len(early) > 0 {
			t.Errorf("%v were submitted before the first request", early)
		}
		close(b.acceptFirst)
		for range 3 {
			if _, err := io.ReadFull(client, make([]byte, len("$1\r\nv\r\n"))); err != nil {
				t.Fatal(err)
			}
		}
		if got := b.order(); !slices.Equal(got, []string{"a", "b", "c"}) {
			t.Errorf("submitted in the order %v", got)
		}
		disconnect(client)
		close(listener.conns)
		<-served
	})
}
