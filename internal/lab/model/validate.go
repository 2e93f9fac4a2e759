package model

import (
	"fmt"
	"math"
	"time"
)

// Check returns the first invalid value as an error that names its key, nil if there is none.
func (s *Scenario) Check() error {
	c := &validator{}
	s.checkRun(c)
	s.Load.check(c)
	c.require("nodes", len(s.Nodes) > 0, "none")
	s.Service.check(c)
	s.SlowStart.check(c)
	s.Link.check(c)
	s.Discovery.check(c)
	s.Rules.check(c)
	s.Load.checkDistribution(c)
	for i := range s.Nodes {
		s.Nodes[i].check(c.within("nodes", i))
	}
	for i := range s.Classes {
		s.Classes[i].check(c.within("class", i))
	}
	for i := range s.Plans {
		s.Plans[i].check(c.within("plan", i))
	}
	for i := range s.Faults {
		s.Faults[i].check(c.within("trouble", i))
	}
	return c.first
}

// validator keeps the first error.
type validator struct {
	parent *validator // keeps the error instead of this one; nil if there is none
	prefix string     // of keys, such as "nodes[0]."
	first  error
}

// within returns a validator of the keys of a table in an array.
func (c *validator) within(array string, i int) *validator {
	return &validator{parent: c, prefix: fmt.Sprintf("%s[%d].", array, i)}
}

func (c *validator) errorf(format string, args ...any) {
	root := c
	if c.parent != nil {
		root = c.parent
	}
	if root.first == nil {
		root.first = fmt.Errorf(c.prefix+format, args...)
	}
}

func (c *validator) require(key string, ok bool, value any) {
	if !ok {
		c.errorf("%s: %v cannot be", key, value)
	}
}

// fraction requires a value from 0 to 1.
func (c *validator) fraction(key string, v float64) { c.require(key, v >= 0 && v <= 1, v) }

// positive requires a finite or infinite value above 0.
func (c *validator) positive(key string, v float64) { c.require(key, v > 0, v) }

// notNegative requires a finite value of at least 0.
func (c *validator) notNegative(key string, v float64) {
	c.require(key, v >= 0 && !math.IsInf(v, 1), v)
}

// duration requires a duration of at least 0.
func (c *validator) duration(key string, v Duration) { c.requireDuration(key, v >= 0, v) }

func (c *validator) requireDuration(key string, ok bool, v Duration) {
	c.require(key, ok, time.Duration(v))
}

func (s *Scenario) checkRun(c *validator) {
	c.require("brokers", s.Brokers > 0, s.Brokers)
	c.require("zones", s.Zones >= 0, s.Zones)
	c.requireDuration("last", s.Duration > 0, s.Duration)
	c.requireDuration("warm", s.WarmUp >= 0 && s.WarmUp < s.Duration, s.WarmUp)
}

func (l *Load) check(c *validator) {
	c.positive("load.rate", l.Rate)
	c.requireDuration("load.work", l.Work > 0, l.Work)
	c.duration("load.patience", l.Deadline)
	c.notNegative("load.sigma", l.Sigma)
	c.fraction("load.retry", l.RetryFraction)
	c.fraction("load.reread", l.RereadFraction)
	c.duration("load.shift", l.PrimaryShiftInterval)
	c.notNegative("load.skew", l.ZipfExponent)
}

func (l *Load) checkDistribution(c *validator) {
	switch l.Distribution {
	case exponential, constant, lognormal:
	default:
		c.errorf("load.spread: %q is unknown, want exponential, constant or lognormal", l.Distribution)
	}
}

func (s *Service) check(c *validator) {
	c.require("service.connections", s.MaxConnections >= 0, s.MaxConnections)
	c.duration("service.handshake", s.Handshake)
	c.require("service.remembers", s.CachedKeys >= 0, s.CachedKeys)
	c.fraction("service.seek", s.CacheHitSaving)
	c.fraction("service.defer", s.DeferredWriteFraction)
	c.requireDuration("service.flush", s.FlushInterval >= 0 && (s.DeferredWriteFraction == 0 || s.FlushInterval > 0), s.FlushInterval)
}

