package config

import (
	"time"

	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/timing/clock"
)

const (
	modeUnion = "union"
	modeLimit = "limit"

	defaultRemoteZonePenaltyMS = 50
)

// NodeFiles configures lists of storage nodes in files, and how they are merged with discovery's.
type NodeFiles struct {
	Files               []string `json:"files"`     // .csv, .yaml, .yml, or folders of such
	Mode                string   `json:"mode"`      // "union" (default): files add nodes and restrict them; "limit": only what a file has is used
	MaxRemovalFraction  *float64 `json:"guard"`     // omissions of more than this share at once are held back; 0: none; default 0.2
	MinGuardedRemovals  int      `json:"guard_min"` // up to so many never are; default 3
	RemovalHoldMS       int64    `json:"hold_ms"`   // how long they are held back; default 600000
	LocalZone           string   `json:"zone"`      // the broker's own; new objects go to nodes there unless others are better by far_ms
	RemoteZonePenaltyMS int64    `json:"far_ms"`    // default 50
	Subset              int      `json:"subset"`    // of a shard's nodes, only so many are used by this broker; 0: all
	SuppressThreshold   *float64 `json:"suppress"`  // penalty above which a node that returns stays out; 0: never; default 3
}

// MembershipOptions are the options of the membership. slowStart is the duration of a node's slow start; 0: the default.
// Without node files only operators' overrides are merged with discovery's list, and nodes that return are not suppressed.
func (n *NodeFiles) MembershipOptions(slowStart time.Duration) membership.Options {
	o := membership.DefaultOptions()
	if slowStart > 0 {
		o.SlowStart = clock.FromDuration(slowStart)
	}
	if n == nil {
		o.SuppressThreshold = 0
		return o
	}
	o.FilesAreAllowList = n.Mode == modeLimit
	if n.MaxRemovalFraction != nil {
		o.MaxRemovalFraction = *n.MaxRemovalFraction
	}
	if n.MinGuardedRemovals > 0 {
		o.MinGuardedRemovals = n.MinGuardedRemovals
	}
	if n.RemovalHoldMS > 0 {
		o.RemovalHold = clock.FromMillis(n.RemovalHoldMS)
	}
	if n.SuppressThreshold != nil {
		o.SuppressThreshold = *n.SuppressThreshold
	}
	return o
}

func (n *NodeFiles) check() error {
	switch {
	case len(n.Files) == 0:
		return &KeyError{Key: "files", Err: ErrMissing}
	case n.Mode != "" && n.Mode != modeUnion && n.Mode != modeLimit:
		return keyErrorf("mode", "%q is neither union nor limit", n.Mode)
	case n.MaxRemovalFraction != nil && !(*n.MaxRemovalFraction >= 0 && *n.MaxRemovalFraction <= 1): // also NaN
		return keyErrorf("guard", "%v is not 0 to 1", *n.MaxRemovalFraction)
	case n.MinGuardedRemovals < 0:
		return keyErrorf("guard_min", "%d is negative", n.MinGuardedRemovals)
	case n.RemoteZonePenaltyMS < 0:
		return keyErrorf("far_ms", "%d is negative", n.RemoteZonePenaltyMS)
	case n.Subset < 0:
		return keyErrorf("subset", "%d is negative", n.Subset)
	case n.RemovalHoldMS < 0:
		return keyErrorf("hold_ms", "%d is negative", n.RemovalHoldMS)
	case n.SuppressThreshold != nil && !(*n.SuppressThreshold >= 0): // also NaN
		return keyErrorf("suppress", "%v is negative", *n.SuppressThreshold)
	}
	return nil
}
