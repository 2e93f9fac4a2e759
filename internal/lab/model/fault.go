package model

import (
	"maps"
	"slices"
)

// Fault is a fault of randomly chosen nodes, brokers or volumes, or of discovery, once or repeatedly.
type Fault struct {
	Kind         string   `toml:"kind"`
	Probability  float64  `toml:"share"`  // of affecting a node, broker or volume
	StartsAt     Duration `toml:"at"`     // time of a single fault; 0 for repeated faults
	MeanInterval Duration `toml:"every"`  // mean time between repeated faults, whose times are independent for each target
	Duration     Duration `toml:"last"`   // of each fault
	Factor       float64  `toml:"factor"` // its strength, if the kind has one
	StartSpread  Duration `toml:"over"`   // interval after StartsAt in which a single fault starts, at a random time for each target
}

// faultHasFactor maps each kind of fault to whether it has a factor.
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
