// Package config reads and validates the broker's configuration and derives the values that it leaves out. No other
// package does. Errors name the invalid key; an error about a single key is a KeyError.
package config

import (
	"slices"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/nodes/discovery"
)

// Config is a validated configuration.
type Config struct {
	Name          string
	Listen        string // address of the block frontend; empty if it is off
	DiscoveryAddr string
	Seed          uint64
	InitialList   discovery.List // list in force at the start; its Revision is discovery.NoRevision if there is none
	Policy        decision.Config
	Zones         []string // names, by zone number
	Shards        int      // number of shards; 0 if unknown
	Limits        limits.Limits
	Object        *ObjectFrontend  // nil if the object frontend is off
	Control       *ControlEndpoint // nil if there is no control endpoint
	Record        *Recording       // nil if nothing is recorded
	Nodes         *NodeFiles       // nil if nodes come from discovery alone
	LogLevel      string           // debug, info, warn or error

	source source
}

// source is the part of the file that Reload compares with the next version of it.
type source struct {
	discoveryAddr string            // in the file, regardless of LB_DISCOVERY
	keys          map[string]string // canonical JSON of the value of each top-level key
}

// ClassIndex returns the index of the class with this name, or -1 if there is none.
func (c *Config) ClassIndex(name string) int {
	return slices.IndexFunc(c.Policy.Classes, func(k decision.Class) bool { return k.Name == name })
}

// PlanIndex returns the index of the plan with this name, or -1 if there is none.
func (c *Config) PlanIndex(name string) int {
	return slices.IndexFunc(c.Policy.Plans, func(p decision.Plan) bool { return p.Name == name })
}
