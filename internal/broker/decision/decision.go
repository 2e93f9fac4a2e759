// Package decision holds the types by which package policy is told what has happened and says what is to be done: the
// settings of a host, events and actions. It decides nothing.
package decision

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Repeat says what a class allows once an attempt of a request may have run.
type Repeat uint8

// The kinds of repetition.
const (
	Safe   Repeat = iota // may always be repeated
	Keyed                // repeats are dropped by the group that saw the first, for a while
	Unsafe               // must never run twice
)

// Group is the set of nodes that drops repeats of a keyed class.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupShard
)

// Holds reports whether both nodes belong to one group of this kind.
func (g Group) Holds(a, b *Member) bool {
	switch g {
	case GroupZone:
		return a.Zone == b.Zone
	case GroupShard:
		return a.Shard == b.Shard
	}
	return true
}

// Class is one kind of request.
type Class struct {
	Name          string
	Aim, Deadline time.Duration // wanted within; the client gives up after
	Worth         float64       // of one request answered within the aim
	Repeat        Repeat
	Group         Group         // for keyed classes
	RepeatWindow  time.Duration // for keyed classes
	InOrder       bool          // requests with one key run in turn
}

// Refusable reports whether a request may be refused whatever became of its attempts: the client's next try is harmless.
func (c *Class) Refusable() bool {
	return c.Repeat == Safe || c.Repeat == Keyed && c.Group == GroupAll
}

// Plan holds what a volume of it is due, in units a second over all hosts and nodes.
type Plan struct {
	Name                     string
	Weight, Price            float64
	Rate, Reserve            float64
	Limit, LimitBurst, Slack float64 // Limit 0: none
}

// Config holds the settings of one host. New checks it.
type Config struct {
	Seed                            uint64
	Hosts                           int
	Classes                         []Class
	Plans                           []Plan
	MaxAttempts                     int
	Ask                             bool          // the node list must be asked for
	Pushed                          bool          // asked for, but of an agent that serves this host alone
	AskWithin                       time.Duration // asked less often, the host counts as told
	Hints                           bool          // clients are told when to come back
	MaxHint                         time.Duration
	ColdFrom                        float64 // a cold node starts with at least this part of its capacity
	Warm, TipWindow                 time.Duration
	ColdUnits                       float64 // what a cold node bears within TipWindow from all hosts
	KeyQuiet                        time.Duration
	Budget                          bool // the three figures below bind
	BudgetFree, BudgetShare         float64
	BudgetWindow                    time.Duration
	MeanUnits, MaxUnits, ShareWorth float64
	Home                            int           // zone of this host, from 1; 0: new objects go anywhere alike
	Handshake                       float64       // price of a new connection, in parts of a mean request's worth
	Keep                            time.Duration // so long after an answer the connection still stands for any work
	Far                             time.Duration // what a node in another zone has to be better by, for new objects
}

// WithDefaults is c with what cannot be 0 set to 1. It shares nothing that it changes.
func (c Config) WithDefaults() Config {
	c.Plans = slices.Clone(c.Plans)
	for i := range c.Plans {
		c.Plans[i].Weight = atLeastSome(c.Plans[i].Weight)
	}
	c.Hosts, c.MaxAttempts = max(c.Hosts, 1), max(c.MaxAttempts, 1)
	c.MeanUnits = atLeastSome(c.MeanUnits)
	return c
}

// atLeastSome is v, or 1 where it is not above 0.
func atLeastSome(v float64) float64 { return cmp.Or(max(v, 0), 1) }

// Plan is the plan of that number; an unknown one has neither reserve nor limit.
func (c *Config) Plan(number int) *Plan {
	if number < 0 || number >= len(c.Plans) {
		return &Plan{Weight: 1, Price: 1}
	}
	return &c.Plans[number]
}

// Hint is what a refused client is told of a wait: as long as it would follow, or 0 where it is told nothing.
func (c *Config) Hint(wait time.Duration) time.Duration {
	if !c.Hints {
		return 0
	}
	return min(wait, c.MaxHint)
}

// Distance is what a node in a zone has to be better by than one at home, for new objects.
func (c *Config) Distance(zone int) time.Duration {
	if c.Home == 0 || zone+1 == c.Home {
		return 0
	}
	return c.Far
}

// ColdBudget is how many units a cold node bears for sure within TipWindow, from all hosts, so long after its start.
func (c *Config) ColdBudget(age time.Duration) float64 {
	if c.ColdFrom <= 0 {
		return c.ColdUnits
	}
	return c.ColdUnits * (1 + (1-c.ColdFrom)/c.ColdFrom*max(0, age.Seconds())/c.Warm.Seconds())
}

