package model

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// Scenario is what a run plays. Its form is TOML; see docs/LAB.md.
type Scenario struct {
	Name      string      `toml:"name"`
	Brokers   int         `toml:"brokers"`
	Zones     int         `toml:"zones"` // nodes and brokers are dealt out to them in turn; 0: one
	Duration  Duration    `toml:"last"`
	WarmUp    Duration    `toml:"warm"` // at the beginning, not counted
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

// Duration is a time as TOML has it, "1.5s".
type Duration time.Duration

// UnmarshalText reads it.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// MarshalText writes it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// us is microseconds.
func (s Duration) us() int64 { return time.Duration(s).Microseconds() }

// NodeGroup is so many nodes alike.
type NodeGroup struct {
	Count         int     `toml:"count"`
	Cores         int     `toml:"cores"`
	Speed         float64 `toml:"speed"`
	QueueCapacity int     `toml:"room"`
}

// Service is what all nodes have in common.
type Service struct {
	DropsExpired  bool     `toml:"drops"`       // what waits is skipped once its attempt is over
	Connections   int      `toml:"connections"` // a node holds so many; 0: any number
	Handshake     Duration `toml:"handshake"`   // work of a new connection at the node
	CachedKeys    int      `toml:"remembers"`   // so many keys of late; another request for one costs less
	CacheMissCost float64  `toml:"seek"`        // by this part
	DeferredWrite float64  `toml:"defer"`       // part of a write's work that is put off
	FlushInterval Duration `toml:"flush"`       // and done so often
}

// SlowStart is how a node starts. Without Warm nodes start warm.
type SlowStart struct {
	InitialCapacity float64  `toml:"share"` // of its power
	Duration        Duration `toml:"warm"`
	OverloadFactor  float64  `toml:"multiple"` // sent more than so many times its power it falls; 0: it never does
	Window          Duration `toml:"window"`   // in this time
	InitialUnits    float64  `toml:"bears"`    // units in the window that the settings say any node bears at its start; 0: what follows from the slowest kind
}

// Link is the network between brokers and nodes.
type Link struct {
	Delay       Duration `toml:"delay"`
	Jitter      Duration `toml:"jitter"`    // added to it, exponential, in the mean
	Handshake   Duration `toml:"handshake"` // time of a new connection beside two delays
	IdleTimeout Duration `toml:"keep"`      // an idle connection is kept so long; 0: each request opens one, which costs nothing
}

// Discovery is the list of nodes, one service for all brokers. Without Calls it answers at once.
type Discovery struct {
	CallRate float64  `toml:"calls"` // a second
	Timeout  Duration `toml:"wait"`  // a call that waited so long fails
	Delay    Duration `toml:"late"`  // a change is seen so late, in the mean
}

// Load is what the clients ask of all brokers together.
type Load struct {
	Rate         float64  `toml:"rate"`     // requests a second
	Work         Duration `toml:"work"`     // of a core, in the mean
	Distribution string   `toml:"spread"`   // of the work: "exponential", "constant" or "lognormal"
	Sigma        float64  `toml:"sigma"`    // of a lognormal one
	Deadline     Duration `toml:"patience"` // a client gives up after this, where no classes are given; 0: never
	Retry        float64  `toml:"retry"`    // part of the clients that come again once after a refusal or failure
	Reread       float64  `toml:"reread"`   // part of the reads that go to what was written last
	Shift        Duration `toml:"shift"`    // a volume's busiest broker changes so often
	Skew         float64  `toml:"skew"`     // how unevenly a volume uses its brokers; 0: evenly
}

// Class is one kind of request.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"share"`
	Work             float64  `toml:"work"` // against the mean of the load; 0: 1
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"patience"`
	Priority         float64  `toml:"worth"`
	LateValue        float64  `toml:"late"`   // part of the worth that an answer after the aim has
	Idempotency      string   `toml:"repeat"` // "always", "never"
	Writes           bool     `toml:"writes"` // new objects, to any node
}

// Plan is what a volume has.
type Plan struct {
	Name         string  `toml:"name"`
	Volumes      int     `toml:"volumes"`
	Size         float64 `toml:"size"`    // usual rate against other plans' volumes
	ReservedRate float64 `toml:"reserve"` // of that rate
	RateLimit    float64 `toml:"limit"`   // of that rate; 0: none
	Weight       float64 `toml:"weight"`
	Price        float64 `toml:"price"`
	Hosts        [2]int  `toml:"hosts"` // brokers of a volume, from and to
	Nodes        [2]int  `toml:"nodes"` // nodes that hold its data
	Busy         float64 `toml:"busy"`  // part of its volumes that ask for more all day, up to three times
	Surge        float64 `toml:"surge"` // part that ask for many times it now and then
}

// Rules are the figures that bind beside those above.
type Rules struct {
	Attempts             int      `toml:"attempts"` // of a request; 0: any number
	DrainGrace           Duration `toml:"grace"`    // for drains
	ResponseGrace        Duration `toml:"slack"`    // for answers
	BurstValue           float64  `toml:"share"`    // worth of work beyond the reserve
	ExcessValue          float64  `toml:"beyond"`   // worth of work beyond three times the reserve
	NotificationDeadline Duration `toml:"ask"`      // a broker that has not asked for so long counts as told; 0: never
}

// Fault is something that goes wrong, once or again and again, at nodes, brokers or volumes chosen by lot.
type Fault struct {
	Kind     string   `toml:"kind"`
	Share    float64  `toml:"share"`  // of those it may befall
	At       Duration `toml:"at"`     // once; 0 with Every: again and again, each at times of its own
	Every    Duration `toml:"every"`  // in the mean
	Duration Duration `toml:"last"`   //
	Factor   float64  `toml:"factor"` // how much, where the kind has one
	Over     Duration `toml:"over"`   // those befallen are not all hit at once, but over this time
}

// faultHasFactor are the kinds, and whether each has a factor.
var faultHasFactor = map[string]bool{"pause": false, "silence": false, "hang": false, "slow": true, "vanish": false, "crash": false, "flap": false, "replace": false, "zone": false,
	"broker": false, "hot": true, "load": true, "reconnect": false, "discovery": false, "late": true, "lossy": true, "error": true}

// FaultKinds names the troubles.
func FaultKinds() []string {
	names := make([]string, 0, len(faultHasFactor))
	for k := range faultHasFactor {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

func need(key string, ok bool, v any) error {
	if !ok {
		return fmt.Errorf("%s: %v cannot be", key, v)
	}
	return nil
}

func part(key string, v float64) error { return need(key, v >= 0 && v <= 1, v) }

func amount(key string, v float64) error {
	return need(key, v >= 0 && !math.IsInf(v, 1), v)
}

func some(key string, v Duration) error { return need(key, v >= 0, time.Duration(v)) }

// Check reports the first figure that cannot be, by its key.
func (s *Scenario) Check() error {
	d := func(v Duration) time.Duration { return time.Duration(v) }
	errs := []error{need("brokers", s.Brokers > 0, s.Brokers), need("zones", s.Zones >= 0, s.Zones), need("last", s.Duration > 0, d(s.Duration)),
		need("warm", s.WarmUp >= 0 && s.WarmUp < s.Duration, d(s.WarmUp)), need("load.rate", s.Load.Rate > 0, s.Load.Rate),
		need("load.work", s.Load.Work > 0, d(s.Load.Work)), some("load.patience", s.Load.Deadline),
		amount("load.sigma", s.Load.Sigma), part("load.retry", s.Load.Retry), part("load.reread", s.Load.Reread), some("load.shift", s.Load.Shift),
		amount("load.skew", s.Load.Skew), need("nodes", len(s.Nodes) > 0, "none"),
		need("service.connections", s.Service.Connections >= 0, s.Service.Connections), some("service.handshake", s.Service.Handshake),
		need("service.remembers", s.Service.CachedKeys >= 0, s.Service.CachedKeys), part("service.seek", s.Service.CacheMissCost),
		part("service.defer", s.Service.DeferredWrite), need("service.flush", s.Service.FlushInterval >= 0 && (s.Service.DeferredWrite == 0 || s.Service.FlushInterval > 0), d(s.Service.FlushInterval)),
		need("cold.share", s.SlowStart.InitialCapacity >= 0 && s.SlowStart.InitialCapacity <= 1 && (s.SlowStart.Duration == 0 || s.SlowStart.InitialCapacity > 0), s.SlowStart.InitialCapacity), some("cold.warm", s.SlowStart.Duration),
		amount("cold.multiple", s.SlowStart.OverloadFactor), need("cold.window", s.SlowStart.Window >= 0 && (s.SlowStart.OverloadFactor == 0 || s.SlowStart.Window > 0), d(s.SlowStart.Window)),
		amount("cold.bears", s.SlowStart.InitialUnits), some("link.delay", s.Link.Delay), some("link.jitter", s.Link.Jitter), some("link.handshake", s.Link.Handshake), some("link.keep", s.Link.IdleTimeout),
		amount("discovery.calls", s.Discovery.CallRate), some("discovery.wait", s.Discovery.Timeout), some("discovery.late", s.Discovery.Delay),
		need("rules.attempts", s.Rules.Attempts >= 0, s.Rules.Attempts), some("rules.grace", s.Rules.DrainGrace), some("rules.slack", s.Rules.ResponseGrace),
		part("rules.share", s.Rules.BurstValue), part("rules.beyond", s.Rules.ExcessValue), some("rules.ask", s.Rules.NotificationDeadline)}
	switch s.Load.Distribution {
	case "exponential", "constant", "lognormal":
	default:
		errs = append(errs, fmt.Errorf("load.spread: %q is unknown; there are exponential, constant and lognormal", s.Load.Distribution))
	}
	for i, k := range s.Nodes {
		at := fmt.Sprintf("nodes[%d].", i)
		errs = append(errs, need(at+"count", k.Count > 0, k.Count), need(at+"cores", k.Cores > 0, k.Cores),
			need(at+"speed", k.Speed > 0, k.Speed), need(at+"room", k.QueueCapacity >= 0, k.QueueCapacity))
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("class[%d].", i)
		errs = append(errs, need(at+"share", c.Share > 0, c.Share), amount(at+"work", c.Work), need(at+"aim", c.LatencyObjective > 0, d(c.LatencyObjective)),
			need(at+"patience", c.Deadline >= c.LatencyObjective, d(c.Deadline)), amount(at+"worth", c.Priority), part(at+"late", c.LateValue))
		if c.Idempotency != "always" && c.Idempotency != "never" {
			errs = append(errs, fmt.Errorf("%srepeat: %q is unknown; there are always and never", at, c.Idempotency))
		}
	}
	for i, p := range s.Plans {
		at := fmt.Sprintf("plan[%d].", i)
		errs = append(errs, need(at+"volumes", p.Volumes > 0, p.Volumes), need(at+"size", p.Size > 0, p.Size), amount(at+"reserve", p.ReservedRate),
			amount(at+"limit", p.RateLimit), need(at+"weight", p.Weight > 0, p.Weight), amount(at+"price", p.Price), part(at+"busy", p.Busy), part(at+"surge", p.Surge),
			need(at+"hosts", p.Hosts[0] >= 1 && p.Hosts[1] >= p.Hosts[0], p.Hosts), need(at+"nodes", p.Nodes[0] >= 1 && p.Nodes[1] >= p.Nodes[0], p.Nodes))
	}
	for i, p := range s.Faults {
		at := fmt.Sprintf("trouble[%d].", i)
		factor, known := faultHasFactor[p.Kind]
		if !known {
			errs = append(errs, fmt.Errorf("%skind: %q is unknown; there are %v", at, p.Kind, FaultKinds()))
		}
		errs = append(errs, part(at+"share", p.Share), need(at+"every", p.Every == 0 && p.At > 0 || p.At == 0 && p.Every > p.Duration, d(p.Every)),
			need(at+"last", p.Duration > 0, d(p.Duration)), some(at+"at", p.At), some(at+"over", p.Over))
		if factor {
			errs = append(errs, need(at+"factor", p.Factor > 0, p.Factor))
		} else {
			errs = append(errs, need(at+"factor", p.Factor == 0, p.Factor))
		}
	}
	return errors.Join(first(errs))
}

func first(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// classes are those given, or one of work that may always be repeated.
func (s *Scenario) classes() []Class {
	if len(s.Classes) > 0 {
		return s.Classes
	}
	patience := s.Load.Deadline
	if patience == 0 {
		patience = Duration(1000 * time.Hour)
	}
	return []Class{{Name: "work", Share: 1, Work: 1, LatencyObjective: patience, Deadline: patience, Priority: 1, Idempotency: "always", Writes: true}}
}

// Cores are all of them at speed 1.
func (s *Scenario) Cores() float64 {
	cores := 0.0
	for _, k := range s.Nodes {
		cores += float64(k.Count*k.Cores) * k.Speed
	}
	return cores
}

// Count is how many nodes there are.
func (s *Scenario) Count() (n int) {
	for _, k := range s.Nodes {
		n += k.Count
	}
	return n
}

// Offered is the part of all cores that the usual load asks for.
func (s *Scenario) Offered() float64 {
	return s.Load.Rate * time.Duration(s.Load.Work).Seconds() / s.Cores()
}

// work draws how much one request asks for, in microseconds.
func (l *Load) work(src rand.Source) func() float64 {
	mean := float64(l.Work.us())
	switch l.Distribution {
	case "constant":
		return func() float64 { return mean }
	case "lognormal":
		return distuv.LogNormal{Mu: math.Log(mean) - l.Sigma*l.Sigma/2, Sigma: l.Sigma, Src: src}.Rand
	}
	return distuv.Exponential{Rate: 1 / mean, Src: src}.Rand
}

// Copy is a scenario of its own with the same figures.
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
