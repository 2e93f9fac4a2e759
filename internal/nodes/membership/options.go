package membership

import "poppyarch/internal/timing/clock"

// Options configures a Set.
type Options struct {
	FilesAreAllowList bool         // only nodes that a file names are used
	SlowStart         clock.Micros // a node is warm this long after its start, and cold for the first fifth of that

	MaxRemovalFraction float64      // removals are held back if a source omits more than this fraction; 0 disables this
	MinGuardedRemovals int          // up to this many omissions are never held back
	RemovalHold        clock.Micros // how long removals are held back
	GuardDiscovery     bool         // nodes that discovery omits are guarded as well

	PenaltyHalfLife   clock.Micros // half-life of the penalty that each return of a node adds
	SuppressThreshold float64      // a node whose penalty is above it is suppressed; 0 disables suppression
	ReuseThreshold    float64      // a suppressed node is used again once its penalty is at or below it
	HistoryRetention  clock.Micros // how long the history of a removed node is kept
}

const (
	second = clock.Micros(1_000_000)

	// tick is the resolution of the timers.
	tick = clock.Micros(1000)
)

// DefaultOptions returns options that hold back removals when files omit more than a fifth of their nodes, and that
// suppress a node after its fourth quick return.
func DefaultOptions() Options {
	return Options{
		SlowStart:          15 * second,
		MaxRemovalFraction: 0.2,
		MinGuardedRemovals: 3,
		RemovalHold:        600 * second,
		PenaltyHalfLife:    30 * second,
		SuppressThreshold:  3,
		ReuseThreshold:     1,
		HistoryRetention:   600 * second,
	}
}
