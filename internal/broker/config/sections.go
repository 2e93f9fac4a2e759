package config

import (
	"errors"
	"fmt"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/nodes/membership"
)

// Object sets up the object front.
type Object struct {
	Listen        string            `json:"listen"`
	Shards        int               `json:"shards"`     // nodes that objects are spread over, by their names
	UnitBytes     int64             `json:"unit_bytes"` // one unit of a request's size
	ReadClass     string            `json:"read_class"`
	WriteClass    string            `json:"write_class"`
	CompleteClass string            `json:"complete_class"` // must never run twice
	DefaultPlan   string            `json:"default_plan"`
	BucketPlans   map[string]string `json:"buckets"` // plans by bucket
}

// Control sets up the control endpoint.
type Control struct {
	Listen      string `json:"listen"`            // unix:PATH, or HOST:PORT on loopback
	StartDigest string `json:"started,omitempty"` // what whoever starts the broker calls its start settings
}

// Record sets up the recorder.
type Record struct {
	Dir             string  `json:"dir"`           // of the segments; empty: a ring in memory
	SampleFraction  float64 `json:"sample"`        // share of requests recorded one by one; all are counted; default 1
	SegmentBytes    int64   `json:"segment_bytes"` // default 8 MiB
	TotalBytes      int64   `json:"total_bytes"`   // of all segments of this broker, or of the ring; default 256 MiB, ring 8 MiB
	FlushIntervalMS int64   `json:"flush_ms"`      // default 50
	HeartbeatMS     int64   `json:"beat_ms"`       // default 500
}

// NodeFiles sets up lists of storage nodes in files, and how they are merged with discovery's.
type NodeFiles struct {
	Files               []string `json:"files"`     // .csv, .yaml, .yml, or folders of such
	Mode                string   `json:"mode"`      // "union" (default): files add nodes and restrict them; "limit": only what a file has is used
	MaxRemovalFraction  *float64 `json:"guard"`     // omissions of more than this share at once are held back; 0: none; default 0.2
	MinGuardedRemovals  int      `json:"guard_min"` // but never fewer than so many; default 3
	RemovalHoldMS       int64    `json:"hold_ms"`   // for so long; default 600000
	LocalZone           string   `json:"zone"`      // the broker's own; new objects go to nodes there unless others are better by far_ms
	RemoteZonePenaltyMS int64    `json:"far_ms"`    // default 50
	Subset              int      `json:"subset"`    // of a shard's nodes, only so many are used by this broker; 0: all
	SuppressThreshold   *float64 `json:"suppress"`  // penalty above which a node that comes back stays out; 0: never; default 3
}

// MembershipOptions are the membership's.
func (n *NodeFiles) MembershipOptions(warm time.Duration) membership.Options {
	o := membership.DefaultOptions()
	if warm > 0 {
		o.SlowStart = warm.Microseconds()
	}
	if n == nil { // operators' commands only: what they say is meant, and discovery is believed as ever
		o.SuppressThreshold = 0
		return o
	}
	o.FilesAreAllowList = n.Mode == "limit"
	if n.MaxRemovalFraction != nil {
		o.MaxRemovalFraction = *n.MaxRemovalFraction
	}
	if n.MinGuardedRemovals > 0 {
		o.MinGuardedRemovals = n.MinGuardedRemovals
	}
	if n.RemovalHoldMS > 0 {
		o.RemovalHold = n.RemovalHoldMS * 1000
	}
	if n.SuppressThreshold != nil {
		o.SuppressThreshold = *n.SuppressThreshold
	}
	return o
}

