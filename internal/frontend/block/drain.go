package block

import (
	"context"
	"sync/atomic"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

// drainCheckInterval is how often Drain checks the connections.
const drainCheckInterval = 20 * time.Millisecond

// drainState is the state of a graceful shutdown.
type drainState struct {
	base   context.Context         // parent context of all requests
	expire context.CancelCauseFunc // cancels base

	deadline       clock.AtomicMicros // when all requests must have been answered; 0 before the drain
	listenerClosed atomic.Bool
	done           chan struct{} // closed when Drain returns
}

// limitDeadline limits a request's deadline to the drain deadline, after which the process may be killed. It returns
// false if the drain deadline has passed.
func (d *drainState) limitDeadline(deadline *clock.Micros, now clock.Micros) bool {
	drainDeadline := d.deadline.Load()
	if drainDeadline == 0 {
		return true
	}
	*deadline = min(*deadline, drainDeadline)
	return now < drainDeadline
}

// Drain shuts the server down gracefully. It continues to accept clients and serve requests for Limits.DrainServeTime,
// because clients learn of a restart late and would have no broker until the next one has started. Without any
// connections, it stops accepting after Limits.DrainAcceptTime. Then it closes the listener, closes each connection as
// soon as it has no pending reply, and returns when no connection is left. All requests are answered within
// Limits.DrainResponseTime of the call, even if their clients would wait longer: the process may be killed after that.
// If ctx is done earlier, Drain returns its error.
func (s *Server) Drain(ctx context.Context) error {
	start := s.clock.Now()
	s.drain.deadline.Store(start + s.lim.DrainResponseTime)
	s.conns.draining.Store(true)
	defer close(s.drain.done)
	expiry := time.AfterFunc(clock.Duration(s.lim.DrainResponseTime), func() { s.drain.expire(core.ErrDeadlineExceeded) })
	defer expiry.Stop()
	for {
		elapsed := s.clock.Now() - start
		if elapsed >= s.lim.DrainServeTime || elapsed >= s.lim.DrainAcceptTime && s.conns.count() == 0 {
			s.closeListener()
		}
		if s.drain.listenerClosed.Load() {
			s.conns.wakeIdle()
			if s.conns.count() == 0 {
				return nil
			}
		}
		select { // conns.freed is not received from here, because freeSlot would miss the signal
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainCheckInterval):
		}
	}
}

// closeListener closes the listener, if Serve has been called.
func (s *Server) closeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // it may be closed already
	}
}
