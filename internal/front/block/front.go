// Package block is the front for the platform's protocol: RESP2 commands by way of redcon.
package block

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/clock"
	"poppyarch/internal/core"
	"poppyarch/internal/limits"
	"poppyarch/internal/node"
)

// Broker is what stands behind this front.
type Broker interface {
	Do(ctx context.Context, r core.Request[*node.Command]) core.Answer[[]byte]
}

// Front serves clients.
//
// redcon calls its handler on the connection's own goroutine. A handler that blocks there until the answer is
// known would not read on: it could neither notice that the client leaves nor start the commands pipelined
// behind. So the first command detaches the connection; its goroutine goes on reading, every request has one of
// its own, and a writer sends the answers in the order of the commands.
type Front struct {
	broker Broker
	names  *Names
	clock  *clock.Clock
	lim    *limits.Limits
	log    *slog.Logger
	most   int // connections

	held     atomic.Int64 // bytes of commands not answered
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*client]struct{}
	gone     chan struct{} // a client connection has ended; holds one
	shut     atomic.Bool   // the listener is closed
	drained  chan struct{} // closed when Drain is over
}

// New returns a front for at most conns clients at once.
func New(b Broker, names *Names, conns int, c *clock.Clock, lim *limits.Limits, log *slog.Logger) *Front {
	return &Front{broker: b, names: names, clock: c, lim: lim, log: log, most: conns, conns: map[*client]struct{}{},
		gone: make(chan struct{}, 1), drained: make(chan struct{})}
}

// client is one connection.
type client struct {
	front *Front
	net   *guarded
	slots chan *slot // answers owed, in order
	since atomic.Int64
	owed  atomic.Int64
	used  atomic.Bool // it has carried a command
}

// slot is the place of one command's answer in the order.
type slot struct {
	answer chan []byte // holds one
	last   bool        // the connection ends behind it
	bytes  int64
}

// Serve accepts clients until the listener is closed.
func (f *Front) Serve(ln net.Listener) error {
	return redcon.Serve(&listener{Listener: ln, front: f}, f.handle, nil, f.closed)
}

// listener wraps each connection and keeps their number within bounds.
type listener struct {
	net.Listener
	front *Front
}

// Accept returns the next client. It outlives passing errors, on which redcon would spin. At the bound it first
// closes the client that has been idle for longest, which costs that client nothing; only where all are busy
// does it wait.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.front.room() // only now that one is there: before, an idle client would make room for nobody
			cl := &client{front: l.front, slots: make(chan *slot, l.front.lim.MaxPipeline)}
			cl.net = &guarded{Conn: c, scan: scanner{lim: l.front.lim}}
			cl.since.Store(l.front.clock.Now())
			l.front.mu.Lock()
			l.front.conns[cl] = struct{}{}
			l.front.mu.Unlock()
			return &wrapped{cl}, nil
		}
		if errors.Is(err, net.ErrClosed) {
			l.front.shut.Store(true)
			if l.front.draining.Load() {
				<-l.front.drained // redcon closes every connection as soon as it hears of this
			}
			return nil, err
		}
		l.front.log.Error("clients: accept failed", "err", err)
		time.Sleep(5 * time.Millisecond)
	}
}

// wrapped is what redcon gets as the connection; the client hangs on it.
type wrapped struct{ *client }

func (w *wrapped) Read(b []byte) (int, error)         { return w.net.Read(b) }
func (w *wrapped) Write(b []byte) (int, error)        { return w.net.Write(b) }
func (w *wrapped) Close() error                       { return w.net.Close() }
func (w *wrapped) LocalAddr() net.Addr                { return w.net.LocalAddr() }
func (w *wrapped) RemoteAddr() net.Addr               { return w.net.RemoteAddr() }
func (w *wrapped) SetDeadline(t time.Time) error      { return w.net.SetDeadline(t) }
func (w *wrapped) SetReadDeadline(t time.Time) error  { return w.net.SetReadDeadline(t) }
func (w *wrapped) SetWriteDeadline(t time.Time) error { return w.net.SetWriteDeadline(t) }

