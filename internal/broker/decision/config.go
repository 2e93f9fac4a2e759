package decision

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the settings for the decisions of one broker. Check reports invalid ones.
type Config struct {
	Seed    uint64
	Brokers int // number of brokers in the fleet
	Classes []Class
	Plans   []Plan

	// Sizes and weights of requests.
	MeanUnits           float64
	MaxUnits            float64
	MaxVolumes          int     // volumes whose state is kept, and rejected requests that are remembered; 0 for no limit
	QuotaPriorityWeight float64 // factor on the priority weight of requests beyond their volume's reserve

	// Attempts and retries.
	MaxAttempts       int
	HasRetryBudget    bool    // whether the three fields below apply
	RetryBudgetBase   float64 // retries that are always allowed within the window
	RetryBudgetRatio  float64 // additional retries per request that arrived within the window
	RetryBudgetWindow time.Duration

	// Ordered classes.
	OrderedKeyQuietPeriod time.Duration // pause in the requests of a key after an attempt that may still be executed

	// Rejections.
	SendsRetryAfter bool // whether rejections carry a Retry-After
	MaxRetryAfter   time.Duration

	// Discovery.
	PollsEndpoints      bool          // the endpoint list must be requested
	LocalDiscoveryAgent bool          // it is requested from an agent that serves only this broker
	MaxPollInterval     time.Duration // longest time between two polls

	// Nodes that have just started.
	SlowStartFraction      float64       // fraction of its capacity that a node has at its start
	SlowStartDuration      time.Duration // from the start of a node to its full capacity
	SlowStartCapacityUnits float64       // units within OverloadWindow, from all brokers, that a node can serve at its start
	OverloadWindow         time.Duration

	// Placement of new objects.
	LocalZone             int           // zone of this broker, counted from 1; 0 for no preference
	RemoteZonePenalty     time.Duration // cost of nodes in other zones
	HandshakeCost         float64       // cost of a new connection, in latency objectives
	ConnectionReuseWindow time.Duration // how long after a response its connection can be reused
}

// WithDefaults returns the settings with 1 in place of plan weights, counts and mean units that are not above 0. The
// caller's slices are not changed.
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

// oneIfUnset returns v, or 1 if v is not above 0.
func oneIfUnset(v float64) float64 { return cmp.Or(max(v, 0), 1) }

// Plan returns the plan with the given index. For an unknown index the plan has no reserve and no rate limit.
func (c *Config) Plan(number int) *Plan {
	if number < 0 || number >= len(c.Plans) {
		return &Plan{Weight: 1, PriceFactor: 1}
	}
	return &c.Plans[number]
}

// RetryAfter returns the Retry-After of a rejection: wait bounded by MaxRetryAfter, or 0 if SendsRetryAfter is false.
func (c *Config) RetryAfter(wait time.Duration) time.Duration {
	if !c.SendsRetryAfter {
		return 0
	}
	return min(wait, c.MaxRetryAfter)
}

// ZonePenalty returns the cost added to nodes of the given zone, counted from 0, when the node for a new object is
// chosen.
func (c *Config) ZonePenalty(zone int) time.Duration {
	if c.LocalZone == 0 || zone+1 == c.LocalZone {
		return 0
	}
	return c.RemoteZonePenalty
}

// SlowStartCapacity returns how many units within OverloadWindow, from all brokers, a node of the given age can serve.
func (c *Config) SlowStartCapacity(age time.Duration) float64 {
	if c.SlowStartFraction <= 0 {
		return c.SlowStartCapacityUnits
	}
	growth := (1 - c.SlowStartFraction) / c.SlowStartFraction
	return c.SlowStartCapacityUnits * (1 + growth*max(0, age.Seconds())/c.SlowStartDuration.Seconds())
}

// DiscoveryClients returns how many brokers poll the same discovery service as this one.
func (c *Config) DiscoveryClients() int {
	if c.LocalDiscoveryAgent {
		return 1
	}
	return c.Brokers
}
