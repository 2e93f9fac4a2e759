// Package decision holds the types by which package policy is told what has happened and says what is to be done: the
// settings of a host, events and actions. It decides nothing.
package decision

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Idempotency says what a class allows once an attempt of a request may have run.
type Idempotency uint8

// The kinds of repetition.
const (
	Idempotent      Idempotency = iota // may always be repeated
	IdempotentByKey                    // repeats are dropped by the group that saw the first, for a while
	NotIdempotent                      // must never run twice
)

// DedupScope is the set of nodes that drops repeats of a keyed class.
type DedupScope uint8

// The groups of a keyed class.
const (
	DedupEverywhere DedupScope = iota
	DedupZone
	DedupShard
)

// Covers reports whether both nodes belong to one group of this kind.
func (g DedupScope) Covers(a, b *Endpoint) bool {
	switch g {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupShard:
		return a.Shard == b.Shard
	}
	return true
}

// Class is one kind of request.
type Class struct {
	Name                       string
	LatencyObjective, Deadline time.Duration // wanted within; the client gives up after
	PriorityWeight             float64       // of one request answered within the aim
	Idempotency                Idempotency
	DedupScope                 DedupScope    // for keyed classes
	DedupWindow                time.Duration // for keyed classes
	Ordered                    bool          // requests with one key run in turn
}

// MayShed reports whether a request may be refused whatever became of its attempts: the client's next try is harmless.
func (c *Class) MayShed() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupEverywhere
}

// Plan holds what a volume of it is due, in units a second over all hosts and nodes.
type Plan struct {
	Name                                          string
	Weight, PriceFactor                           float64
	UsualRate, ReservedRate                       float64
	RateLimit, RateLimitBurst, RateLimitTolerance float64 // Limit 0: none
}

// Config holds the settings of one host. New checks it.
type Config struct {
	Seed                                     uint64
	Brokers                                  int
	Classes                                  []Class
	Plans                                    []Plan
	MaxAttempts                              int
	PollsEndpoints                           bool          // the node list must be asked for
	LocalDiscoveryAgent                      bool          // asked for, but of an agent that serves this host alone
	MaxPollInterval                          time.Duration // asked less often, the host counts as told
	SendsRetryAfter                          bool          // clients are told when to come back
	MaxRetryAfter                            time.Duration
	SlowStartFraction                        float64 // a cold node starts with at least this part of its capacity
	SlowStartDuration, OverloadWindow        time.Duration
	SlowStartCapacityUnits                   float64 // what a cold node bears within TipWindow from all hosts
	OrderedKeyQuietPeriod                    time.Duration
	HasRetryBudget                           bool // the three figures below bind
	RetryBudgetBase, RetryBudgetRatio        float64
	RetryBudgetWindow                        time.Duration
	MeanUnits, MaxUnits, QuotaPriorityWeight float64
	LocalZone                                int           // zone of this host, from 1; 0: new objects go anywhere alike
	HandshakeCost                            float64       // price of a new connection, in parts of a mean request's worth
	ConnectionReuseWindow                    time.Duration // so long after an answer the connection still stands for any work
	RemoteZonePenalty                        time.Duration // what a node in another zone has to be better by, for new objects
}

// WithDefaults is c with what cannot be 0 set to 1. It shares nothing that it changes.
func (c Config) WithDefaults() Config {
	c.Plans = slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].Weight = atLeastSome(c.Plans[i].Weight)
	}
	c.Brokers, c.MaxAttempts = max(c.Brokers, 1), max(c.MaxAttempts, 1)
	c.MeanUnits = atLeastSome(c.MeanUnits)
	return c
}

// atLeastSome is v, or 1 where it is not above 0.
func atLeastSome(v float64) float64 { return cmp.Or(max(v, 0), 1) }

// Plan is the plan of that number; an unknown one has neither reserve nor limit.
func (c *Config) Plan(number int) *Plan {
	if number < 0 || number >= len(c.Plans) {
		return &Plan{Weight: 1, PriceFactor: 1}
	}
	return &c.Plans[number]
}

// RetryAfter is what a refused client is told of a wait: as long as it would follow, or 0 where it is told nothing.
func (c *Config) RetryAfter(wait time.Duration) time.Duration {
	if !c.SendsRetryAfter {
		return 0
	}
	return min(wait, c.MaxRetryAfter)
}

// ZonePenalty is what a node in a zone has to be better by than one at home, for new objects.
func (c *Config) ZonePenalty(zone int) time.Duration {
	if c.LocalZone == 0 || zone+1 == c.LocalZone {
		return 0
	}
	return c.RemoteZonePenalty
}

// SlowStartCapacity is how many units a cold node bears for sure within TipWindow, from all hosts, so long after its start.
func (c *Config) SlowStartCapacity(age time.Duration) float64 {
	if c.SlowStartFraction <= 0 {
		return c.SlowStartCapacityUnits
	}
	return c.SlowStartCapacityUnits * (1 + (1-c.SlowStartFraction)/c.SlowStartFraction*max(0, age.Seconds())/c.SlowStartDuration.Seconds())
}

// DiscoveryClients is how many hosts share the discovery that this one asks.
func (c *Config) DiscoveryClients() int {
	if c.LocalDiscoveryAgent {
		return 1
	}
	return c.Brokers
}