// Callers is how many hosts share the discovery that this one asks.
func (c *Config) Callers() int {
	if c.Pushed {
		return 1
	}
	return c.Hosts
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
		if k.Aim <= 0 {
			return fmt.Errorf("%saim: %v is not above 0", at, k.Aim)
		}
		if k.Deadline <= 0 {
			return fmt.Errorf("%sdeadline: %v is not above 0", at, k.Deadline)
		}
		if k.Repeat > Unsafe {
			return fmt.Errorf("%srepeat: %d is unknown", at, k.Repeat)
		}
		if k.Group > GroupShard {
			return fmt.Errorf("%sgroup: %d is unknown", at, k.Group)
		}
		bad = append(bad, negative(at+"worth", k.Worth), negative(at+"dedup window", k.RepeatWindow.Seconds()))
	}
	for i, p := range c.Plans {
		at := fmt.Sprintf("plans[%d].", i)
		bad = append(bad, negative(at+"weight", p.Weight), negative(at+"rate", p.Rate),
			negative(at+"reserve", p.Reserve), negative(at+"limit", p.Limit),
			negative(at+"limit burst", p.LimitBurst), negative(at+"slack", p.Slack), negative(at+"price", p.Price))
	}
	bad = append(bad, negative("hosts", float64(c.Hosts)), negative("max attempts", float64(c.MaxAttempts)),
		negative("warm", c.Warm.Seconds()), negative("tip window", c.TipWindow.Seconds()),
		negative("key quiet", c.KeyQuiet.Seconds()), negative("budget window", c.BudgetWindow.Seconds()),
		negative("ask within", c.AskWithin.Seconds()), negative("home", float64(c.Home)), negative("far", c.Far.Seconds()),
		negative("handshake", c.Handshake), negative("keep", c.Keep.Seconds()), negative("cold bears", c.ColdUnits),
		negative("mean units", c.MeanUnits), negative("max units", c.MaxUnits), negative("fair worth", c.ShareWorth),
		negative("max retry after", c.MaxHint.Seconds()), negative("free resends", c.BudgetFree),
		negative("further ratio", c.BudgetShare))
	if !(c.ColdFrom >= 0 && c.ColdFrom <= 1) {
		bad = append(bad, fmt.Errorf("cold from: %v is not 0 to 1", c.ColdFrom))
	}
	for _, err := range bad {
		if err != nil {
			return err
		}
	}
	return nil
}

// NodeState is what the node list says of a node.
type NodeState uint8

// The states of a listed node.
const (
	Ready NodeState = iota
	Draining
	Gone
)

// Member is one entry of the node list.
type Member struct {
	Node      string
	Shard     int
	Zone      int
	State     NodeState
	StartedAt time.Duration // 0: long ago
	Capacity  float64       // of its kind, against the usual node; 0: not told
}

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes. NeverRan tells which of them prove that nothing ran.
const (
	Served Outcome = iota
	NodeError
	TurnedAway
	TimedOut
	NoConnection
	ConnectionLost
	Cancelled
	NotSent
	Spoilt // it ran, but what came back cannot be read; says nothing against the node
	Unsent // its connection broke before all of it was sent
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool {
	return o == TurnedAway || o == NoConnection || o == NotSent || o == Unsent
}

// IsAnswer reports whether the node itself has answered.
func (o Outcome) IsAnswer() bool {
	return o == Served || o == NodeError || o == TurnedAway || o == Spoilt
}

// MayStillRun reports whether the attempt may be running yet.
func (o Outcome) MayStillRun() bool {
	return o == TimedOut || o == ConnectionLost || o == Cancelled
}

// Arrival is a request as the host takes it.
type Arrival struct {
	Class, Plan int
	Volume, Key string
	Units       float64
	Shard       int // -1: a new object, for any node
	Hosts       int // hosts through which the volume's requests come
	Due         time.Duration
}

// EventKind names an event.
type EventKind uint8

// The events.
const (
	Arrived     EventKind = iota // ID, Arrival
	Answered                     // ID, Attempt, Node, Outcome, Final, VolumeUse, Elsewhere
	StreamBegan                  // ID
	ClientLeft                   // ID
	ListFull                     // Members is the whole list
	ListChanged                  // Members are the changed entries
	ListFailed                   // a list call failed or the watch broke; Within
	TimerFired                   // Token
)

// Event is one piece of news; Kind tells which fields count.
type Event struct {
	Kind      EventKind
	ID        uint64
	Attempt   int // of the request, from 0 on in the order of its sends
	Node      string
	Outcome   Outcome
	Final     bool
	VolumeUse int     // 1 + units of the volume everywhere in a finished period, in percent of the plan's rate
	Elsewhere float64 // units this node served the volume through other hosts since its last answer
	Arrival   Arrival
	Members   []Member
	Within    time.Duration // the longest pause before the next list call; 0: not told
	Token     uint64
}

// ActionKind names an action.
type ActionKind uint8

// The actions.
const (
	Send   ActionKind = iota // ID, Node, After: the attempt's time-out; By
	Refuse                   // ID, After: when to come back
	Fail                     // ID
	Timer                    // After, Token
	Watch                    // subscribe to the node list
	Log                      // Text
)

// Action is one thing the host must do, in order; Kind tells which fields count.
type Action struct {
	Kind  ActionKind
	ID    uint64
	Node  string
	After time.Duration
	By    time.Duration // the attempt may not begin later than this, on the clock of Step; 0: whenever it can
	Token uint64
	Text  string
}
