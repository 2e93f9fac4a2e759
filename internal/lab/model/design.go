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

// Design makes the decisions of one broker: the decision module itself, or a simple design with the same interface.
// Apart from the oracle, a design knows only what a broker knows.
type Design interface {
	Step(now time.Duration, events []decision.Event, act []decision.Action) []decision.Action
}

// Designs returns the names of all designs, in alphabetical order.
func Designs() []string {
	return []string{"asfq", "bucket", "least", "members", "module", "oracle", "random", "round", "two"}
}

// parseDesign splits a name into a design and its parameter: "asfq:4" is asfq with a depth of 4.
func parseDesign(name string) (base string, parameter float64, err error) {
	base, text, given := strings.Cut(name, ":")
	parameter = map[string]float64{"asfq": 3, "bucket": 1.2}[base]
	if given {
		hasParameter := parameter > 0
		if parameter, err = strconv.ParseFloat(text, 64); err != nil || !hasParameter || !(parameter > 0) {
			return "", 0, fmt.Errorf("design %q: invalid parameter %q, want a number above 0 for asfq (depth) or bucket (multiple of the usual rate)", name, text)
		}
	}
	if !slices.Contains(Designs(), base) {
		return "", 0, fmt.Errorf("design %q is unknown, the designs are %v", name, Designs())
	}
	return base, parameter, nil
}

// CheckDesign returns an error if a name is not that of a design, or if its parameter is invalid.
func CheckDesign(name string) error {
	_, _, err := parseDesign(name)
	return err
}

// design returns a new instance of the run's design for one broker.
func (r *run) design(b *broker) (Design, error) {
	base, parameter, err := parseDesign(r.designName)
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
		return newMembershipDesign(d, r.now(), cfg.SlowStartDuration), nil
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
		p.choose, p.rateMultiple, p.buckets = p.chooseBetterOfTwo, parameter, map[string]*tokenBucket{}
	case "asfq":
		p.choose, p.depth = p.chooseBetterOfTwo, parameter
	case "oracle":
		p.run = r
		p.choose = p.chooseFastest
	}
	return p, nil
}
