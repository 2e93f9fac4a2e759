package membership

import "poppyarch/internal/timing/clock"

// Options configures a Set.
type Options struct {
	FilesAreAllowList bool         // a node is only used while a file names it
	SlowStart         clock.Micros // a node is warm this long after its start, and cold for the first fifth of that

	MaxRemovalFraction float64      // omissions of more than this fraction of a source's nodes at once are held back; 0: none are
	MinGuardedRemovals int          // up to this many omissions are never held back
	RemovalHold        clock.Micros // how long they are held back
	GuardDiscovery     bool         // discovery's omissions are guarded as well

	PenaltyHalfLife   clock.Micros // of the penalty for returning
	SuppressThreshold float64      // a node whose penalty is above it is suppressed; 0: no node ever is
	ReuseThreshold    float64      // a suppressed node is used again once its penalty is at or below it
	HistoryRetention  clock.Micros // how long the history of a removed node is kept
}

const (
	second = clock.Micros(1_000_000)

	// tick is the resolution of the timers.
	tick = clock.Micros(1000)
)

// DefaultOptions guard files against the loss of a fifth of their nodes, and suppress a node after its fourth quick return.
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
