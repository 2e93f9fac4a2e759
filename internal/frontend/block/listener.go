package block

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the pause after a failed accept, as where descriptors run out.
const acceptRetryDelay = 5 * time.Millisecond

// listener accepts clients and keeps the number of their connections within its limit.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next client. It retries after temporary errors, on which redcon would loop. At the limit it evicts
// the client that has been idle for longest; if all are busy it waits.
func (l *listener) Accept() (net.Conn, error) {
	s := l.server
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			s.conns.makeRoom() // after accept: an idle client is closed only for one that is there
			c := newConn(s, nc)
			s.conns.add(c)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			s.drain.listenerClosed.Store(true)
			if s.conns.draining.Load() {
				<-s.drain.done // redcon closes all connections as soon as Accept fails
			}
			return nil, err
		}
		s.log.Error("client accept failed, retrying", "err", err)
		time.Sleep(acceptRetryDelay)
	}
}
