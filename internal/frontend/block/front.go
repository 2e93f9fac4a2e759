// Package block is the front for the platform's protocol: RESP2 commands by way of redcon.
package block

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// Broker is what stands behind this front.
type Broker interface {
	Handle(ctx context.Context, r core.Request[*blockstore.Command]) core.Response[[]byte]
}

// Server serves clients.
//
// redcon calls its handler on the connection's own goroutine. A handler that blocks there until the answer is
// known would not read on: it could neither notice that the client leaves nor start the commands pipelined
// behind. So the first command detaches the connection; its goroutine goes on reading, every request has one of
// its own, and a writer sends the answers in the order of the commands.
type Server struct {
	broker Broker
	names  *Schema
	clock  *clock.Clock
	lim    *limits.Limits
	log    *slog.Logger
	most   int // connections
	spare  int // connections from which on places are cleared
	keep   int // connections that have carried a request

	base     context.Context // of all requests
	expire   context.CancelCauseFunc
	held     atomic.Int64 // bytes of commands and answers not sent
	draining atomic.Bool
	until    atomic.Int64 // in a drain: all is answered by then
	mu       sync.Mutex
	ln       net.Listener
	conns    map[*client]struct{}
	asked    int                 // of these, how many have carried a request
	ids      map[string]struct{} // of requests that are not answered
	gone     chan struct{}       // a client connection has ended; holds one
	shut     atomic.Bool         // the listener is closed
	drained  chan struct{}       // closed when Drain is over
}

// New returns a front for at most conns clients at once.
func New(b Broker, names *Schema, conns int, c *clock.Clock, lim *limits.Limits, log *slog.Logger) *Server {
	spare := conns - conns/8
	keep := spare
	if lim.ClientIdleConns > 0 {
		keep = min(keep, lim.ClientIdleConns)
	}
	base, expire := context.WithCancelCause(context.Background())
	return &Server{broker: b, names: names, clock: c, lim: lim, log: log, most: conns, spare: spare, keep: keep,
		base: base, expire: expire, conns: map[*client]struct{}{}, ids: map[string]struct{}{}, gone: make(chan struct{}, 1), drained: make(chan struct{})}
}

// Serve accepts clients until the listener is closed.
func (f *Server) Serve(ln net.Listener) error {
	f.mu.Lock()
	f.ln = ln
	f.mu.Unlock()
	return redcon.Serve(&listener{Listener: ln, front: f}, f.handle, nil, f.closed)
}

// closed is redcon's word that it is done with a connection.
func (f *Server) closed(rc redcon.Conn, _ error) {
	w, ok := rc.NetConn().(*wrapped)
	if !ok {
		return
	}
	w.net.Close()
	f.mu.Lock()
	if _, ok := f.conns[w.client]; ok && w.asked.Load() {
		f.asked--
	}
	delete(f.conns, w.client)
	f.mu.Unlock()
	select {
	case f.gone <- struct{}{}:
	default:
	}
}

// Drain goes on serving for a while, since clients hear of a restart late and keep the connections they have: one that
// closes them at once leaves them without a broker until the next is up. Then it closes the listener, ends clients as
// soon as they are owed nothing, and returns when none is left. What was taken is answered by Limits.DrainAnswer, however
// long its client would wait: the process may be killed after that. ctx bounds the wait.
func (f *Server) Drain(ctx context.Context) error {
	began := f.clock.Now()
	f.until.Store(began + f.lim.DrainAnswerTime)
	f.draining.Store(true)
	defer close(f.drained)
	last := time.AfterFunc(clock.Duration(f.lim.DrainAnswerTime), func() { f.expire(core.ErrDeadlineExceeded) })
	defer last.Stop()
	for {
		f.mu.Lock()
		n, passed := len(f.conns), f.clock.Now()-began
		if f.ln != nil && (passed >= f.lim.DrainServeTime || n == 0 && passed >= f.lim.DrainAcceptTime) {
			f.ln.Close()
		}
		for c := range f.conns {
			if f.shut.Load() && c.owed.Load() == 0 {
				c.net.wake()
			}
		}
		f.mu.Unlock()
		if n == 0 && f.shut.Load() {
			return nil
		}
		select { // not on f.gone, which would keep the news from makeRoom
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
