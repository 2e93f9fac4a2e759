package block

import (
	"errors"
	"net"
	"time"

	"poppyarch/internal/timing/clock"
)

// acceptRetryDelay is the delay after a failed accept, for example when the process has no file descriptors left.
const acceptRetryDelay = 5 * time.Millisecond

// blockedAccept is the shortest time of an accept that has waited for a client.
const blockedAccept clock.Micros = 1000

// listener accepts clients and keeps the number of client connections within the limit.
type listener struct {
	net.Listener
	server *Server
	// noneWaitedAt is when no client was waiting to be accepted, as far as is known. All that a client accepted now has sent
	// has arrived since.
	noneWaitedAt clock.Micros
}

// accept returns the next client. It retries after temporary errors. At the connection limit it evicts an idle client, or
// waits if all are busy. It returns an error once the listener is closed and a drain is over.
func (l *listener) accept() (*conn, error) {
	s := l.server
	for {
		begun := s.clock.Now()
		nc, err := l.Accept()
		if now := s.clock.Now(); now-begun >= blockedAccept {
			l.noneWaitedAt = now
		}
		if err == nil {
			s.conns.freeSlot() // after accept: an idle client is evicted only for a client that has connected
			c := newConn(s, nc, l.noneWaitedAt)
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
