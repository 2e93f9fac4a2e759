package core

import (
	"context"
	"time"

	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/timing/clock"
)

// RunDecisions owns the module: each turn reads the clock once, lets the module decide, and waits for news or for the
// time the module named. It returns when ctx is done.
func RunDecisions(ctx context.Context, f *dispatcher.Dispatcher, c *clock.Clock) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := c.Now()
		next := f.Tick(now)
		timer.Reset(clock.Duration(next - now))
		select {
		case <-ctx.Done():
			return
		case <-f.TickDue():
		case <-timer.C:
		}
	}
}
