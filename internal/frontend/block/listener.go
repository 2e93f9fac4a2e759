package block

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the delay after a failed accept, for example when the process has no file descriptors left.
const acceptRetryDelay = 5 * time.Millisecond

// listener accepts clients and keeps the number of client connections within the limit.
type listener struct {
	net.Listener
	server *Server
}

// accept returns the next client. It retries after temporary errors. At the connection limit it evicts an idle client, or
// waits if all are busy. It returns an error once the listener is closed and a drain is over.
func (l *listener) accept() (*conn, error) {
	s := l.server
	for {
		nc, err := l.Accept()
		if err == nil {
			s.conns.freeSlot() // after accept: an idle client is evicted only for a client that has connected
			c := newConn(s, nc)
			s.conns.add(c)
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			s.drain.listenerClosed.Store(true)
			if s.conns.draining.Load() {
				<-s.drain.done // clients are served until then
			}
			return nil, err
		}
		s.log.Error("client accept failed, retrying", "err", err)
		time.Sleep(acceptRetryDelay)
	}
}
