package discovery

import (
	"math/rand/v2"
	"time"

	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// progress tracks what the client has read, what it still has to read, and when.
type progress struct {
	limits       *limits.Limits
	revision     int64 // of the current list, or NoRevision if there is none
	fullList     fullListState
	fullListAt   time.Time // when a scheduled full list is read
	missingUntil time.Time // until then changes may be missing: the watch got no response or the address changed
	failures     int       // watches that have ended since the last list arrived
}

// fullListState tells whether and when the full list has to be read although a revision is known.
type fullListState uint8

const (
	fullListRead         fullListState = iota // nothing is outstanding
	fullListNow                               // read by the next call
	fullListAfterChanges                      // scheduled once a call for changes has been answered
	fullListScheduled                         // read by the first call after fullListAt
)

// fullListSpread times Limits.DiscoveryMoveJitter is the period over which a fleet spreads its reads of full lists that
// were rejected at first.
const fullListSpread = 6

// The longest pauses before a retry while changes may be missing.
const (
	missingFirstRetry = 750 * time.Millisecond // after the first failure
	missingRetry      = 1500 * time.Millisecond
)

// startOver is called when the address has changed. It requests the full list, because the revisions of two discovery
// services are unrelated.
func (p *progress) startOver(now time.Time) {
	p.fullList = fullListNow
	p.markMissing(now)
}

// markMissing records that changes may have been missing since the given time.
func (p *progress) markMissing(since time.Time) {
	p.missingUntil = since.Add(clock.Duration(p.limits.NotificationDeadline))
}

func (p *progress) changesMissing(now time.Time) bool { return now.Before(p.missingUntil) }

// listArrived resets the count of failures and records that no changes are missing.
func (p *progress) listArrived() {
	p.failures = 0
	p.missingUntil = time.Time{}
}

// nextRevision returns the revision from which the next call requests changes, or NoRevision if it reads the full list.
func (p *progress) nextRevision(now time.Time) int64 {
	if p.fullList == fullListNow || p.fullList == fullListScheduled && now.After(p.fullListAt) {
		return NoRevision
	}
	return p.revision
}

// scheduleFullList updates the state of the full list after a call for the changes since revision. A discovery service
// that cannot send full lists to a whole fleet that has just switched to it may still answer calls for changes, which
// are cheap. It is usually the same service at another address, so the changes are complete. The full list is read
// later, when the load has dropped.
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

// retryWithin returns the longest pause before the next call after a failed one. A change must be known to the broker
// within Limits.NotificationDeadline of the time when discovery had it and was reachable. That may have been as early
// as the start of the last call, so the next call and its response have to fit into the remaining time.
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
