// Package settings reads the settings object that the simulator and the platform both hand to an instance.
package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"poppyarch/internal/broker/decision"
)

// settings mirrors the part of the first message that the module uses; other keys are ignored.
type settings struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		Name       string  `json:"name"`
		Aim        int64   `json:"aim_ns"`
		GiveUp     int64   `json:"give_up_ns"`
		Importance float64 `json:"importance"`
		Repeat     string  `json:"repeat"`
		Group      string  `json:"group"`
		Window     int64   `json:"dedup_window_ns"`
		ByArrival  bool    `json:"by_arrival"`
	} `json:"classes"`
	Contract struct {
		AskWithin    int64    `json:"ask_within_ns"`
		ColdFrom     float64  `json:"cold_from"`
		KeyQuiet     int64    `json:"key_quiet_ns"`
		TipAfter     int64    `json:"tip_after_ns"`
		WarmAfter    int64    `json:"warm_after_ns"`
		FreeResends  float64  `json:"free_resends"`
		FurtherRatio *float64 `json:"further_ratio"`
		LookBack     int64    `json:"look_back_ns"`
	} `json:"contract"`
	Discovery  string `json:"discovery"`
	Deductions struct {
		Handshake float64 `json:"handshake"`
	} `json:"deductions"`
	Limits struct {
		RetryAfter bool  `json:"retry_after"`
		MaxRetry   int64 `json:"max_retry_after_ns"`
		SendCap    int   `json:"send_cap"`
	} `json:"limits"`
	Policies []struct {
		Name      string  `json:"name"`
		Burst     float64 `json:"burst"`
		Floor     float64 `json:"floor_rate"`
		NeverOver float64 `json:"never_over"`
		Shares    float64 `json:"shares"`
		Tolerance float64 `json:"tolerance"`
		Usual     float64 `json:"usual_rate"`
		Value     float64 `json:"value_factor"`
	} `json:"policies"`
	Specifics struct {
		ColdBears float64 `json:"cold_bears"`
		FairWorth float64 `json:"fair_worth"`
		MaxUnits  float64 `json:"max_units"`
		MeanUnits float64 `json:"mean_units"`
	} `json:"specifics"`
}

var repeats = map[string]decision.Idempotency{
	"retryable": decision.Idempotent, "dedup": decision.IdempotentByKey, "fragile": decision.NotIdempotent,
}

var groups = map[string]decision.DedupScope{
	"": decision.DedupEverywhere, "all": decision.DedupEverywhere, "zone": decision.DedupZone, "cell": decision.DedupShard,
}

// Parse turns the JSON of the settings into the module's Config.
func Parse(text string, seed uint64) (decision.Config, error) {
	var in settings
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return decision.Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := negative(reflect.ValueOf(in), "settings"); err != nil {
		return decision.Config{}, err
	}
	switch in.Discovery {
	case "", "ask", "push":
	default:
		return decision.Config{}, fmt.Errorf("settings.discovery: %q is neither ask nor push", in.Discovery)
	}
	c, l := in.Contract, in.Limits
	out := decision.Config{
		Seed: seed, Brokers: in.Balancers, MaxAttempts: l.SendCap,
		PollsEndpoints: in.Discovery == "ask", MaxPollInterval: time.Duration(c.AskWithin),
		SendsRetryAfter: l.RetryAfter, MaxRetryAfter: time.Duration(l.MaxRetry),
		SlowStartFraction: c.ColdFrom, SlowStartDuration: time.Duration(c.WarmAfter),
		OverloadWindow: time.Duration(c.TipAfter), SlowStartCapacityUnits: in.Specifics.ColdBears,
		OrderedKeyQuietPeriod: time.Duration(c.KeyQuiet), RetryBudgetBase: c.FreeResends, RetryBudgetWindow: time.Duration(c.LookBack),
		MeanUnits: in.Specifics.MeanUnits, MaxUnits: in.Specifics.MaxUnits,
		QuotaPriorityWeight: in.Specifics.FairWorth, HandshakeCost: in.Deductions.Handshake,
	}
	if c.LookBack > 0 {
		out.HasRetryBudget = true
		if c.FurtherRatio != nil {
			out.RetryBudgetRatio = *c.FurtherRatio
		}
	}
	for i, k := range in.Classes {
		repeat, ok := repeats[k.Repeat]
		if !ok {
			return out, fmt.Errorf("settings.classes[%d].repeat: unknown kind %q", i, k.Repeat)
		}
		group, ok := groups[k.Group]
		if !ok {
			return out, fmt.Errorf("settings.classes[%d].group: unknown group %q", i, k.Group)
		}
		out.Classes = append(out.Classes, decision.Class{
			Name: k.Name, LatencyObjective: time.Duration(k.Aim), Deadline: time.Duration(k.GiveUp), PriorityWeight: k.Importance,
			Idempotency: repeat, DedupScope: group, DedupWindow: time.Duration(k.Window),
			Ordered: k.ByArrival,
		})
	}
	for _, p := range in.Policies {
		out.Plans = append(out.Plans, decision.Plan{
			Name: p.Name, Weight: p.Shares, PriceFactor: p.Value, UsualRate: p.Usual, ReservedRate: p.Floor,
			RateLimit: p.NeverOver, RateLimitBurst: p.Burst, RateLimitTolerance: p.Tolerance,
		})
	}
	return out, nil
}
