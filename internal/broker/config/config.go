// Package config reads the broker's configuration, checks it and derives what it leaves open. It is the only place that
// does. Errors name the faulty key; those of single keys are KeyErrors.
package config

import (
	"slices"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/nodes/discovery"
)

// Config is a checked configuration.
type Config struct {
	Name          string
	Listen        string // of the block frontend; empty: it is off
	DiscoveryAddr string
	Seed          uint64
	InitialList   discovery.List // known at the start; its Revision is discovery.NoRevision where there is none
	Policy        decision.Config
	Zones         []string // by number
	Shards        int      // 0: unknown
	Limits        limits.Limits
	Object        *Object    // nil: the object frontend is off
	Control       *Control   // nil: there is no control endpoint
	Record        *Record    // nil: nothing is recorded
	Nodes         *NodeFiles // nil: the node list is discovery's alone
	LogLevel      string     // debug, info, warn or error

	source source
}

// source is what Reload compares with the next version of the file.
type source struct {
	discoveryAddr string            // in the file, without the environment's override
	keys          map[string]string // the JSON text of each key
}

// ClassIndex is the number of a class, or -1 where there is none of this name.
func (c *Config) ClassIndex(name string) int {
	return slices.IndexFunc(c.Policy.Classes, func(k decision.Class) bool { return k.Name == name })
}

// PlanIndex is the number of a plan, or -1 where there is none of this name.
func (c *Config) PlanIndex(name string) int {
	return slices.IndexFunc(c.Policy.Plans, func(p decision.Plan) bool { return p.Name == name })
}
