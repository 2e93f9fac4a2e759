package decision

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the settings of one broker's decisions. Check reports what is invalid.
type Config struct {
	Seed    uint64
	Brokers int // in the fleet
	Classes []Class
	Plans   []Plan

	// Sizes and weights of requests.
	MeanUnits           float64
	MaxUnits            float64
	QuotaPriorityWeight float64 // factor on the priority weight of work beyond a reserve

	// Attempts and retries.
	MaxAttempts       int
	HasRetryBudget    bool    // the three fields below apply
	RetryBudgetBase   float64 // retries that are always allowed within the window
	RetryBudgetRatio  float64 // and so many for each request that arrived in it
	RetryBudgetWindow time.Duration

	// Ordered classes.
	OrderedKeyQuietPeriod time.Duration // after an attempt that may still be executed

	// What a rejected client is told.
	SendsRetryAfter bool
	MaxRetryAfter   time.Duration

	// Discovery.
	PollsEndpoints      bool          // the endpoint list has to be asked for
	LocalDiscoveryAgent bool          // it is asked of an agent that serves this broker alone
	MaxPollInterval     time.Duration // longest time between two polls

	// Nodes that have just started.
	SlowStartFraction      float64       // part of its capacity that a node has at its start
	SlowStartDuration      time.Duration // from the start of a node to its full capacity
	SlowStartCapacityUnits float64       // what a node bears at its start within OverloadWindow, from all brokers
	OverloadWindow         time.Duration

	// Placement of new objects.
	LocalZone             int           // zone of this broker, counted from 1; 0: new objects go to any zone alike
	RemoteZonePenalty     time.Duration // by how much a node of another zone has to be better
	HandshakeCost         float64       // cost of a new connection, in latency objectives
	ConnectionReuseWindow time.Duration // how long after an answer its connection can be used again
}

// WithDefaults returns the settings with 1 in place of weights and counts that are not above 0. The caller's slices
// are not changed.
func (c Config) WithDefaults() Config {
	c.Plans = slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].Weight = oneIfUnset(c.Plans[i].Weight)
	}
	c.Brokers = max(c.Brokers, 1)
	c.MaxAttempts = max(c.MaxAttempts, 1)
	c.MeanUnits = oneIfUnset(c.MeanUnits)
	return c
}

// oneIfUnset is v, or 1 where v is not above 0.
func oneIfUnset(v float64) float64 { return cmp.Or(max(v, 0), 1) }

// Plan returns the plan of a number; an unknown one has neither a reserve nor a rate limit.
func (c *Config) Plan(number int) *Plan {
	if number < 0 || number >= len(c.Plans) {
		return &Plan{Weight: 1, PriceFactor: 1}
	}
	return &c.Plans[number]
}

// RetryAfter is what a rejected client is told to wait: at most MaxRetryAfter, or 0 where clients are told nothing.
func (c *Config) RetryAfter(wait time.Duration) time.Duration {
	if !c.SendsRetryAfter {
		return 0
	}
	return min(wait, c.MaxRetryAfter)
}

// ZonePenalty is by how much a node in the given zone, counted from 0, has to be better than one in the local zone
// to get a new object.
func (c *Config) ZonePenalty(zone int) time.Duration {
	if c.LocalZone == 0 || zone+1 == c.LocalZone {
		return 0
	}
	return c.RemoteZonePenalty
}

// SlowStartCapacity is how many units, from all brokers within OverloadWindow, a node bears at the given age.
func (c *Config) SlowStartCapacity(age time.Duration) float64 {
	if c.SlowStartFraction <= 0 {
		return c.SlowStartCapacityUnits
	}
	growth := (1 - c.SlowStartFraction) / c.SlowStartFraction
	return c.SlowStartCapacityUnits * (1 + growth*max(0, age.Seconds())/c.SlowStartDuration.Seconds())
}

// DiscoveryClients is how many brokers share the discovery service that this one polls.
func (c *Config) DiscoveryClients() int {
	if c.LocalDiscoveryAgent {
		return 1
	}
	return c.Brokers
}
