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
	Listen    string            `json:"listen"`
	Shards    int               `json:"shards"`     // nodes that objects are spread over, by their names
	UnitBytes int64             `json:"unit_bytes"` // one unit of a request's size
	Read      string            `json:"read_class"`
	Write     string            `json:"write_class"`
	Complete  string            `json:"complete_class"` // must never run twice
	Plan      string            `json:"default_plan"`
	Buckets   map[string]string `json:"buckets"` // plans by bucket
}

// Control sets up the control endpoint.
type Control struct {
	Listen  string `json:"listen"`            // unix:PATH, or HOST:PORT on loopback
	Started string `json:"started,omitempty"` // what whoever starts the broker calls its start settings
}

// Record sets up the recorder.
type Record struct {
	Dir     string  `json:"dir"`           // of the segments; empty: a ring in memory
	Sample  float64 `json:"sample"`        // share of requests recorded one by one; all are counted; default 1
	Segment int64   `json:"segment_bytes"` // default 8 MiB
	Total   int64   `json:"total_bytes"`   // of all segments of this broker, or of the ring; default 256 MiB, ring 8 MiB
	FlushMS int64   `json:"flush_ms"`      // default 50
	BeatMS  int64   `json:"beat_ms"`       // default 500
}

// Nodes sets up lists of storage nodes in files, and how they are merged with discovery's.
type Nodes struct {
	Files    []string `json:"files"`     // .csv, .yaml, .yml, or folders of such
	Mode     string   `json:"mode"`      // "union" (default): files add nodes and restrict them; "limit": only what a file has is used
	Guard    *float64 `json:"guard"`     // omissions of more than this share at once are held back; 0: none; default 0.2
	GuardMin int      `json:"guard_min"` // but never fewer than so many; default 3
	HoldMS   int64    `json:"hold_ms"`   // for so long; default 600000
	Zone     string   `json:"zone"`      // the broker's own; new objects go to nodes there unless others are better by far_ms
	FarMS    int64    `json:"far_ms"`    // default 50
	Subset   int      `json:"subset"`    // of a shard's nodes, only so many are used by this broker; 0: all
	Suppress *float64 `json:"suppress"`  // penalty above which a node that comes back stays out; 0: never; default 3
}

// Options are the membership's.
func (n *Nodes) Options(warm time.Duration) membership.Options {
	o := membership.DefaultOptions()
	if warm > 0 {
		o.Warm = warm.Microseconds()
	}
	if n == nil { // operators' commands only: what they say is meant, and discovery is believed as ever
		o.Suppress = 0
		return o
	}
	o.Limit = n.Mode == "limit"
	if n.Guard != nil {
		o.Guard = *n.Guard
	}
	if n.GuardMin > 0 {
		o.GuardMin = n.GuardMin
	}
	if n.HoldMS > 0 {
		o.Hold = n.HoldMS * 1000
	}
	if n.Suppress != nil {
		o.Suppress = *n.Suppress
	}
	return o
}

func (n *Nodes) check() error {
	switch {
	case len(n.Files) == 0:
		return errors.New("files: missing")
	case n.Mode != "" && n.Mode != "union" && n.Mode != "limit":
		return fmt.Errorf("mode: %q is neither union nor limit", n.Mode)
	case n.Guard != nil && !(*n.Guard >= 0 && *n.Guard <= 1):
		return fmt.Errorf("guard: %v is not 0 to 1", *n.Guard)
	case n.GuardMin < 0:
		return fmt.Errorf("guard_min: %d is negative", n.GuardMin)
	case n.FarMS < 0:
		return fmt.Errorf("far_ms: %d is negative", n.FarMS)
	case n.Subset < 0:
		return fmt.Errorf("subset: %d is negative", n.Subset)
	case n.HoldMS < 0:
		return fmt.Errorf("hold_ms: %d is negative", n.HoldMS)
	case n.Suppress != nil && !(*n.Suppress >= 0):
		return fmt.Errorf("suppress: %v is negative", *n.Suppress)
	}
	return nil
}

func (r *Record) check() error {
	if r.Sample == 0 {
		r.Sample = 1
	}
	for _, x := range []struct {
		v  *int64
		by int64
	}{{&r.Segment, 8 << 20}, {&r.Total, 256 << 20}, {&r.FlushMS, 50}, {&r.BeatMS, 500}} {
		if *x.v == 0 {
			*x.v = x.by
			if x.v == &r.Total && r.Dir == "" {
				*x.v = 8 << 20
			}
		}
	}
	switch {
	case !(r.Sample > 0 && r.Sample <= 1):
		return fmt.Errorf("sample: %v is not above 0 and up to 1", r.Sample)
	case r.Segment < 64<<10:
		return fmt.Errorf("segment_bytes: %d is under 65536", r.Segment)
	case r.Total < 2*r.Segment && r.Dir != "":
		return fmt.Errorf("total_bytes: %d is under two segments", r.Total)
	case r.Total < 64<<10:
		return fmt.Errorf("total_bytes: %d is under 65536", r.Total)
	case r.FlushMS < 1 || r.FlushMS > 10000:
		return fmt.Errorf("flush_ms: %d is not 1 to 10000", r.FlushMS)
	case r.BeatMS < r.FlushMS || r.BeatMS > 60000:
		return fmt.Errorf("beat_ms: %d is not flush_ms to 60000", r.BeatMS)
	}
	return nil
}

// checkObject checks the object front's keys and gives defaults.
func (c *Config) checkObject(ex *extra) error {
	o := c.Object
	if err := Address(o.Listen); err != nil {
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
	for key, name := range map[string]string{"read_class": o.Read, "write_class": o.Write, "complete_class": o.Complete} {
		i := c.Class(name)
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
	if c.Plan(o.Plan) < 0 {
		return fmt.Errorf("default_plan: settings name no plan %q", o.Plan)
	}
	for bucket, plan := range o.Buckets {
		if c.Plan(plan) < 0 {
			return fmt.Errorf("buckets.%s: settings name no plan %q", bucket, plan)
		}
	}
	return nil
}
