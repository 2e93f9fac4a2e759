package block

import (
	"errors"
	"net"
	"time"
)

// listener wraps each connection and keeps their number within bounds.
type listener struct {
	net.Listener
	front *Server
}

// Accept returns the next client. It outlives passing errors, on which redcon would spin. At the bound it first
// closes the client that has been idle for longest, which costs that client nothing; only where all are busy
// does it wait.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.front.makeRoom() // only now that one is there: before, an idle client would make room for nobody
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
