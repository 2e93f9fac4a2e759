package decision

// Plan holds the service limits of a tenant's volume. Rates are units per second over all brokers and nodes.
type Plan struct {
	Name         string
	Weight       float64 // weight of the volume in the fair queueing at each node
	PriceFactor  float64 // factor on the priority weight of its requests
	UsualRate    float64
	ReservedRate float64

	RateLimit          float64 // 0 for no limit
	RateLimitBurst     float64 // units
	RateLimitTolerance float64 // units by which the limit may be exceeded
}
