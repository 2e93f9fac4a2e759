// Package policy decides when the requests of many volumes leave one host for shared storage nodes.
// This file is its interface: settings, events and actions. Every decision is in policy.go.
package policy

import (
	"fmt"
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

// firstAsk is the mean wait after a first list call that failed. Hosts that share a discovery wait the longer, the more
// they are.
func (c *Config) firstAsk() time.Duration {
	if c.Pushed {
		return watchWait
	}
	return max(watchWait, min(watchMost, time.Duration(c.Hosts)*watchEach))
}

// check reports the first setting that cannot be, by its name and value.
func (c *Config) check() error {
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
		bad = append(bad, negative(at+"worth", k.Worth))
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
		negative("handshake", c.Handshake), negative("keep", c.Keep.Seconds()))
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
