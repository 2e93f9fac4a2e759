package core

import (
	"context"
	"time"

	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/timing/clock"
)

// RunDecisions runs the decision module until ctx is done. It must be the only caller of d.Tick. In each iteration it
// reads the clock once, calls Tick, and waits for the next event or for the time that Tick returned.
func RunDecisions(ctx context.Context, d *dispatcher.Dispatcher, c *clock.Clock) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := c.Now()
		next := d.Tick(now)
		timer.Reset(clock.Duration(next - now))
		select {
		case <-ctx.Done():
			return
		case <-d.TickDue():
		case <-timer.C:
		}
	}
}
