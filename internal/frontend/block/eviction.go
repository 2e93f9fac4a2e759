package block

import "time"

// crowded reports whether descriptors for clients run short.
func (f *Server) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) > f.most/2
}

// evictionRank orders clients by how little it costs to close them: those that got their error or have not said a word for
// some time, those that have stopped within a command, those that have only connected or said PING, those between two
// requests, those that are far too slow within a command. All others stay, and so do those told to go a moment ago, which
// would be waited for in vain where something has come from them meanwhile.
func (c *client) evictionRank(now int64) int {
	switch {
	case c.owed.Load() > 0, c.closing():
		return notEvictable
	case c.net.over.Load(), c.last.Load() == 0 && now >= c.came+c.front.lim.ClientStallTimeout/4:
		return 0
	case c.stalled(now, true):
		return 1
	case c.tooSlow(now):
		return slow
	case c.mid.Load():
		return notEvictable
	case !c.asked.Load():
		return 2
	}
	return between
}

const (
	between      = 3 // two requests
	slow         = 4 // within a command
	notEvictable = 5
)

// evictable is the client whose end costs least, the longest quiet one first, among those of ranks from least to under
// most; nil: none. The caller holds mu.
func (f *Server) evictable(least, most int) *client {
	var idle *client
	now, rank, since := f.clock.Now(), most, int64(0)
	for c := range f.conns {
		r, q := c.evictionRank(now), c.quietSince()
		if r >= least && (r < rank || r == rank && idle != nil && q < since) {
			idle, rank, since = c, r, q
		}
	}
	return idle
}

// makeRoom returns once another client fits. It begins to clear places while some are left: with each client waiting for
// another to go, they stood in line for seconds. In a drain those that have asked stay as long as they can: they are
// all that clients have left.
func (f *Server) makeRoom() {
	for {
		f.mu.Lock()
		n := len(f.conns)
		most := notEvictable
		if f.draining.Load() && n < f.most {
			most = between
		}
		var idle *client
		if n >= f.spare {
			idle = f.evictable(0, most)
		}
		f.mu.Unlock()
		if idle != nil {
			idle.net.wake()
		}
		if n < f.most {
			return
		}
		if idle == nil && !f.anyClosing() {
			f.log.Warn("clients: all connections busy", "conns", n)
		}
		select {
		case <-f.gone:
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// anyClosing reports whether some client has been told to go and is not gone yet.
func (f *Server) anyClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.closing() {
			return true
		}
	}
	return false
}

// evictSurplus ends the longest idle clients that have asked until as many are left as may be kept. Clients that ask once and
// stay use up what all clients together may hold for requests, and then cannot even connect; so one end for each that
// comes is not enough: nobody would come any more to bring the number down. Connections that carry no request do not
// count there, and must not push out those that do.
func (f *Server) evictSurplus() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asked <= f.keep || f.draining.Load() {
		return
	}
	over := f.asked - f.keep
	for c := range f.conns {
		if c.asked.Load() && c.closing() {
			over--
		}
	}
	for ; over > 0; over-- {
		idle := f.evictable(between, slow)
		if idle == nil {
			return
		}
		idle.net.wake()
	}
}
