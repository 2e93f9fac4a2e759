package discovery

import (
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// progress is what the client has read, what it still has to read, and how soon.
type progress struct {
	limits       *limits.Limits
	revision     int64 // of the list in force; NoRevision: none
	fullList     fullListState
	fullListAt   time.Time // when a scheduled full list is read
	missingUntil time.Time // changes may be missing until then: the watch fell silent or the address changed
	failures     int       // watches that ended since the last list
}

// fullListState says whether the full list is still to be read although a revision is known.
type fullListState uint8

const (
	fullListRead         fullListState = iota // nothing is outstanding
	fullListNow                               // with the next call
	fullListAfterChanges                      // once a call for changes has been answered
	fullListScheduled                         // from fullListAt on
)

// fullListSpread is over how many times Limits.DiscoveryMoveJitter the full lists are spread that could not be read at once.
const fullListSpread = 6

// The longest pauses before a retry while changes may be missing.
const (
	missingFirstRetry = 750 * time.Millisecond // after the first failure
	missingRetry      = 1500 * time.Millisecond
)

// startOver follows a change of the address: revisions of one discovery service mean nothing to another.
func (p *progress) startOver(now time.Time) {
	p.fullList = fullListNow
	p.markMissing(now)
}

// markMissing says that changes may be missing since a time.
func (p *progress) markMissing(since time.Time) {
	p.missingUntil = since.Add(clock.Duration(p.limits.NotificationDeadline))
}

func (p *progress) changesMissing(now time.Time) bool { return now.Before(p.missingUntil) }

// listArrived ends a series of failures.
func (p *progress) listArrived() {
	p.failures = 0
	p.missingUntil = time.Time{}
}

// nextRevision is the revision that the next call asks from; NoRevision: it reads the full list.
func (p *progress) nextRevision(now time.Time) int64 {
	if p.fullList == fullListNow || p.fullList == fullListScheduled && now.After(p.fullListAt) {
		return NoRevision
	}
	return p.revision
}

// scheduleFullList follows up a call for the changes since a revision. A discovery service that cannot give full lists to a whole
// fleet that has just changed to it may still answer calls for changes, which cost it little. Most often it is the same
// service at another address, and these are complete. The full list then follows when the load has gone.
func (p *progress) scheduleFullList(err error, revision int64, full bool) {
	switch {
	case err == nil && full:
		p.fullList = fullListRead
	case err != nil && p.fullList != fullListRead && p.isExtraFullList(revision):
		p.fullList = fullListAfterChanges
	case err == nil && p.fullList == fullListAfterChanges:
		p.fullList = fullListScheduled
		jitter := rand.N(fullListSpread*p.limits.DiscoveryMoveJitter + 1)
		p.fullListAt = time.Now().Add(clock.Duration(p.limits.WatchGracePeriod + jitter))
	}
}

// isExtraFullList reports whether a call was for the full list although calls for changes are possible.
func (p *progress) isExtraFullList(revision int64) bool {
	return revision == NoRevision && p.revision != NoRevision
}

// retryWithin is the longest pause before the next call after one that failed. A change counts as known to the broker
// Limits.NotificationDeadline after discovery had it and could be reached. That may have been as early as the start of the
// last call, so the next one, with the time for its answer, has to fit into what is left.
func (p *progress) retryWithin(now, lastCallAt time.Time) time.Duration {
	left := clock.Duration(p.limits.NotificationDeadline-p.limits.WatchGracePeriod) - now.Sub(lastCallAt)
	if p.changesMissing(now) {
		left = min(left, missingRetry)
		if p.failures <= 1 {
			left = min(left, missingFirstRetry)
		}
	}
	if p.limits.DiscoveryMaxBackoff > 0 {
		left = min(left, clock.Duration(p.limits.DiscoveryMaxBackoff))
	}
	return max(left, clock.Duration(p.limits.WatchMinInterval))
}
