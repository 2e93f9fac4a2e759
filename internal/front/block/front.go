// Package block is the front for the platform's protocol: RESP2 commands by way of redcon.
package block

import (
	"context"
	"errors"
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
	"poppyarch/internal/socket"
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
func New(b Broker, names *Names, conns int, c *clock.Clock, lim *limits.Limits, log *slog.Logger) *Front {
	spare := conns - conns/8
	keep := spare
	if lim.ClientKeep > 0 {
		keep = min(keep, lim.ClientKeep)
	}
	base, expire := context.WithCancelCause(context.Background())
	return &Front{broker: b, names: names, clock: c, lim: lim, log: log, most: conns, spare: spare, keep: keep,
		base: base, expire: expire, conns: map[*client]struct{}{}, ids: map[string]struct{}{}, gone: make(chan struct{}, 1), drained: make(chan struct{})}
}

// Serve accepts clients until the listener is closed.
func (f *Front) Serve(ln net.Listener) error {
	f.mu.Lock()
	f.ln = ln
	f.mu.Unlock()
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
			cl := &client{front: l.front, slots: make(chan *slot, l.front.lim.MaxPipeline), came: l.front.clock.Now()}
			cl.net = &guarded{Conn: c, scan: scanner{lim: l.front.lim}, patient: cl, clock: l.front.clock}
			cl.since.Store(cl.came)
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

// crowded reports whether descriptors for clients run short.
func (f *Front) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) > f.most/2
}

// rank orders clients by how little it costs to close them: those that got their error or have not said a word for
// some time, those that have stopped within a command, those that have only connected or said PING, those between two
// requests. All others stay, and so do those told to go a moment ago, which would be waited for in vain where something
// has come from them meanwhile.
func (c *client) rank(now int64) int {
	switch {
	case c.owed.Load() > 0, c.leaving():
		return stays
	case c.net.over.Load(), c.last.Load() == 0 && now >= c.came+c.front.lim.ClientStall/4:
		return 0
	case c.stalled(now, true):
		return 1
	case c.mid.Load():
		return stays
	case !c.asked.Load():
		return 2
	}
	return between
}

const (
	between = 3 // two requests
	stays   = 4
)

// idlest is the client whose end costs least, the longest quiet one first, among those of ranks from least to under
// most; nil: none. The caller holds mu.
func (f *Front) idlest(least, most int) *client {
	var idle *client
	now, rank, since := f.clock.Now(), most, int64(0)
	for c := range f.conns {
		r, q := c.rank(now), c.quietSince()
		if r >= least && (r < rank || r == rank && idle != nil && q < since) {
			idle, rank, since = c, r, q
		}
	}
	return idle
}

// room returns once another client fits. It begins to clear places while some are left: with each client waiting for
// another to go, they stood in line for seconds. In a drain those that have asked stay as long as they can: they are
// all that clients have left.
func (f *Front) room() {
	for {
		f.mu.Lock()
		n := len(f.conns)
		most := stays
		if f.draining.Load() && n < f.most {
			most = between
		}
		var idle *client
		if n >= f.spare {
			idle = f.idlest(0, most)
		}
		f.mu.Unlock()
		if idle != nil {
			idle.net.nudge()
		}
		if n < f.most {
			return
		}
		if idle == nil && !f.anyLeaving() {
			f.log.Warn("clients: all connections busy", "conns", n)
		}
		select {
		case <-f.gone:
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// anyLeaving reports whether some client has been told to go and is not gone yet.
func (f *Front) anyLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.leaving() {
			return true
		}
	}
	return false
}

// trim ends the longest idle clients that have asked until as many are left as may be kept. Clients that ask once and
// stay use up what all clients together may hold for requests, and then cannot even connect; so one end for each that
// comes is not enough: nobody would come any more to bring the number down. Connections that carry no request do not
// count there, and must not push out those that do.
func (f *Front) trim() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asked <= f.keep || f.draining.Load() {
		return
	}
	over := f.asked - f.keep
	for c := range f.conns {
		if c.asked.Load() && c.leaving() {
			over--
		}
	}
	for ; over > 0; over-- {
		idle := f.idlest(between, stays)
		if idle == nil {
			return
		}
		idle.net.nudge()
	}
}

// closed is redcon's word that it is done with a connection.
func (f *Front) closed(rc redcon.Conn, _ error) {
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

// handle gets a connection's first command and keeps the connection until its end.
func (f *Front) handle(rc redcon.Conn, first redcon.Command) {
	w := rc.NetConn().(*wrapped)
	dc := rc.Detach()
	ctx, cancel := context.WithCancelCause(w.front.base)
	var requests, writer sync.WaitGroup
	writer.Go(func() { w.write(cancel) })
	cmd, err := first, error(nil)
	for err == nil {
		if err = w.take(ctx, cmd, &requests); err == nil {
			cmd, err = dc.ReadCommand()
		}
	}
	switch {
	case errors.Is(err, errProtocol):
		w.put("-ERR " + err.Error() + "\r\n")
	case !errors.Is(err, errIdle) && !errors.Is(err, errQuit):
		cancel(core.ErrClientLeft) // end of stream or reset
	}
	close(w.slots)
	writer.Wait()
	if !errors.Is(context.Cause(ctx), core.ErrClientLeft) && w.answeredLately() {
		w.closeGently()
	}
	cancel(nil)
	requests.Wait()
}

// answeredLately reports whether the client may still be taking its last answer.
func (c *client) answeredLately() bool {
	return c.front.clock.Now()-c.since.Load() < lateAnswer
}

// lateAnswer is for how long an answer that was written may not have reached its client, in microseconds.
const lateAnswer = 1_000_000

// closeGently ends this side of the connection and waits a moment for the client to end its own. Closing over unread input
// resets the connection, and what the client has not yet taken of its answers goes with it. What it sends meanwhile has
// crossed the end of the connection and is dropped: the client asks again elsewhere.
func (c *client) closeGently() {
	if half, ok := c.net.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	end := time.Now().Add(clock.Duration(c.front.lim.ClientLinger))
	buf := make([]byte, 4096)
	for left := c.front.lim.MaxMessage; left > 0 && time.Now().Before(end); {
		c.net.SetReadDeadline(end)
		n, err := c.net.Conn.Read(buf)
		left -= n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // a nudge ends a read too soon
			return
		}
	}
}

