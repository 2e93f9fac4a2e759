package block

import (
	"context"
	"sync/atomic"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

// drainCheckInterval is how often Drain looks at the connections.
const drainCheckInterval = 20 * time.Millisecond

// drainState is how far a graceful shutdown has come.
type drainState struct {
	base   context.Context // of all requests
	expire context.CancelCauseFunc

	deadline       clock.AtomicMicros // when all requests must be answered; 0 before the drain
	listenerClosed atomic.Bool
	done           chan struct{} // closed when Drain returns
}

// limitDeadline brings a request's deadline forward to that of the drain, after which the process may be killed. It
// reports false if that has passed.
func (d *drainState) limitDeadline(deadline *clock.Micros, now clock.Micros) bool {
	drainDeadline := d.deadline.Load()
	if drainDeadline == 0 {
		return true
	}
	*deadline = min(*deadline, drainDeadline)
	return now < drainDeadline
}

// Drain shuts the server down gracefully. It goes on serving for Limits.DrainServeTime, since clients learn of a restart
// late and would be without a broker until the next one is up. Then it closes the listener, ends connections as soon as
// they have no reply pending, and returns when none is left. All requests are answered within Limits.DrainAnswerTime of
// the call, however long their clients would wait: the process may be killed after that. The error is ctx's, if it is
// done earlier.
func (s *Server) Drain(ctx context.Context) error {
	began := s.clock.Now()
	s.drain.deadline.Store(began + s.lim.DrainAnswerTime)
	s.conns.draining.Store(true)
	defer close(s.drain.done)
	expiry := time.AfterFunc(clock.Duration(s.lim.DrainAnswerTime), func() { s.drain.expire(core.ErrDeadlineExceeded) })
	defer expiry.Stop()
	for {
		elapsed := s.clock.Now() - began
		if elapsed >= s.lim.DrainServeTime || elapsed >= s.lim.DrainAcceptTime && s.conns.count() == 0 {
			s.closeListener()
		}
		if s.drain.listenerClosed.Load() {
			s.conns.wakeIdle()
			if s.conns.count() == 0 {
				return nil
			}
		}
		select { // not on conns.freed, which would take the signal away from makeRoom
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