// room returns once another client fits.
func (f *Front) room() {
	for {
		f.mu.Lock()
		n := len(f.conns)
		var idle *client
		if n >= f.most {
			for c := range f.conns {
				if c.owed.Load() == 0 && (idle == nil || c.since.Load() < idle.since.Load()) {
					idle = c
				}
			}
		}
		f.mu.Unlock()
		if n < f.most {
			return
		}
		if idle != nil {
			idle.nudge()
		} else {
			f.log.Warn("clients: all connections busy", "conns", n)
		}
		select {
		case <-f.gone:
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// nudge wakes a client's reader, which then ends if it stands between commands and owes nothing.
func (c *client) nudge() { c.net.SetReadDeadline(time.Unix(1, 0)) }

// closed is redcon's word that it is done with a connection.
func (f *Front) closed(rc redcon.Conn, _ error) {
	w, ok := rc.NetConn().(*wrapped)
	if !ok {
		return
	}
	w.net.Close()
	f.mu.Lock()
	delete(f.conns, w.client)
	f.mu.Unlock()
	select {
	case f.gone <- struct{}{}:
	default:
	}
}

// handle gets a connection's first command and keeps the connection until its end.
func (f *Front) handle(rc redcon.Conn, first redcon.Command) {
	w := rc.NetConn().(*wrapped)
	dc := rc.Detach()
	ctx, cancel := context.WithCancelCause(context.Background())
	var requests, writer sync.WaitGroup
	writer.Go(func() { w.write(cancel) })
	cmd, err := first, error(nil)
	for err == nil {
		if !w.take(ctx, cmd, &requests) {
			break
		}
		cmd, err = w.next(dc)
	}
	switch {
	case errors.Is(err, errProtocol):
		w.put("-ERR "+err.Error()+"\r\n", true)
	case err != nil && !errors.Is(err, errIdle):
		cancel(core.ErrClientLeft) // end of stream or reset
	}
	close(w.slots)
	writer.Wait()
	if errors.Is(err, errProtocol) {
		// Closing with unread input resets the connection and may take the error with it.
		w.net.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		io.CopyN(io.Discard, w.net.Conn, int64(f.lim.MaxMessage))
	}
	cancel(nil)
	requests.Wait()
}

// errIdle ends a connection that the broker no longer wants and that owes nothing.
var errIdle = errors.New("idle")

// next reads the next command. A nudge ends it only between commands, with no answer owed.
func (w *wrapped) next(dc redcon.DetachedConn) (redcon.Command, error) {
	for {
		cmd, err := dc.ReadCommand()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return cmd, err
		}
		if w.owed.Load() == 0 {
			return cmd, errIdle
		}
		// An answer is on its way: look again in a moment.
		w.net.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	}
}

// take starts one command. It reports false where the connection ends behind it.
func (w *wrapped) take(ctx context.Context, cmd redcon.Command, requests *sync.WaitGroup) bool {
	f := w.front
	w.used.Store(true)
	switch strings.ToUpper(string(cmd.Args[0])) {
	case "PING":
		if len(cmd.Args) > 1 {
			w.put("$"+strconv.Itoa(len(cmd.Args[1]))+"\r\n"+string(cmd.Args[1])+"\r\n", false)
		} else {
			w.put("+PONG\r\n", false)
		}
	case "QUIT":
		w.put("+OK\r\n", true)
		return false
	case "BLK.READ", "BLK.WRITE":
		r, err := parse(cmd.Args, f.names, f.clock.Now())
		if err != nil {
			w.put("-ERR "+printable(err.Error())+"\r\n", false)
			break
		}
		size := int64(len(cmd.Raw))
		if f.held.Add(size) > f.lim.MaxBodies {
			f.held.Add(-size)
			w.put("-BUSY\r\n", false) // nothing ran
			break
		}
		s := w.owe()
		requests.Go(func() {
			b := encode(f.broker.Do(ctx, r))
			f.held.Add(-size)
			s.answer <- b
		})
	default:
		w.put("-ERR unknown command\r\n", false)
	}
	return true
}

// owe opens the next place in the order of answers. Where too many are owed it waits, and so does the client.
func (c *client) owe() *slot {
	s := &slot{answer: make(chan []byte, 1)}
	c.owed.Add(1)
	c.slots <- s
	return s
}

// put answers at once, in order.
func (c *client) put(text string, last bool) {
	s := &slot{answer: make(chan []byte, 1), last: last}
	s.answer <- []byte(text)
	c.owed.Add(1)
	c.slots <- s
}

// write sends the answers in the order of their commands. After a failed write the rest is not wanted.
func (w *wrapped) write(cancel context.CancelCauseFunc) {
	broken := false
	for s := range w.slots {
		b := <-s.answer
		if !broken {
			w.net.SetWriteDeadline(time.Now().Add(clock.Duration(w.front.lim.ClientWrite)))
			if _, err := w.net.Write(b); err != nil {
				broken = true
				cancel(core.ErrClientLeft)
				w.net.Close()
			}
		}
		w.since.Store(w.front.clock.Now())
		if w.owed.Add(-1) == 0 && w.front.draining.Load() {
			w.nudge()
		}
		if s.last && !broken {
			if c, ok := w.net.Conn.(interface{ CloseWrite() error }); ok {
				c.CloseWrite()
			}
		}
	}
}

// encode writes an answer. A value goes out byte for byte as its node gave it.
func encode(a core.Answer[[]byte]) []byte {
	switch a.Kind {
	case core.Success:
		b := make([]byte, 0, len(a.Value)+16)
		b = append(strconv.AppendInt(append(b, '$'), int64(len(a.Value)), 10), "\r\n"...)
		return append(append(b, a.Value...), "\r\n"...)
	case core.Refusal:
		if a.Hint > 0 {
			return []byte("-BUSY " + strconv.FormatInt((a.Hint+999)/1000, 10) + "\r\n")
		}
		return []byte("-BUSY\r\n")
	}
	if a.Overdue {
		return []byte("-ERR out of time\r\n")
	}
	return []byte("-ERR failed\r\n")
}

// printable keeps a client's bytes from ending the line of an error.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

// Drain ends clients as soon as they are owed nothing, and returns when the listener is closed and none is left.
// ctx bounds the wait.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	defer close(f.drained)
	for {
		f.mu.Lock()
		n := len(f.conns)
		for c := range f.conns {
			// A client that has only just come is about to ask: closed now, it would come once more and, closed
			// again, give up. It is served as long as new ones are taken.
			if c.owed.Load() == 0 && (c.used.Load() || f.shut.Load()) {
				c.nudge()
			}
		}
		f.mu.Unlock()
		if n == 0 && f.shut.Load() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.gone:
		case <-time.After(20 * time.Millisecond):
		}
	}
}
