package reconcile

import (
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
)

// Report returns the instance's state for the manager. It includes the broker's status only if the current incarnation
// has reported it within the status TTL.
func (c *Controller) Report(now clock.Micros) state.Report {
	report := state.Report{
		Name:            c.Name,
		Crashes:         c.crashes.total,
		Flapping:        c.flapping(now),
		Error:           c.lastError,
		RejectedEdition: c.rejectedEdition,
	}
	switch c.Phase {
	case NoProcess:
		report.Process = c.stoppedState()
	case StartIntended:
		report.Process = state.ProcessUnknown
	case Draining:
		report.Process = state.ProcessDraining
		report.PID = c.Process.PID
	case Running:
		report.Process = state.ProcessStarting
		if c.calls.answered {
			report.Process = state.ProcessRunning
		}
		report.PID = c.Process.PID
		report.StartDigest = c.StartDigest
		if c.status.known() && now-c.status.observedAt <= c.config.StatusTTL {
			report.Incarnation = c.status.incarnation
			report.AppliedEdition = c.status.appliedEdition
			report.Healthy = c.status.healthy
			report.ListRevision = c.status.listRevision
			report.NodeCount = c.status.nodeCount
		}
	}
	return report
}

func (c *Controller) stoppedState() state.ProcessState {
	switch {
	case c.Desired.Released:
		return state.ProcessAbsent
	case c.Desired.Run && len(c.crashes.recent) > 0:
		return state.ProcessBackoff
	}
	return state.ProcessStopped
}

// flapping drops crashes older than the crash window, and reports whether the rest reach the flapping threshold.
func (c *Controller) flapping(now clock.Micros) bool {
	for len(c.crashes.recent) > 0 && now-c.crashes.recent[0] > c.config.CrashWindow {
		c.crashes.recent = c.crashes.recent[1:]
	}
	return len(c.crashes.recent) >= c.config.FlappingThreshold
}