// errQuit ends a connection at its client's wish, behind the answers owed.
var errQuit = errors.New("quit")

// take starts one command. An error says that the connection ends behind it.
func (w *wrapped) take(ctx context.Context, cmd redcon.Command, requests *sync.WaitGroup) error {
	f := w.front
	switch strings.ToUpper(string(cmd.Args[0])) {
	case "PING":
		if len(cmd.Args) > 1 {
			w.put("$" + strconv.Itoa(len(cmd.Args[1])) + "\r\n" + string(cmd.Args[1]) + "\r\n")
		} else {
			w.put("+PONG\r\n")
		}
	case "QUIT":
		w.put("+OK\r\n")
		return errQuit
	case "BLK.READ", "BLK.WRITE":
		r, err := parse(cmd.Args, f.names, f.clock.Now())
		if err != nil {
			w.put("-ERR " + printable(err.Error()) + "\r\n")
			break
		}
		if until := f.until.Load(); until > 0 {
			if f.clock.Now() >= until {
				w.put(string(busy(f.lim.BusyHint))) // nothing ran, and nothing would come back in time
				break
			}
			r.Due = min(r.Due, until) // this process may be killed right after
		}
		// What a client wrote before it went is read after it has gone where this process was late or more than one
		// command came at once.
		left := func() bool { return socket.Left(w.net.Conn) }
		if left() {
			return core.ErrClientLeft
		}
		r.Left = left
		s := &slot{id: string(r.Work.ID)}
		if !f.open(s.id) {
			w.put("-ERR id: a request of that id is open\r\n")
			break
		}
		if !f.hold(s, int64(len(cmd.Raw))) {
			f.close(s)
			w.put(string(busy(f.lim.BusyHint))) // nothing ran
			break
		}
		w.owe(s)
		if !w.asked.Swap(true) {
			f.mu.Lock()
			f.asked++
			f.mu.Unlock()
			f.trim()
		}
		requests.Go(func() {
			b := encode(f.broker.Do(ctx, r))
			s.bytes.Add(int64(len(b)))
			f.held.Add(int64(len(b)))
			s.answer <- b
		})
	default:
		w.put("-ERR unknown command\r\n")
	}
	return nil
}

// open notes a request's id until its answer is sent, or reports that another request has it. Nodes answer by id: a
// second request under an open one's would get the other's answer or spoil it.
func (f *Front) open(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.ids[id]; ok {
		return false
	}
	f.ids[id] = struct{}{}
	return true
}

// hold counts a request's bytes until its answer is sent, or reports that there are too many. Answers that clients are
// slow to take count too.
func (f *Front) hold(s *slot, size int64) bool {
	if f.held.Add(size) > f.lim.MaxBodies {
		f.held.Add(-size)
		return false
	}
	s.bytes.Store(size)
	return true
}

// close forgets a request whose answer is sent.
func (f *Front) close(s *slot) {
	f.held.Add(-s.bytes.Load())
	if s.id != "" {
		f.mu.Lock()
		delete(f.ids, s.id)
		f.mu.Unlock()
	}
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
		w.front.close(s)
		w.since.Store(w.front.clock.Now())
		if w.owed.Add(-1) == 0 {
			if w.front.shut.Load() {
				w.net.nudge()
			}
			w.front.trim() // where all were busy before
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
		return busy(a.Hint)
	}
	if a.Overdue {
		return []byte("-ERR out of time\r\n")
	}
	return []byte("-ERR failed\r\n")
}

// busy is a refusal that says when to come back, in whole milliseconds.
func busy(hint int64) []byte {
	if hint <= 0 {
		return []byte("-BUSY\r\n")
	}
	return []byte("-BUSY " + strconv.FormatInt((hint+999)/1000, 10) + "\r\n")
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

// Drain goes on serving for a while, since clients hear of a restart late and keep the connections they have: one that
// closes them at once leaves them without a broker until the next is up. Then it closes the listener, ends clients as
// soon as they are owed nothing, and returns when none is left. What was taken is answered by Limits.DrainAnswer, however
// long its client would wait: the process may be killed after that. ctx bounds the wait.
func (f *Front) Drain(ctx context.Context) error {
	began := f.clock.Now()
	f.until.Store(began + f.lim.DrainAnswer)
	f.draining.Store(true)
	defer close(f.drained)
	last := time.AfterFunc(clock.Duration(f.lim.DrainAnswer), func() { f.expire(core.ErrDue) })
	defer last.Stop()
	for {
		f.mu.Lock()
		n, passed := len(f.conns), f.clock.Now()-began
		if f.ln != nil && (passed >= f.lim.DrainServe || n == 0 && passed >= f.lim.DrainAccept) {
			f.ln.Close()
		}
		for c := range f.conns {
			if f.shut.Load() && c.owed.Load() == 0 {
				c.net.nudge()
			}
		}
		f.mu.Unlock()
		if n == 0 && f.shut.Load() {
			return nil
		}
		select { // not on f.gone, which would keep the news from room
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
