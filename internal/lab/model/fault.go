package model

import (
	"maps"
	"slices"
)

// Fault is a fault of nodes, brokers, volumes or discovery that are chosen at random, once or repeatedly.
type Fault struct {
	Kind     string   `toml:"kind"`
	Share    float64  `toml:"share"`  // probability that it affects a node, broker or volume
	At       Duration `toml:"at"`     // time of a single fault; 0 with Every
	Every    Duration `toml:"every"`  // mean time between repeated faults, each at times of its own
	Duration Duration `toml:"last"`   // of each
	Factor   float64  `toml:"factor"` // its strength, if the kind has one
	Over     Duration `toml:"over"`   // over which the begins of a single fault are spread
}

// faultHasFactor is the kinds of faults, and whether each has a factor.
var faultHasFactor = map[string]bool{
	"broker":    false,
	"crash":     false,
	"discovery": false,
	"error":     true,
	"flap":      false,
	"hang":      false,
	"hot":       true,
	"late":      true,
	"load":      true,
	"lossy":     true,
	"pause":     false,
	"reconnect": false,
	"replace":   false,
	"silence":   false,
	"slow":      true,
	"vanish":    false,
	"zone":      false,
}

// FaultKinds returns the kinds of faults in alphabetical order.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultHasFactor)) }
