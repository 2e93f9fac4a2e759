package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// Scenario is what a run simulates. Its form is TOML; docs/LAB.md describes the keys.
type Scenario struct {
	Name      string      `toml:"name"`
	Brokers   int         `toml:"brokers"`
	Zones     int         `toml:"zones"` // nodes and brokers are assigned to them round robin; 0 is the same as 1
	Duration  Duration    `toml:"last"`
	WarmUp    Duration    `toml:"warm"` // at the start of the run, left out of estimates and quantiles
	Nodes     []NodeGroup `toml:"nodes"`
	Service   Service     `toml:"service"`
	SlowStart SlowStart   `toml:"cold"`
	Link      Link        `toml:"link"`
	Discovery Discovery   `toml:"discovery"`
	Load      Load        `toml:"load"`
	Classes   []Class     `toml:"class"`
	Plans     []Plan      `toml:"plan"`
	Rules     Rules       `toml:"rules"`
	Faults    []Fault     `toml:"trouble"`
}

// Values of Load.Distribution.
const (
	exponential = "exponential"
	constant    = "constant"
	lognormal   = "lognormal"
)

// Values of Class.Idempotency.
const (
	idempotent    = "always"
	notIdempotent = "never"
)

// Duration is a time.Duration whose text has a unit, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText formats a duration.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// us returns the duration in microseconds.
func (s Duration) us() int64 { return time.Duration(s).Microseconds() }

// NodeGroup is a number of equal nodes.
type NodeGroup struct {
	Count         int     `toml:"count"`
	Cores         int     `toml:"cores"`
	Speed         float64 `toml:"speed"` // work per second of one core, in seconds of a core with speed 1
	QueueCapacity int     `toml:"room"`  // requests that may wait; 0 if there is no limit
}

// Service holds the properties that all nodes share.
type Service struct {
	DropsCancelled        bool     `toml:"drops"`       // a queued request is dropped once its attempt is over
	MaxConnections        int      `toml:"connections"` // largest number at a node; 0 if there is no limit
	Handshake             Duration `toml:"handshake"`   // work of a new connection at the node
	CachedKeys            int      `toml:"remembers"`   // the most recent keys; another request for one of them costs less
	CacheHitSaving        float64  `toml:"seek"`        // fraction of a request's work that a cached key saves
	DeferredWriteFraction float64  `toml:"defer"`       // fraction of a write's work that is deferred
	FlushInterval         Duration `toml:"flush"`       // mean time between flushes of deferred work
}

// SlowStart is the reduced capacity of nodes after a start, which grows linearly. Without Duration nodes start warm.
// Without InitialUnits brokers are configured with the capacity of the slowest node.
type SlowStart struct {
	InitialCapacity float64  `toml:"share"`    // fraction of a warm node's capacity
	Duration        Duration `toml:"warm"`     // until a node is warm
	OverloadFactor  float64  `toml:"multiple"` // arrivals beyond this multiple of the capacity crash a node; 0 if they do not
	Window          Duration `toml:"window"`   // in which arrivals are counted for OverloadFactor
	InitialUnits    float64  `toml:"bears"`    // units per window at a node's start, as brokers know it; 0 to derive it
}

// Link is the network between brokers and nodes.
type Link struct {
	Delay       Duration `toml:"delay"`     // one way
	Jitter      Duration `toml:"jitter"`    // mean of the exponential part that is added to it
	Handshake   Duration `toml:"handshake"` // time for a new connection, in addition to two delays
	IdleTimeout Duration `toml:"keep"`      // of a connection; 0 if connections are not simulated
}

// Discovery is the discovery service of all brokers. Without CallRate it answers polls without queuing.
type Discovery struct {
	CallRate float64  `toml:"calls"` // polls per second that it can answer
	Timeout  Duration `toml:"wait"`  // of a poll in its queue; 0 if there is none
	Delay    Duration `toml:"late"`  // mean time until a change is visible
}

// Load is the load of all brokers together.
type Load struct {
	Rate                 float64  `toml:"rate"`     // requests per second
	Work                 Duration `toml:"work"`     // mean work of a request for a core with speed 1
	Distribution         string   `toml:"spread"`   // of the work: "exponential", "constant" or "lognormal"
	Sigma                float64  `toml:"sigma"`    // of the lognormal distribution
	Deadline             Duration `toml:"patience"` // of requests, if the scenario has no classes; 0 if there is none
	RetryFraction        float64  `toml:"retry"`    // fraction of clients that retry once after a rejection or failure
	RereadFraction       float64  `toml:"reread"`   // fraction of reads that read one of the objects written last
	PrimaryShiftInterval Duration `toml:"shift"`    // mean time until another broker gets most of a volume's load; 0 for never
	ZipfExponent         float64  `toml:"skew"`     // Zipf exponent of a volume's load over its brokers; 0 if uniform
}

