package incident

import "poppyarch/internal/timing/clock"

// Options are the assumptions of an analysis.
type Options struct {
	From, To         clock.Micros // only what touches this span; 0: everything
	Now              clock.Micros // on the reference's clock; a boot without a record for three heartbeats before it is dead; 0: the latest record
	NotificationTime clock.Micros // every broker is notified of a list revision within this
	MaxClockSkew     clock.Micros // wall clocks of machines differ by at most this
	SlowFactor       float64      // a node is slow from this multiple of its usual median latency on
	SurgeFactor      float64      // a volume surges from this multiple of its usual rate on
	RejectedShare    float64      // of a second's responses, above which rejections are an episode
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

// Kind is the kind of an episode. Its texts are part of reports' encoded form.
type Kind string

// The kinds of episodes.
const (
	BrokerDead    Kind = "broker dead"
	BrokerDrain   Kind = "broker drains"
	NodeSilent    Kind = "node silent"
	NodeDown      Kind = "node down" // refuses or resets connections
	NodeSlowStart Kind = "node cold" // it has restarted, and is not yet as quick as usual
	NodeSlow      Kind = "node slow"
	NodeDrain     Kind = "node drains"
	VolumeSurge   Kind = "surge"
	DiscoveryDown Kind = "discovery down"
	Rejections    Kind = "refusals"
	Rollout       Kind = "rollout"
)

// Bound is a time that is known to lie between two.
type Bound struct {
	Earliest clock.Micros `json:"lo"`
	Latest   clock.Micros `json:"hi"`
}

// exactly returns the bound of a time that is known.
func exactly(at clock.Micros) Bound { return Bound{Earliest: at, Latest: at} }

// Episode is a fault, a drain, a rollout or another condition, from its begin to its end.
type Episode struct {
	ID            int      `json:"id"`
	Kind          Kind     `json:"kind"`
	Subject       string   `json:"subject"`
	Begin         Bound    `json:"begin"`
	End           Bound    `json:"end"`
	Open          bool     `json:"open,omitempty"` // it had not ended by the last record
	Evidence      []string `json:"evidence"`
	Uncertainties []string `json:"doubt,omitempty"`    // gaps in the records that its bounds fall into
	Overlaps      []int    `json:"overlaps,omitempty"` // IDs of episodes that it may overlap
	Impact        Impact   `json:"impact"`
}

// Impact counts the responses to all clients during an episode, by its widest bounds.
type Impact struct {
	Served     int64         `json:"served"`
	Late       int64         `json:"late"`
	Rejected   int64         `json:"refused"`
	Failed     int64         `json:"failed"`
	WeightLost float64       `json:"worth"` // of the late, rejected and failed: priority weight, times price, times units
	Groups     []GroupImpact `json:"groups,omitempty"`
}

// GroupImpact is the part of one class and plan.
type GroupImpact struct {
	Class      string  `json:"class"`
	Plan       string  `json:"plan"`
	Served     int64   `json:"served"`
	Late       int64   `json:"late"`
	Rejected   int64   `json:"refused"`
	Failed     int64   `json:"failed"`
	WeightLost float64 `json:"worth"`
}

// Second counts the responses of one second, over all brokers with records.
type Second struct {
	Begin          clock.Micros `json:"at"`
	Served         int64        `json:"served"`
	Late           int64        `json:"late"`
	Rejected       int64        `json:"refused"`
	Failed         int64        `json:"failed"`
	P50            clock.Micros `json:"p50"`
	P99            clock.Micros `json:"p99"`
	UnknownBrokers int          `json:"blind"` // brokers without records of it
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
	SampleFraction float64      `json:"sampled"` // the least fraction of requests that any boot recorded

	groups map[clock.Micros]map[string]*GroupImpact // by second, class and plan
}