func (n *NodeFiles) check() error {
	switch {
	case len(n.Files) == 0:
		return errors.New("files: missing")
	case n.Mode != "" && n.Mode != "union" && n.Mode != "limit":
		return fmt.Errorf("mode: %q is neither union nor limit", n.Mode)
	case n.MaxRemovalFraction != nil && !(*n.MaxRemovalFraction >= 0 && *n.MaxRemovalFraction <= 1):
		return fmt.Errorf("guard: %v is not 0 to 1", *n.MaxRemovalFraction)
	case n.MinGuardedRemovals < 0:
		return fmt.Errorf("guard_min: %d is negative", n.MinGuardedRemovals)
	case n.RemoteZonePenaltyMS < 0:
		return fmt.Errorf("far_ms: %d is negative", n.RemoteZonePenaltyMS)
	case n.Subset < 0:
		return fmt.Errorf("subset: %d is negative", n.Subset)
	case n.RemovalHoldMS < 0:
		return fmt.Errorf("hold_ms: %d is negative", n.RemovalHoldMS)
	case n.SuppressThreshold != nil && !(*n.SuppressThreshold >= 0):
		return fmt.Errorf("suppress: %v is negative", *n.SuppressThreshold)
	}
	return nil
}

func (r *Record) check() error {
	if r.SampleFraction == 0 {
		r.SampleFraction = 1
	}
	for _, x := range []struct {
		v  *int64
		by int64
	}{{&r.SegmentBytes, 8 << 20}, {&r.TotalBytes, 256 << 20}, {&r.FlushIntervalMS, 50}, {&r.HeartbeatMS, 500}} {
		if *x.v == 0 {
			*x.v = x.by
			if x.v == &r.TotalBytes && r.Dir == "" {
				*x.v = 8 << 20
			}
		}
	}
	switch {
	case !(r.SampleFraction > 0 && r.SampleFraction <= 1):
		return fmt.Errorf("sample: %v is not above 0 and up to 1", r.SampleFraction)
	case r.SegmentBytes < 64<<10:
		return fmt.Errorf("segment_bytes: %d is under 65536", r.SegmentBytes)
	case r.TotalBytes < 2*r.SegmentBytes && r.Dir != "":
		return fmt.Errorf("total_bytes: %d is under two segments", r.TotalBytes)
	case r.TotalBytes < 64<<10:
		return fmt.Errorf("total_bytes: %d is under 65536", r.TotalBytes)
	case r.FlushIntervalMS < 1 || r.FlushIntervalMS > 10000:
		return fmt.Errorf("flush_ms: %d is not 1 to 10000", r.FlushIntervalMS)
	case r.HeartbeatMS < r.FlushIntervalMS || r.HeartbeatMS > 60000:
		return fmt.Errorf("beat_ms: %d is not flush_ms to 60000", r.HeartbeatMS)
	}
	return nil
}

// checkObject checks the object front's keys and gives defaults.
func (c *Config) checkObject(ex *extra) error {
	o := c.Object
	if err := CheckAddress(o.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if o.Shards == 0 {
		o.Shards = ex.Specifics.Shards
	}
	if o.Shards <= 0 {
		return errors.New("shards: must be above 0 (settings.specifics.n_shards is missing too)")
	}
	if o.UnitBytes == 0 {
		o.UnitBytes = 1 << 20
	}
	if o.UnitBytes < 0 {
		return fmt.Errorf("unit_bytes: %d is negative", o.UnitBytes)
	}
	for key, name := range map[string]string{"read_class": o.ReadClass, "write_class": o.WriteClass, "complete_class": o.CompleteClass} {
		i := c.ClassIndex(name)
		if i < 0 {
			return fmt.Errorf("%s: settings name no class %q", key, name)
		}
		if safe := c.Policy.Classes[i].Idempotency == decision.Idempotent; key == "read_class" && !safe {
			return fmt.Errorf("%s: class %q may not be repeated, but reads are", key, name)
		}
		if unsafe := c.Policy.Classes[i].Idempotency == decision.NotIdempotent; key == "complete_class" && !unsafe {
			return fmt.Errorf("%s: class %q may run twice, but completions must not", key, name)
		}
	}
	if c.PlanIndex(o.DefaultPlan) < 0 {
		return fmt.Errorf("default_plan: settings name no plan %q", o.DefaultPlan)
	}
	for bucket, plan := range o.BucketPlans {
		if c.PlanIndex(plan) < 0 {
			return fmt.Errorf("buckets.%s: settings name no plan %q", bucket, plan)
		}
	}
	return nil
}
