package block

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// handle gets a connection's first command and keeps the connection until its end.
func (f *Server) handle(rc redcon.Conn, first redcon.Command) {
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
		cancel(core.ErrClientDisconnected) // end of stream or reset
	}
	close(w.slots)
	writer.Wait()
	if errors.Is(err, errProtocol) || !errors.Is(context.Cause(ctx), core.ErrClientDisconnected) && w.answerOnItsWay() {
		w.closeGently()
	}
	cancel(nil)
	requests.Wait()
}

// answerOnItsWay reports whether the client's system may still lack a part of the last answer.
func (c *client) answerOnItsWay() bool {
	if n, ok := socket.UnsentBytes(c.net.Conn); ok {
		return n > 0
	}
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
	end := time.Now().Add(clock.Duration(c.front.lim.ClientLingerTimeout))
	buf := make([]byte, 4096)
	for left := c.front.lim.MaxMessageBytes; left > 0 && time.Now().Before(end); {
		c.net.SetReadDeadline(end)
		n, err := c.net.Conn.Read(buf)
		left -= n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // a wake-up ends a read too soon
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
				w.put(string(busy(f.lim.BusyRetryAfter))) // nothing ran, and nothing would come back in time
				break
			}
			r.Deadline = min(r.Deadline, until) // this process may be killed right after
		}
		// What a client wrote before it went is read after it has gone where this process was late or more than one
		// command came at once.
		left := func() bool { return socket.PeerClosed(w.net.Conn) }
		if (!w.asked.Load() || w.owed.Load() > 0) && left() {
			return core.ErrClientDisconnected
		}
		r.ClientGone = left
		s := &slot{id: string(r.Work.RequestID)}
		if !f.open(s.id) {
			w.put("-ERR id: a request of that id is open\r\n")
			break
		}
		if !f.hold(s, int64(len(cmd.Raw))) {
			f.close(s)
			w.put(string(busy(f.lim.BusyRetryAfter))) // nothing ran
			break
		}
		w.owe(s)
		if !w.asked.Swap(true) {
			f.mu.Lock()
			f.asked++
			f.mu.Unlock()
			f.evictSurplus()
		}
		requests.Go(func() {
			b := encode(f.broker.Handle(ctx, r))
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
func (f *Server) open(id string) bool {
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
func (f *Server) hold(s *slot, size int64) bool {
	if f.held.Add(size) > f.lim.MaxBodyBytes {
		f.held.Add(-size)
		return false
	}
	s.bytes.Store(size)
	return true
}

// close forgets a request whose answer is sent.
func (f *Server) close(s *slot) {
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
			w.net.SetWriteDeadline(time.Now().Add(clock.Duration(w.front.lim.ClientWriteTimeout)))
			if _, err := w.net.Write(b); err != nil {
				broken = true
				cancel(core.ErrClientDisconnected)
				w.net.Close()
			}
		}
		w.front.close(s)
		w.since.Store(w.front.clock.Now())
		if w.owed.Add(-1) == 0 {
			if w.front.shut.Load() {
				w.net.wake()
			}
			w.front.evictSurplus() // where all were busy before
		}
	}
}
