package decision

import (
	"fmt"
)

// SettingError reports a setting with an invalid value.
type SettingError struct {
	Setting string // path of the setting, such as "classes[0].aim"
	Value   any    // nil if the setting is missing
	Problem string // such as "is negative"
}

func (e *SettingError) Error() string {
	if e.Value == nil {
		return e.Setting + ": " + e.Problem
	}
	return fmt.Sprintf("%s: %v %s", e.Setting, e.Value, e.Problem)
}

// nonNegative is the name and the value of a setting that must not be negative.
type nonNegative struct {
	setting string
	value   float64
}

// Check reports the first invalid setting as a *SettingError.
func (c *Config) Check() error {
	if len(c.Classes) == 0 {
		return &SettingError{Setting: "classes", Problem: "at least one class is required"}
	}
	for i := range c.Classes {
		if err := c.Classes[i].check(fmt.Sprintf("classes[%d].", i)); err != nil {
			return err
		}
	}
	for _, x := range c.nonNegatives() {
		if x.value < 0 {
			return &SettingError{Setting: x.setting, Value: x.value, Problem: "is negative"}
		}
	}
	if inRange := c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1; !inRange {
		return &SettingError{Setting: "cold from", Value: c.SlowStartFraction, Problem: "is not between 0 and 1"}
	}
	return nil
}

// check reports the first invalid field of the class, apart from those that nonNegatives lists. path is the prefix of
// their setting names.
func (c *Class) check(path string) error {
	switch {
	case c.LatencyObjective <= 0:
		return &SettingError{Setting: path + "aim", Value: c.LatencyObjective, Problem: "is not above 0"}
	case c.Deadline <= 0:
		return &SettingError{Setting: path + "deadline", Value: c.Deadline, Problem: "is not above 0"}
	case c.Idempotency > NotIdempotent:
		return &SettingError{Setting: path + "repeat", Value: c.Idempotency, Problem: "is unknown"}
	case c.DedupScope > DedupShard:
		return &SettingError{Setting: path + "group", Value: c.DedupScope, Problem: "is unknown"}
	}
	return nil
}

// nonNegatives lists the settings that must not be negative, in the order in which they are reported.
func (c *Config) nonNegatives() (list []nonNegative) {
	for i, k := range c.Classes {
		path := fmt.Sprintf("classes[%d].", i)
		list = append(list,
			nonNegative{path + "worth", k.PriorityWeight},
			nonNegative{path + "dedup window", k.DedupWindow.Seconds()})
	}
	for i, p := range c.Plans {
		path := fmt.Sprintf("plans[%d].", i)
		list = append(list,
			nonNegative{path + "weight", p.Weight},
			nonNegative{path + "rate", p.UsualRate},
			nonNegative{path + "reserve", p.ReservedRate},
			nonNegative{path + "limit", p.RateLimit},
			nonNegative{path + "limit burst", p.RateLimitBurst},
			nonNegative{path + "slack", p.RateLimitTolerance},
			nonNegative{path + "price", p.PriceFactor})
	}
	return append(list,
		nonNegative{"hosts", float64(c.Brokers)},
		nonNegative{"max attempts", float64(c.MaxAttempts)},
		nonNegative{"warm", c.SlowStartDuration.Seconds()},
		nonNegative{"tip window", c.OverloadWindow.Seconds()},
		nonNegative{"key quiet", c.OrderedKeyQuietPeriod.Seconds()},
		nonNegative{"budget window", c.RetryBudgetWindow.Seconds()},
		nonNegative{"ask within", c.MaxPollInterval.Seconds()},
		nonNegative{"home", float64(c.LocalZone)},
		nonNegative{"far", c.RemoteZonePenalty.Seconds()},
		nonNegative{"handshake", c.HandshakeCost},
		nonNegative{"keep", c.ConnectionReuseWindow.Seconds()},
		nonNegative{"cold bears", c.SlowStartCapacityUnits},
		nonNegative{"mean units", c.MeanUnits},
		nonNegative{"max units", c.MaxUnits},
		nonNegative{"fair worth", c.QuotaPriorityWeight},
		nonNegative{"max retry after", c.MaxRetryAfter.Seconds()},
		nonNegative{"free resends", c.RetryBudgetBase},
		nonNegative{"further ratio", c.RetryBudgetRatio})
}
