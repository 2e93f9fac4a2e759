package incident

import "poppyarch/internal/timing/clock"

// Options are the parameters and assumptions of an analysis.
type Options struct {
	// From and To limit the analysis to what overlaps this time span. If both are 0 it is not limited.
	From, To clock.Micros
	// Now is the time of the analysis on the reference's clock: a broker whose last record is more than three heartbeat
	// intervals older counts as dead. 0 means the time of the latest record.
	Now              clock.Micros
	NotificationTime clock.Micros // maximum time until every broker has been notified of a list revision
	MaxClockSkew     clock.Micros // maximum difference between the wall clocks of two machines
	SlowFactor       float64      // a node is slow if its median latency is above this multiple of its usual one
	SurgeFactor      float64      // a volume surges if its request rate is above this multiple of its usual one
	RejectedShare    float64      // share of a second's responses above which rejections are an episode
}

// DefaultOptions returns options that suit brokers on machines with synchronized clocks.
func DefaultOptions() Options {
	return Options{
		NotificationTime: 500_000,
		MaxClockSkew:     1_000_000,
		SlowFactor:       3,
		SurgeFactor:      4,
		RejectedShare:    0.05,
	}
}

// Kind is the kind of an episode. The values appear in encoded reports.
type Kind string

// The kinds of episodes.
const (
	BrokerDead    Kind = "broker dead"
	BrokerDrain   Kind = "broker drains"
	NodeSilent    Kind = "node silent"
	NodeDown      Kind = "node down" // it refused or reset connections
	NodeSlowStart Kind = "node cold" // it has restarted, and its latency is not yet back to the usual
	NodeSlow      Kind = "node slow"
	NodeDrain     Kind = "node drains"
	VolumeSurge   Kind = "surge"
	DiscoveryDown Kind = "discovery down"
	Rejections    Kind = "refusals"
	Rollout       Kind = "rollout"
)

// Bound is the interval within which a time is known to lie.
type Bound struct {
	Earliest clock.Micros `json:"lo"`
	Latest   clock.Micros `json:"hi"`
}

// exactly returns the bound of a time that is known exactly.
func exactly(at clock.Micros) Bound { return Bound{Earliest: at, Latest: at} }

// Episode is a fault, a drain, a rollout or another condition that lasted for some time.
type Episode struct {
	ID            int      `json:"id"`
	Kind          Kind     `json:"kind"`
	Subject       string   `json:"subject"`
	Begin         Bound    `json:"begin"`
	End           Bound    `json:"end"`
	Open          bool     `json:"open,omitempty"` // it had not ended by the time of the last record
	Evidence      []string `json:"evidence"`
	Uncertainties []string `json:"doubt,omitempty"`    // gaps in the records that overlap its bounds
	Overlaps      []int    `json:"overlaps,omitempty"` // IDs of episodes that it may overlap
	Impact        Impact   `json:"impact"`
}

// Impact counts the responses to all clients during an episode, from the earliest begin to the latest end.
type Impact struct {
	Served   int64 `json:"served"`
	Late     int64 `json:"late"`
	Rejected int64 `json:"refused"`
	Failed   int64 `json:"failed"`
	// WeightLost sums priority weight times price factor times units over the late, rejected and failed requests.
	WeightLost float64       `json:"worth"`
	Groups     []GroupImpact `json:"groups,omitempty"`
}

// GroupImpact is the part of an Impact that concerns one class and plan.
type GroupImpact struct {
	Class      string  `json:"class"`
	Plan       string  `json:"plan"`
	Served     int64   `json:"served"`
	Late       int64   `json:"late"`
	Rejected   int64   `json:"refused"`
	Failed     int64   `json:"failed"`
	WeightLost float64 `json:"worth"`
}

// Second counts the responses of one second over all brokers that have records of it.
type Second struct {
	Begin          clock.Micros `json:"at"`
	Served         int64        `json:"served"`
	Late           int64        `json:"late"`
	Rejected       int64        `json:"refused"`
	Failed         int64        `json:"failed"`
	P50            clock.Micros `json:"p50"`
	P99            clock.Micros `json:"p99"`
	UnknownBrokers int          `json:"blind"` // number of brokers without records of this second
}

// Analysis is the result of an analysis. Times are on the reference's clock.
type Analysis struct {
	From           clock.Micros `json:"from"`
	To             clock.Micros `json:"to"`
	Brokers        []string     `json:"brokers"`
	Nodes          []string     `json:"nodes"`
	Clocks         []Clock      `json:"clocks"`
	Knowledge      []Span       `json:"knowledge"`
	Episodes       []Episode    `json:"episodes"`
	Seconds        []Second     `json:"seconds"`
	Events         int          `json:"events"`
	SampleFraction float64      `json:"sampled"` // lowest fraction of requests that any incarnation recorded in full

	groups map[clock.Micros]map[string]*GroupImpact // by second, class and plan
}
