package incident

import "poppyarch/internal/timing/clock"

// Options are an analysis's assumptions. Times are microseconds.
type Options struct {
	From, To         clock.Micros // only what touches this span; 0: everything
	Now              clock.Micros // of the reference; a boot without a word for three heartbeats before it is dead; 0: the latest word
	NotificationTime clock.Micros // a list version is told to every broker within this
	MaxClockSkew     clock.Micros // wall clocks of machines differ by at most this
	SlowFactor       float64
	SurgeFactor      float64
	RejectedShare    float64
}

// DefaultOptions suit brokers on machines whose clocks are kept.
func DefaultOptions() Options {
	return Options{NotificationTime: 500_000, MaxClockSkew: 1_000_000, SlowFactor: 3, SurgeFactor: 4, RejectedShare: 0.05}
}

// Kind is what an episode is.
type Kind string

// The kinds of episodes.
const (
	BrokerDead    Kind = "broker dead"
	BrokerDrain   Kind = "broker drains"
	NodeSilent    Kind = "node silent"
	NodeDown      Kind = "node down" // refuses or resets connections
	NodeCold      Kind = "node cold" // it has restarted, and is not yet as quick as usual
	NodeSlow      Kind = "node slow"
	NodeDrain     Kind = "node drains"
	VolumeSurge   Kind = "surge"
	DiscoveryDown Kind = "discovery down"
	Refusals      Kind = "refusals"
	Rollout       Kind = "rollout"
)

// Bound is a time that is known to lie between two.
type Bound struct {
	Earliest clock.Micros `json:"lo"`
	Latest   clock.Micros `json:"hi"`
}

// Episode is something that went on for a while.
type Episode struct {
	ID       int      `json:"id"`
	Kind     Kind     `json:"kind"`
	Subject  string   `json:"subject"`
	Begin    Bound    `json:"begin"`
	End      Bound    `json:"end"`
	Open     bool     `json:"open,omitempty"` // it had not ended by the last record
	Evidence []string `json:"evidence"`
	Doubt    []string `json:"doubt,omitempty"`    // gaps that its bounds fall into
	Overlaps []int    `json:"overlaps,omitempty"` // ids of episodes that it may share time with
	Impact   Impact   `json:"impact"`
}

// Impact is what came to all clients while an episode went on, by its widest bounds.
type Impact struct {
	Served  int64         `json:"served"`
	Late    int64         `json:"late"`
	Refused int64         `json:"refused"`
	Failed  int64         `json:"failed"`
	Worth   float64       `json:"worth"` // of the late, refused and failed: class worth, times price, times units
	Groups  []GroupImpact `json:"groups,omitempty"`
}

// GroupImpact is the share of one class and plan.
type GroupImpact struct {
	Class   string  `json:"class"`
	Plan    string  `json:"plan"`
	Served  int64   `json:"served"`
	Late    int64   `json:"late"`
	Refused int64   `json:"refused"`
	Failed  int64   `json:"failed"`
	Worth   float64 `json:"worth"`
}

// Second is what was answered in one second, over all brokers whose records are there.
type Second struct {
	At             clock.Micros `json:"at"`
	Served         int64        `json:"served"`
	Late           int64        `json:"late"`
	Refused        int64        `json:"refused"`
	Failed         int64        `json:"failed"`
	P50            clock.Micros `json:"p50"`
	P99            clock.Micros `json:"p99"`
	UnknownBrokers int          `json:"blind"` // brokers of which nothing is known in it
}

// Analysis is the outcome.
type Analysis struct {
	From      clock.Micros `json:"from"`
	To        clock.Micros `json:"to"`
	Brokers   []string     `json:"brokers"`
	Nodes     []string     `json:"nodes"`
	Clocks    []Clock      `json:"clocks"`
	Knowledge []Span       `json:"knowledge"`
	Episodes  []Episode    `json:"episodes"`
	Seconds   []Second     `json:"seconds"`
	Events    int          `json:"events"`
	Sampled   float64      `json:"sampled"` // the least share of requests that any boot recorded

	groups map[clock.Micros]map[string]*GroupImpact
}
