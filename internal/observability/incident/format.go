package incident

import (
	"fmt"
	"time"

	"poppyarch/internal/timing/clock"
)

const (
	// maxExactBound is the width up to which a bound is shown as a single time.
	maxExactBound = 50 * millisecond
	// maxExactDuration is the same for a duration.
	maxExactDuration = 200 * millisecond
)

// FormatTime returns the time of day in UTC, to the millisecond.
func FormatTime(us clock.Micros) string {
	return time.UnixMicro(int64(us)).UTC().Format("15:04:05.000")
}

// Format returns a time that is known well as a single time, else from and to.
func (b Bound) Format() string {
	if b.Latest-b.Earliest <= maxExactBound {
		return FormatTime(b.Earliest)
	}
	return FormatTime(b.Earliest) + " to " + FormatTime(b.Latest)
}

// FormatDuration returns how long an episode lasted, at least and at most.
func (e *Episode) FormatDuration() string {
	least := max(e.End.Earliest-e.Begin.Latest, 0)
	most := e.End.Latest - e.Begin.Earliest
	switch {
	case e.Open:
		return "at least " + formatSeconds(least)
	case most-least <= maxExactDuration:
		return formatSeconds((least + most) / 2)
	}
	return formatSeconds(least) + " to " + formatSeconds(most)
}

func formatSeconds(d clock.Micros) string { return fmt.Sprintf("%.1f s", float64(d)/float64(second)) }
