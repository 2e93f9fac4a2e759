package incident

import (
	"fmt"
	"time"

	"poppyarch/internal/timing/clock"
)

const (
	// maxExactBound is the maximum width of a bound that is shown as a single time.
	maxExactBound = 50 * millisecond
	// maxExactDuration is the maximum difference between the longest and the shortest possible duration that are shown
	// as one.
	maxExactDuration = 200 * millisecond
)

// FormatTime formats a time as the time of day in UTC, to the millisecond.
func FormatTime(us clock.Micros) string {
	return time.UnixMicro(int64(us)).UTC().Format("15:04:05.000")
}

// Format formats a bound: as a single time if it is narrow, otherwise as the earliest and the latest time.
func (b Bound) Format() string {
	if b.Latest-b.Earliest <= maxExactBound {
		return FormatTime(b.Earliest)
	}
	return FormatTime(b.Earliest) + " to " + FormatTime(b.Latest)
}

// FormatDuration formats how long an episode lasted: as one duration if it is known well enough, otherwise as the
// shortest and the longest one.
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
