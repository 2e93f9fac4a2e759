package settings

import (
	"encoding/json"
	"fmt"
	"reflect"

	"poppyarch/internal/broker/decision"
)

// Error reports an invalid setting.
type Error struct {
	Path string // of the setting, in the names of the platform
	Err  error
}

func (e *Error) Error() string { return e.Path + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

func errorf(path, format string, args ...any) error {
	return &Error{Path: path, Err: fmt.Errorf(format, args...)}
}

// Parse converts the JSON of the settings to the configuration of the decision module. The error for an invalid value
// is an Error.
func Parse(text string, seed uint64) (decision.Config, error) {
	var in settings
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return decision.Config{}, &Error{Path: "settings", Err: err}
	}
	if err := checkNotNegative(reflect.ValueOf(in), "settings"); err != nil {
		return decision.Config{}, err
	}
	switch in.Discovery {
	case "", discoveryPolled, discoveryPushed:
	default:
		return decision.Config{}, errorf("settings.discovery", "%q is neither ask nor push", in.Discovery)
	}
	classes, err := in.decisionClasses()
	if err != nil {
		return decision.Config{}, err
	}
	out := in.decisionConfig()
	out.Seed = seed
	out.Classes = classes
	return out, nil
}

// decisionConfig maps all settings except the classes.
func (s *settings) decisionConfig() decision.Config {
	c := decision.Config{
		Brokers: s.Brokers,
		Plans:   s.decisionPlans(),

		MeanUnits:           s.Specifics.MeanUnits,
		MaxUnits:            s.Specifics.MaxUnits,
		QuotaPriorityWeight: s.Specifics.QuotaPriorityWeight,

		MaxAttempts:       s.Limits.MaxAttempts,
		HasRetryBudget:    s.Contract.RetryBudgetWindow > 0,
		RetryBudgetBase:   s.Contract.RetryBudgetBase,
		RetryBudgetWindow: s.Contract.RetryBudgetWindow,

		OrderedKeyQuietPeriod: s.Contract.OrderedKeyQuietPeriod,

		SendsRetryAfter: s.Limits.SendsRetryAfter,
		MaxRetryAfter:   s.Limits.MaxRetryAfter,

		PollsEndpoints:  s.Discovery == discoveryPolled,
		MaxPollInterval: s.Contract.MaxPollInterval,

		SlowStartFraction:      s.Contract.SlowStartFraction,
		SlowStartDuration:      s.Contract.SlowStartDuration,
		SlowStartCapacityUnits: s.Specifics.SlowStartCapacityUnits,
		OverloadWindow:         s.Contract.OverloadWindow,

		HandshakeCost: s.Deductions.HandshakeCost,
	}
	if c.HasRetryBudget && s.Contract.RetryBudgetRatio != nil {
		c.RetryBudgetRatio = *s.Contract.RetryBudgetRatio
	}
	return c
}

func (s *settings) decisionClasses() ([]decision.Class, error) {
	var out []decision.Class
	for i, k := range s.Classes {
		idempotency, ok := idempotencies[k.Idempotency]
		if !ok {
			return nil, errorf(fmt.Sprintf("settings.classes[%d].repeat", i), "unknown kind %q", k.Idempotency)
		}
		scope, ok := dedupScopes[k.DedupScope]
		if !ok {
			return nil, errorf(fmt.Sprintf("settings.classes[%d].group", i), "unknown group %q", k.DedupScope)
		}
		out = append(out, decision.Class{
			Name:             k.Name,
			LatencyObjective: k.LatencyObjective,
			Deadline:         k.Deadline,
			PriorityWeight:   k.PriorityWeight,
			Idempotency:      idempotency,
			DedupScope:       scope,
			DedupWindow:      k.DedupWindow,
			Ordered:          k.Ordered,
		})
	}
	return out, nil
}

func (s *settings) decisionPlans() []decision.Plan {
	var out []decision.Plan
	for _, p := range s.Plans {
		out = append(out, decision.Plan{
			Name:               p.Name,
			Weight:             p.Weight,
			PriceFactor:        p.PriceFactor,
			UsualRate:          p.UsualRate,
			ReservedRate:       p.ReservedRate,
			RateLimit:          p.RateLimit,
			RateLimitBurst:     p.RateLimitBurst,
			RateLimitTolerance: p.RateLimitTolerance,
		})
	}
	return out
}
