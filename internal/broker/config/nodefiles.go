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

// NodeFiles configures node lists in files and how they are merged with the list of discovery.
type NodeFiles struct {
	Files []string `json:"files"` // .csv, .yaml or .yml files, or directories of such files
	// "union" (default): files add nodes and restrict them; "limit": only nodes that a file lists are used.
	Mode string `json:"mode"`
	// An update that omits more than this fraction of the nodes is held back; 0 turns this off; default 0.2.
	MaxRemovalFraction *float64 `json:"guard"`
	MinGuardedRemovals int      `json:"guard_min"` // up to this many removals are never held back; default 3
	RemovalHoldMS      int64    `json:"hold_ms"`   // how long removals are held back; default 600000
	// The broker's own zone. New objects go to nodes in it unless others are better by far_ms.
	LocalZone           string   `json:"zone"`
	RemoteZonePenaltyMS int64    `json:"far_ms"`   // default 50
	Subset              int      `json:"subset"`   // number of a shard's nodes that this broker uses; 0 for all
	SuppressThreshold   *float64 `json:"suppress"` // penalty above which a returning node is not used; 0: off; default 3
}

// MembershipOptions returns the options of the membership. slowStart is the duration of a node's slow start; 0 selects
// the default. Without node files (n is nil) only operators' overrides are merged with discovery's list, and nodes that
// return are not suppressed.
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
		return keyErrorf("mode", "%q is neither \"union\" nor \"limit\"", n.Mode)
	case n.MaxRemovalFraction != nil && !(*n.MaxRemovalFraction >= 0 && *n.MaxRemovalFraction <= 1): // also NaN
		return keyErrorf("guard", "%v is not between 0 and 1", *n.MaxRemovalFraction)
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