func (s *SlowStart) check(c *validator) {
	initial := s.InitialCapacity
	c.require("cold.share", initial >= 0 && initial <= 1 && (s.Duration == 0 || initial > 0), initial)
	c.duration("cold.warm", s.Duration)
	c.notNegative("cold.multiple", s.OverloadFactor)
	c.requireDuration("cold.window", s.Window >= 0 && (s.OverloadFactor == 0 || s.Window > 0), s.Window)
	c.notNegative("cold.bears", s.InitialUnits)
}

func (l *Link) check(c *validator) {
	c.duration("link.delay", l.Delay)
	c.duration("link.jitter", l.Jitter)
	c.duration("link.handshake", l.Handshake)
	c.duration("link.keep", l.IdleTimeout)
}

func (d *Discovery) check(c *validator) {
	c.notNegative("discovery.calls", d.CallRate)
	c.duration("discovery.wait", d.Timeout)
	c.duration("discovery.late", d.Delay)
}

func (r *Rules) check(c *validator) {
	c.require("rules.attempts", r.MaxAttempts >= 0, r.MaxAttempts)
	c.duration("rules.grace", r.DrainGrace)
	c.duration("rules.slack", r.ResponseGrace)
	c.fraction("rules.share", r.BurstValueFactor)
	c.fraction("rules.beyond", r.ExcessValueFactor)
	c.duration("rules.ask", r.NotificationDeadline)
}

func (g *NodeGroup) check(c *validator) {
	c.require("count", g.Count > 0, g.Count)
	c.require("cores", g.Cores > 0, g.Cores)
	c.positive("speed", g.Speed)
	c.require("room", g.QueueCapacity >= 0, g.QueueCapacity)
}

func (k *Class) check(c *validator) {
	c.positive("share", k.Share)
	c.notNegative("work", k.WorkFactor)
	c.requireDuration("aim", k.LatencyObjective > 0, k.LatencyObjective)
	c.requireDuration("patience", k.Deadline >= k.LatencyObjective, k.Deadline)
	c.notNegative("worth", k.PriorityWeight)
	c.fraction("late", k.LateValue)
	if k.Idempotency != idempotent && k.Idempotency != notIdempotent {
		c.errorf("repeat: %q is unknown, want always or never", k.Idempotency)
	}
}

func (p *Plan) check(c *validator) {
	c.require("volumes", p.Volumes > 0, p.Volumes)
	c.positive("size", p.RelativeRate)
	c.notNegative("reserve", p.ReservedRate)
	c.notNegative("limit", p.RateLimit)
	c.positive("weight", p.Weight)
	c.notNegative("price", p.PriceFactor)
	c.fraction("busy", p.BusyFraction)
	c.fraction("surge", p.SurgeFraction)
	c.require("hosts", p.BrokerRange[0] >= 1 && p.BrokerRange[1] >= p.BrokerRange[0], p.BrokerRange)
	c.require("nodes", p.NodeRange[0] >= 1 && p.NodeRange[1] >= p.NodeRange[0], p.NodeRange)
}

func (f *Fault) check(c *validator) {
	hasFactor, known := faultHasFactor[f.Kind]
	if !known {
		c.errorf("kind: %q is unknown, want one of %v", f.Kind, FaultKinds())
	}
	c.fraction("share", f.Probability)
	c.requireDuration("every", f.MeanInterval == 0 && f.StartsAt > 0 || f.StartsAt == 0 && f.MeanInterval > f.Duration, f.MeanInterval)
	c.requireDuration("last", f.Duration > 0, f.Duration)
	c.duration("at", f.StartsAt)
	c.duration("over", f.StartSpread)
	c.require("factor", !hasFactor && f.Factor == 0 || hasFactor && f.Factor > 0, f.Factor)
}
