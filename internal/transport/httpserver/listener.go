package httpserver

import (
	"net"
	"net/http"
	"time"

	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// admitInterval is how often admit looks again for a connection that may be closed for a new client.
const admitInterval = 20 * time.Millisecond

// blockedAccept is the shortest time of an accept that has waited for a client.
const blockedAccept clock.Micros = 1000

// listener accepts the connections of a server and keeps their number within the limit.
type listener struct {
	net.Listener
	server *Server
	// noneWaitedAt is when no client was waiting to be accepted, as far as is known. All that a client accepted now has sent
	// has arrived since.
	noneWaitedAt clock.Micros
}

// Accept returns the next client once there is room for its connection.
func (l *listener) Accept() (net.Conn, error) {
	begun := l.server.clock.Now()
	nc, err := l.Listener.Accept()
	if now := l.server.clock.Now(); now-begun >= blockedAccept {
		l.noneWaitedAt = now
	}
	if err != nil {
		return nil, err
	}
	c := l.server.admit(nc, l.noneWaitedAt)
	if c == nil {
		_ = nc.Close() // nothing was read from it
		return nil, net.ErrClosed
	}
	return c, nil
}

// admit waits until there is room for another connection and registers it. It returns nil if the server stops accepting
// clients meanwhile. All that the client has sent has arrived after noneWaitedAt.
func (s *Server) admit(nc net.Conn, noneWaitedAt clock.Micros) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.opts.MaxConns > 0 && len(s.conns) >= s.opts.MaxConns && !s.stopped {
		s.makeRoom()
		wake := time.AfterFunc(admitInterval, s.notify) // time alone makes connections count as unused or stalled
		s.changed.Wait()
		wake.Stop()
	}
	if s.stopped {
		return nil
	}
	now := s.clock.Now()
	c := &conn{Conn: nc, server: s, mode: s.mode, stateSince: now, lastReadAt: noneWaitedAt}
	if s.opts.Pacing != nil {
		c.pace = s.opts.Pacing.NewClient(now)
	}
	s.conns[c] = struct{}{}
	return c
}

// makeRoom makes one connection end for a new client: the one that has been idle for longest, or else the one that has waited
// for longest for more of a request. The caller holds mu.
func (s *Server) makeRoom() {
	if idle := s.longestIdle(); idle != nil {
		idle.evict()
		return
	}
	if stalled := s.longestStalled(); stalled != nil {
		stalled.cut()
	}
}

// EvictStalled makes the connection end that has waited for longest for more of a request, and reports whether there is one.
func (s *Server) EvictStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stalled := s.longestStalled()
	if stalled != nil {
		stalled.cut()
	}
	return stalled != nil
}

// longestStalled returns the connection that has waited for longest for more of a request, and for a part of StallTimeout at
// least, or nil if there is none. The caller holds mu.
func (s *Server) longestStalled() *conn {
	var longest *conn
	latest := s.clock.Now() - clock.FromDuration(s.opts.StallTimeout)/4
	for c := range s.conns {
		since, waits := c.waitsSince()
		if waits && since <= latest && socket.Peek(c.Conn) != socket.Readable {
			longest = c
			latest = since
		}
	}
	return longest
}

// longestIdle returns the connection that has been idle for longest, or nil if all are busy or about to end, or if one
// has not reacted to its eviction yet. A connection with unread input is about to carry a request and does not count as
// idle. The caller holds mu.
func (s *Server) longestIdle() *conn {
	var longest *conn
	now := s.clock.Now()
	for c := range s.conns {
		switch c.eviction() {
		case evictionAsked:
			return nil
		case evictionDone:
			continue
		}
		unused := c.state == http.StateNew && now >= c.stateSince+s.opts.UnusedTimeout
		if c.state != http.StateIdle && !unused {
			continue
		}
		if longest != nil && c.stateSince >= longest.stateSince {
			continue
		}
		if socket.Peek(c.Conn) != socket.Readable {
			longest = c
		}
	}
	return longest
}
