// Package settings reads the settings object that the simulator and the platform pass to a broker. It maps their names
// to the terms of package decision; no other package uses those names.
//
//	platform                         broker
//	balancers                        Config.Brokers
//	classes[].aim_ns                 Class.LatencyObjective
//	classes[].give_up_ns             Class.Deadline
//	classes[].importance             Class.PriorityWeight
//	classes[].repeat                 Class.Idempotency: retryable Idempotent, dedup IdempotentByKey, fragile NotIdempotent
//	classes[].group                  Class.DedupScope: all DedupEverywhere, zone DedupZone, cell DedupShard
//	classes[].dedup_window_ns        Class.DedupWindow
//	classes[].by_arrival             Class.Ordered
//	contract.ask_within_ns           Config.MaxPollInterval
//	contract.cold_from               Config.SlowStartFraction
//	contract.warm_after_ns           Config.SlowStartDuration
//	contract.tip_after_ns            Config.OverloadWindow
//	contract.key_quiet_ns            Config.OrderedKeyQuietPeriod
//	contract.free_resends            Config.RetryBudgetBase
//	contract.further_ratio           Config.RetryBudgetRatio
//	contract.look_back_ns            Config.RetryBudgetWindow, and HasRetryBudget where it is above 0
//	deductions.handshake             Config.HandshakeCost
//	discovery                        Config.PollsEndpoints: ask true, push false
//	limits.retry_after               Config.SendsRetryAfter
//	limits.max_retry_after_ns        Config.MaxRetryAfter
//	limits.send_cap                  Config.MaxAttempts
//	policies[]                       Config.Plans
//	policies[].burst                 Plan.RateLimitBurst
//	policies[].floor_rate            Plan.ReservedRate
//	policies[].never_over            Plan.RateLimit
//	policies[].shares                Plan.Weight
//	policies[].tolerance             Plan.RateLimitTolerance
//	policies[].usual_rate            Plan.UsualRate
//	policies[].value_factor          Plan.PriceFactor
//	specifics.cold_bears             Config.SlowStartCapacityUnits
//	specifics.fair_worth             Config.QuotaPriorityWeight
//	specifics.max_units              Config.MaxUnits
//	specifics.mean_units             Config.MeanUnits
//
// Names that end in _ns are nanoseconds. Other keys of the object are ignored.
package settings
