package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Scenario is what a run plays. Its form is TOML; see docs/LAB.md.
type Scenario struct {
	Name    string   `toml:"name"`
	Brokers int      `toml:"brokers"`
	Last    Span     `toml:"last"`
	Warm    Span     `toml:"warm"` // at the beginning, not counted
	Nodes   []Kind   `toml:"nodes"`
	Load    Load     `toml:"load"`
	Trouble []Pauses `toml:"trouble"`
}

// Span is a time as TOML has it, "1.5s".
type Span time.Duration

// UnmarshalText reads it.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}

// us is microseconds.
func (s Span) us() int64 { return time.Duration(s).Microseconds() }

// Kind is so many nodes alike.
type Kind struct {
	Count int     `toml:"count"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"`
	Room  int     `toml:"room"`
}

// Load is what the clients ask of all brokers together.
type Load struct {
	Rate     float64 `toml:"rate"`     // requests a second
	Work     Span    `toml:"work"`     // of a core, in the mean
	Spread   string  `toml:"spread"`   // of the work: "exponential", "constant" or "lognormal"
	Sigma    float64 `toml:"sigma"`    // of a lognormal one
	Patience Span    `toml:"patience"` // a client gives up after this; 0: never
}

// Pauses is a trouble of some nodes: each stands still, or is silent, for a while at times of its own.
type Pauses struct {
	Kind  string  `toml:"kind"`  // "pause" or "silence"
	Share float64 `toml:"share"` // of the nodes
	Every Span    `toml:"every"` // in the mean
	Last  Span    `toml:"last"`
}

// Check reports the first figure that cannot be, by its key.
func (s *Scenario) Check() error {
	positive := func(key string, ok bool, v any) error {
		if !ok {
			return fmt.Errorf("%s: %v cannot be", key, v)
		}
		return nil
	}
	errs := []error{positive("brokers", s.Brokers > 0, s.Brokers), positive("last", s.Last > 0, time.Duration(s.Last)),
		positive("warm", s.Warm >= 0 && s.Warm < s.Last, time.Duration(s.Warm)), positive("load.rate", s.Load.Rate > 0, s.Load.Rate),
		positive("load.work", s.Load.Work > 0, time.Duration(s.Load.Work)), positive("load.patience", s.Load.Patience >= 0, time.Duration(s.Load.Patience)),
		positive("load.sigma", s.Load.Sigma >= 0, s.Load.Sigma), positive("nodes", len(s.Nodes) > 0, "none")}
	switch s.Load.Spread {
	case "exponential", "constant", "lognormal":
	default:
		errs = append(errs, fmt.Errorf("load.spread: %q is unknown; there are exponential, constant and lognormal", s.Load.Spread))
	}
	for i, k := range s.Nodes {
		at := fmt.Sprintf("nodes[%d].", i)
		errs = append(errs, positive(at+"count", k.Count > 0, k.Count), positive(at+"cores", k.Cores > 0, k.Cores),
			positive(at+"speed", k.Speed > 0, k.Speed), positive(at+"room", k.Room >= 0, k.Room))
	}
	for i, p := range s.Trouble {
		at := fmt.Sprintf("trouble[%d].", i)
		if p.Kind != "pause" && p.Kind != "silence" {
			errs = append(errs, fmt.Errorf("%skind: %q is unknown; there are pause and silence", at, p.Kind))
		}
		errs = append(errs, positive(at+"share", p.Share >= 0 && p.Share <= 1, p.Share), positive(at+"every", p.Every > p.Last, time.Duration(p.Every)),
			positive(at+"last", p.Last > 0, time.Duration(p.Last)))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Offered is the part of all cores that the load asks for.
func (s *Scenario) Offered() float64 {
	cores := 0.0
	for _, k := range s.Nodes {
		cores += float64(k.Count*k.Cores) * k.Speed
	}
	return s.Load.Rate * time.Duration(s.Load.Work).Seconds() / cores
}

// work draws how much one request asks for, in microseconds.
func (l *Load) work(src rand.Source) func() float64 {
	mean := float64(l.Work.us())
	switch l.Spread {
	case "constant":
		return func() float64 { return mean }
	case "lognormal":
		return distuv.LogNormal{Mu: math.Log(mean) - l.Sigma*l.Sigma/2, Sigma: l.Sigma, Src: src}.Rand
	}
	return distuv.Exponential{Rate: 1 / mean, Src: src}.Rand
}
