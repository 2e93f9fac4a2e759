package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/policy"
)

// Design decides at one broker: the decision module itself, or a simple design with the same interface. It sees what a broker
// sees.
type Design interface {
	Step(now time.Duration, events []decision.Event, act []decision.Action) []decision.Action
}

// Designs returns the names of all designs, in alphabetical order.
func Designs() []string {
	return []string{"asfq", "bucket", "least", "members", "module", "oracle", "random", "round", "two"}
}

// parseDesign splits a name: "asfq:4" is asfq with a depth of 4.
func parseDesign(name string) (base string, figure float64, err error) {
	base, text, given := strings.Cut(name, ":")
	figure = map[string]float64{"asfq": 3, "bucket": 1.2}[base]
	if given {
		takes := figure > 0
		if figure, err = strconv.ParseFloat(text, 64); err != nil || !takes || !(figure > 0) {
			return "", 0, fmt.Errorf("design %q: %q is no figure that it takes (asfq:DEPTH, bucket:MULTIPLE OF THE RATE)", name, text)
		}
	}
	if !slices.Contains(Designs(), base) {
		return "", 0, fmt.Errorf("design %q is unknown; there are %v", name, Designs())
	}
	return base, figure, nil
}

// CheckDesign returns an error if no design has a name.
func CheckDesign(name string) error {
	_, _, err := parseDesign(name)
	return err
}

// design returns a new instance of the run's design for one broker.
func (r *run) design(b *broker) (Design, error) {
	base, figure, err := parseDesign(r.name)
	if err != nil {
		return nil, err
	}
	seed := b.random.Uint64()
	if base == "module" || base == "members" {
		cfg := r.config
		cfg.Seed = seed
		if r.s.Zones > 1 {
			cfg.LocalZone = int(b.zone) + 1
		}
		d, err := policy.New(cfg)
		if err != nil || base == "module" {
			return d, err
		}
		return newMembers(d, r.now(), cfg.SlowStartDuration), nil
	}
	p := &simpleDesign{cfg: &r.config, random: rand.New(rand.NewPCG(seed, 3)), lastChosen: -1, nodes: map[string]*nodeState{}, byShard: map[int][]*nodeState{}, requests: map[uint64]*pendingRequest{}}
	switch base {
	case "random":
		p.choose = p.chooseRandom
	case "round":
		p.choose = p.chooseNext
	case "least":
		p.choose = p.chooseLeastOutstanding
	case "two":
		p.choose = p.chooseBetterOfTwo
	case "bucket":
		p.choose, p.rateMultiple, p.buckets = p.chooseBetterOfTwo, figure, map[string]*tokenBucket{}
	case "asfq":
		p.choose, p.depth = p.chooseBetterOfTwo, figure
	case "oracle":
		p.run = r
		p.choose = p.chooseFastest
	}
	return p, nil
}