// Check reports the first setting that cannot be, by its name and value.
func (c *Config) Check() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("classes: none given")
	}
	negative := func(name string, v float64) error {
		if v < 0 {
			return fmt.Errorf("%s: %v is negative", name, v)
		}
		return nil
	}
	var bad []error
	for i, k := range c.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		if k.LatencyObjective <= 0 {
			return fmt.Errorf("%saim: %v is not above 0", at, k.LatencyObjective)
		}
		if k.Deadline <= 0 {
			return fmt.Errorf("%sdeadline: %v is not above 0", at, k.Deadline)
		}
		if k.Idempotency > NotIdempotent {
			return fmt.Errorf("%srepeat: %d is unknown", at, k.Idempotency)
		}
		if k.DedupScope > DedupShard {
			return fmt.Errorf("%sgroup: %d is unknown", at, k.DedupScope)
		}
		bad = append(bad, negative(at+"worth", k.PriorityWeight), negative(at+"dedup window", k.DedupWindow.Seconds()))
	}
	for i, p := range c.Plans {
		at := fmt.Sprintf("plans[%d].", i)
		bad = append(bad, negative(at+"weight", p.Weight), negative(at+"rate", p.UsualRate),
			negative(at+"reserve", p.ReservedRate), negative(at+"limit", p.RateLimit),
			negative(at+"limit burst", p.RateLimitBurst), negative(at+"slack", p.RateLimitTolerance), negative(at+"price", p.PriceFactor))
	}
	bad = append(bad, negative("hosts", float64(c.Brokers)), negative("max attempts", float64(c.MaxAttempts)),
		negative("warm", c.SlowStartDuration.Seconds()), negative("tip window", c.OverloadWindow.Seconds()),
		negative("key quiet", c.OrderedKeyQuietPeriod.Seconds()), negative("budget window", c.RetryBudgetWindow.Seconds()),
		negative("ask within", c.MaxPollInterval.Seconds()), negative("home", float64(c.LocalZone)), negative("far", c.RemoteZonePenalty.Seconds()),
		negative("handshake", c.HandshakeCost), negative("keep", c.ConnectionReuseWindow.Seconds()), negative("cold bears", c.SlowStartCapacityUnits),
		negative("mean units", c.MeanUnits), negative("max units", c.MaxUnits), negative("fair worth", c.QuotaPriorityWeight),
		negative("max retry after", c.MaxRetryAfter.Seconds()), negative("free resends", c.RetryBudgetBase),
		negative("further ratio", c.RetryBudgetRatio))
	if !(c.SlowStartFraction >= 0 && c.SlowStartFraction <= 1) {
		bad = append(bad, fmt.Errorf("cold from: %v is not 0 to 1", c.SlowStartFraction))
	}
	for _, err := range bad {
		if err != nil {
			return err
		}
	}
	return nil
}

// EndpointState is what the node list says of a node.
type EndpointState uint8

// The states of a listed node.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the node list.
type Endpoint struct {
	Node      string
	Shard     int
	Zone      int
	State     EndpointState
	StartedAt time.Duration // 0: long ago
	Capacity  float64       // of its kind, against the usual node; 0: not told
}

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes. NeverRan tells which of them prove that nothing ran.
const (
	Served Outcome = iota
	NodeError
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotAttempted
	MalformedResponse // it ran, but what came back cannot be read; says nothing against the node
	SendIncomplete    // its connection broke before all of it was sent
)

// NotExecuted reports whether the outcome proves that the attempt did not run.
func (o Outcome) NotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotAttempted || o == SendIncomplete
}

// IsResponse reports whether the node itself has answered.
func (o Outcome) IsResponse() bool {
	return o == Served || o == NodeError || o == Rejected || o == MalformedResponse
}

// MayStillExecute reports whether the attempt may be running yet.
func (o Outcome) MayStillExecute() bool {
	return o == TimedOut || o == ConnectionLost || o == Cancelled
}

// Arrival is a request as the host takes it.
type Arrival struct {
	Class, Plan int
	Volume, Key string
	Units       float64
	Shard       int // -1: a new object, for any node
	Brokers     int // hosts through which the volume's requests come
	Deadline    time.Duration
}

// EventKind names an event.
type EventKind uint8

// The events.
const (
	RequestArrived      EventKind = iota // ID, Arrival
	AttemptEnded                         // ID, Attempt, Node, Outcome, Final, VolumeUse, Elsewhere
	ResponseStarted                      // ID
	ClientDisconnected                   // ID
	EndpointsReplaced                    // Members is the whole list
	EndpointsChanged                     // Members are the changed entries
	EndpointWatchFailed                  // a list call failed or the watch broke; Within
	TimerFired                           // Token
)

// Event is one piece of news; Kind tells which fields count.
type Event struct {
	Kind           EventKind
	ID             uint64
	Attempt        int // of the request, from 0 on in the order of its sends
	Node           string
	Outcome        Outcome
	Final          bool
	VolumeUsage    int     // 1 + units of the volume everywhere in a finished period, in percent of the plan's rate
	UnitsElsewhere float64 // units this node served the volume through other hosts since its last answer
	Arrival        Arrival
	Endpoints      []Endpoint
	RetryWithin    time.Duration // the longest pause before the next list call; 0: not told
	Token          uint64
}

// ActionKind names an action.
type ActionKind uint8

// The actions.
const (
	Forward        ActionKind = iota // ID, Node, After: the attempt's time-out; By
	Shed                             // ID, After: when to come back
	Fail                             // ID
	SetTimer                         // After, Token
	WatchEndpoints                   // subscribe to the node list
	WriteLog                         // Text
)

// Action is one thing the host must do, in order; Kind tells which fields count.
type Action struct {
	Kind     ActionKind
	ID       uint64
	Node     string
	After    time.Duration
	NotAfter time.Duration // the attempt may not begin later than this, on the clock of Step; 0: whenever it can
	Token    uint64
	Text     string
}
