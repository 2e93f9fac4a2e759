package model

import (
	"encoding/json"
	"time"
)

// RequestClasses returns the scenario's classes, or the single class of all requests if it has none.
func (s *Scenario) RequestClasses() []Class { return s.classes() }

// UnitWork returns the work of one unit of a request's size, in microseconds of a core with speed 1.
func (s *Scenario) UnitWork() float64 { return float64(s.Load.Work.us()) / meanUnits }

// BrokerSettings returns the settings of the scenario's brokers in the format of the broker's configuration. Parsed by
// a broker they give the configuration of the simulated brokers.
func (s *Scenario) BrokerSettings() (json.RawMessage, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	r := prepare(s, "", 1)
	r.build()
	r.makeVolumes()
	c := &r.config
	type m = map[string]any
	ns := func(d time.Duration) int64 { return d.Nanoseconds() }
	var classes, plans []m
	for _, k := range s.classes() {
		repeat := "fragile"
		if k.Idempotency == "always" {
			repeat = "retryable"
		}
		classes = append(classes, m{"name": k.Name, "aim_ns": ns(time.Duration(k.LatencyObjective)), "give_up_ns": ns(time.Duration(k.Deadline)), "importance": k.PriorityWeight, "repeat": repeat})
	}
	for _, p := range c.Plans {
		plans = append(plans, m{"name": p.Name, "shares": p.Weight, "value_factor": p.PriceFactor, "usual_rate": p.UsualRate, "floor_rate": p.ReservedRate, "never_over": p.RateLimit,
			"burst": p.RateLimitBurst, "tolerance": p.RateLimitTolerance})
	}
	return json.Marshal(m{"balancers": c.Brokers, "discovery": "ask", "zones": []string{"room"}, "classes": classes, "policies": plans,
		"contract": m{"ask_within_ns": ns(c.MaxPollInterval), "cold_from": c.SlowStartFraction, "tip_after_ns": ns(c.OverloadWindow), "warm_after_ns": ns(c.SlowStartDuration)},
		"limits": m{"send_cap": c.MaxAttempts, "connect_timeout_ns": ns(250 * time.Millisecond), "keepalive_ns": ns(30 * time.Second), "retry_after": c.SendsRetryAfter,
			"max_retry_after_ns": ns(c.MaxRetryAfter)},
		"deductions": m{"handshake": c.HandshakeCost},
		"specifics":  m{"mean_units": c.MeanUnits, "max_units": c.MaxUnits, "n_shards": s.NodeCount(), "cold_bears": c.SlowStartCapacityUnits, "fair_worth": c.QuotaPriorityWeight}})
}
