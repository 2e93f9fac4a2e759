package settings

import (
	"time"

	"poppyarch/internal/broker/decision"
)

// settings is the part of the object that this package reads. Fields are named in the broker's terms, JSON tags in the
// platform's.
type settings struct {
	Brokers    int             `json:"balancers"`
	Classes    []class         `json:"classes"`
	Contract   contract        `json:"contract"`
	Discovery  discoveryMode   `json:"discovery"`
	Deductions deductions      `json:"deductions"`
	Limits     requestLimits   `json:"limits"`
	Plans      []plan          `json:"policies"`
	Specifics  workloadDetails `json:"specifics"`
}

type class struct {
	Name             string        `json:"name"`
	LatencyObjective time.Duration `json:"aim_ns"`
	Deadline         time.Duration `json:"give_up_ns"`
	PriorityWeight   float64       `json:"importance"`
	Idempotency      string        `json:"repeat"`
	DedupScope       string        `json:"group"`
	DedupWindow      time.Duration `json:"dedup_window_ns"`
	Ordered          bool          `json:"by_arrival"`
}

type contract struct {
	MaxPollInterval       time.Duration `json:"ask_within_ns"`
	SlowStartFraction     float64       `json:"cold_from"`
	OrderedKeyQuietPeriod time.Duration `json:"key_quiet_ns"`
	OverloadWindow        time.Duration `json:"tip_after_ns"`
	SlowStartDuration     time.Duration `json:"warm_after_ns"`
	RetryBudgetBase       float64       `json:"free_resends"`
	RetryBudgetRatio      *float64      `json:"further_ratio"`
	RetryBudgetWindow     time.Duration `json:"look_back_ns"`
}

type deductions struct {
	HandshakeCost float64 `json:"handshake"`
}

type requestLimits struct {
	SendsRetryAfter bool          `json:"retry_after"`
	MaxRetryAfter   time.Duration `json:"max_retry_after_ns"`
	MaxAttempts     int           `json:"send_cap"`
}

type plan struct {
	Name               string  `json:"name"`
	RateLimitBurst     float64 `json:"burst"`
	ReservedRate       float64 `json:"floor_rate"`
	RateLimit          float64 `json:"never_over"`
	Weight             float64 `json:"shares"`
	RateLimitTolerance float64 `json:"tolerance"`
	UsualRate          float64 `json:"usual_rate"`
	PriceFactor        float64 `json:"value_factor"`
}

type workloadDetails struct {
	SlowStartCapacityUnits float64 `json:"cold_bears"`
	QuotaPriorityWeight    float64 `json:"fair_worth"`
	MaxUnits               float64 `json:"max_units"`
	MeanUnits              float64 `json:"mean_units"`
}

// discoveryMode is the way in which the endpoint list reaches a broker.
type discoveryMode string

// The discovery modes. If the mode is not set, the list is pushed.
const (
	discoveryPolled discoveryMode = "ask"
	discoveryPushed discoveryMode = "push"
)

var idempotencies = map[string]decision.Idempotency{
	"retryable": decision.Idempotent,
	"dedup":     decision.IdempotentByKey,
	"fragile":   decision.NotIdempotent,
}

var dedupScopes = map[string]decision.DedupScope{
	"":     decision.DedupEverywhere,
	"all":  decision.DedupEverywhere,
	"zone": decision.DedupZone,
	"cell": decision.DedupShard,
}