// Class is a class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"share"` // of all requests, in relation to the other classes'
	WorkFactor       float64  `toml:"work"`  // in relation to the load's mean; 0 is the same as 1
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"patience"`
	PriorityWeight   float64  `toml:"worth"`  // weight of a request served within its objective
	LateValue        float64  `toml:"late"`   // fraction of that weight for a request served after its objective
	Idempotency      string   `toml:"repeat"` // "always" or "never"
	Writes           bool     `toml:"writes"` // its requests write new objects, which any node may store
}

// Plan is the service level of volumes.
type Plan struct {
	Name          string  `toml:"name"`
	Volumes       int     `toml:"volumes"`
	RelativeRate  float64 `toml:"size"`    // usual rate in relation to other plans' volumes
	ReservedRate  float64 `toml:"reserve"` // fraction of the usual rate
	RateLimit     float64 `toml:"limit"`   // multiple of the usual rate; 0 if there is no limit
	Weight        float64 `toml:"weight"`
	PriceFactor   float64 `toml:"price"`
	BrokerRange   [2]int  `toml:"hosts"` // range of the number of brokers of a volume
	NodeRange     [2]int  `toml:"nodes"` // range of the number of nodes with its data
	BusyFraction  float64 `toml:"busy"`  // fraction of volumes whose rate is always up to three times the usual one
	SurgeFraction float64 `toml:"surge"` // fraction of volumes with short surges of many times the usual rate
}

// Rules are bounds that brokers must keep, and the values of work beyond the reserved rate.
type Rules struct {
	MaxAttempts          int      `toml:"attempts"` // of a request; 0 if there is no limit
	DrainGrace           Duration `toml:"grace"`    // after a notification of a drain
	ResponseGrace        Duration `toml:"slack"`    // after a request's deadline
	BurstValueFactor     float64  `toml:"share"`    // factor on the value of work beyond the reserved rate
	ExcessValueFactor    float64  `toml:"beyond"`   // factor on the value of work beyond the reserved rate and twice the usual rate
	NotificationDeadline Duration `toml:"ask"`      // after which a broker counts as notified even if it has not polled; 0: never
}

// classes returns the scenario's classes, or a single one of idempotent requests if it has none.
func (s *Scenario) classes() []Class {
	if len(s.Classes) > 0 {
		return s.Classes
	}
	deadline := s.Load.Deadline
	if deadline == 0 {
		deadline = Duration(1000 * time.Hour)
	}
	return []Class{{Name: "work", Share: 1, WorkFactor: 1, LatencyObjective: deadline, Deadline: deadline, PriorityWeight: 1, Idempotency: idempotent, Writes: true}}
}

// TotalCores returns the capacity of all nodes, in cores with speed 1.
func (s *Scenario) TotalCores() float64 {
	cores := 0.0
	for _, k := range s.Nodes {
		cores += float64(k.Count*k.Cores) * k.Speed
	}
	return cores
}

// NodeCount returns the number of nodes.
func (s *Scenario) NodeCount() (n int) {
	for _, k := range s.Nodes {
		n += k.Count
	}
	return n
}

// OfferedLoad returns the usual load as a fraction of the capacity of all nodes.
func (s *Scenario) OfferedLoad() float64 {
	return s.Load.Rate * time.Duration(s.Load.Work).Seconds() / s.TotalCores()
}

// work returns a function that draws the work of a request, in microseconds.
func (l *Load) work(src rand.Source) func() float64 {
	mean := float64(l.Work.us())
	switch l.Distribution {
	case constant:
		return func() float64 { return mean }
	case lognormal:
		return distuv.LogNormal{Mu: math.Log(mean) - l.Sigma*l.Sigma/2, Sigma: l.Sigma, Src: src}.Rand
	}
	return distuv.Exponential{Rate: 1 / mean, Src: src}.Rand
}

// Copy returns a deep copy.
func (s *Scenario) Copy() (*Scenario, error) {
	text, err := toml.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	c := &Scenario{}
	if err := toml.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	return c, nil
}
