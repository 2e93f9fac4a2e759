package httpserver

import (
	"net"
	"net/http"

	"poppyarch/internal/transport/socket"
)

// listener accepts the connections of a server and keeps their number within the limit.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next client once there is room for its connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := l.server.admit(nc)
	if c == nil {
		_ = nc.Close() // nothing was read from it
		return nil, net.ErrClosed
	}
	return c, nil
}

// admit waits until there is room for another connection and registers it. It returns nil if the server stops accepting
// clients meanwhile.
func (s *Server) admit(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.opts.MaxConns > 0 && len(s.conns) >= s.opts.MaxConns && !s.stopped {
		if idle := s.longestIdle(); idle != nil {
			idle.evict()
		}
		s.changed.Wait()
	}
	if s.stopped {
		return nil
	}
	c := &conn{Conn: nc, server: s, mode: s.mode, stateSince: s.clock.Now()}
	s.conns[c] = struct{}{}
	return c
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
