package decision

// Plan is what a volume of a tenant may use, in units a second over all brokers and nodes.
type Plan struct {
	Name         string
	Weight       float64 // share of a node against other volumes
	PriceFactor  float64 // factor on the priority weight of its requests
	UsualRate    float64
	ReservedRate float64

	RateLimit          float64 // 0: none
	RateLimitBurst     float64 // units
	RateLimitTolerance float64 // units by which the limit may be exceeded
}
