package state

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/timing/clock"
)

// CountOrPercent is a number of instances or a percentage of a total, written as "3" or "25%".
type CountOrPercent struct {
	Count   int
	Percent float64 // from 0 to 100; if it is above 0, Count has no effect
}

// ParseCountOrPercent reads the form "3" or "25%".
func ParseCountOrPercent(s string) (CountOrPercent, error) {
	if p, ok := strings.CutSuffix(strings.TrimSpace(s), "%"); ok {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil || !(v >= 0 && v <= 100) {
			return CountOrPercent{}, fmt.Errorf("%q is not a share from 0%% to 100%%", s)
		}
		return CountOrPercent{Percent: v}, nil
	}
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return CountOrPercent{}, fmt.Errorf("%q is neither a count nor a share such as 25%%", s)
	}
	return CountOrPercent{Count: n}, nil
}

// Of returns the number of instances out of a total. A percentage is rounded down.
func (c CountOrPercent) Of(total int) int {
	if c.Percent > 0 {
		const roundingError = 1e-9 // the product may fall just short of an integer
		return int(math.Floor(float64(total)*c.Percent/100 + roundingError))
	}
	return c.Count
}

// String returns the form that ParseCountOrPercent reads.
func (c CountOrPercent) String() string {
	if c.Percent > 0 {
		return strconv.FormatFloat(c.Percent, 'g', -1, 64) + "%"
	}
	return strconv.Itoa(c.Count)
}

// MarshalText writes the form that ParseCountOrPercent reads.
func (c CountOrPercent) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads the form "3" or "25%".
func (c *CountOrPercent) UnmarshalText(b []byte) error {
	v, err := ParseCountOrPercent(string(b))
	if err != nil {
		return err
	}
	*c = v
	return nil
}

// The values of Strategy.OnFailure and Strategy.Overlap.
const (
	onFailurePause    = "pause"
	onFailureRollback = "rollback"
	overlapQueue      = "queue"
	overlapRefuse     = "refuse"
)

// Strategy defines how a rollout applies a revision to the instances. Percentages are of the instances that change,
// those of MaxUnavailable are of the enabled instances that have served.
type Strategy struct {
	Canary           int            `json:"canary"`          // instances in the first wave; 0 for no canary
	Batch            CountOrPercent `json:"batch"`           // instances in each further wave
	MaxUnavailable   CountOrPercent `json:"max_unavailable"` // instances; below 1 it counts as 1
	OneDomainPerWave bool           `json:"by_domain"`       // a wave stays within one failure domain
	SoakTime         clock.Micros   `json:"soak_us"`         // time for which a wave must conform before the next
	ProgressDeadline clock.Micros   `json:"deadline_us"`     // instances that take longer to conform have failed
	FailureBudget    CountOrPercent `json:"failure_budget"`  // instances that may fail
	OnFailure        string         `json:"on_failure"`      // when the budget is exceeded: "pause" or "rollback"
	Overlap          string         `json:"overlap"`         // while another rollout is unfinished: "queue" or "refuse"
}

// DefaultStrategy starts with one instance, continues with a quarter of the changing instances per wave, and allows
// one unavailable instance.
func DefaultStrategy() Strategy {
	return Strategy{
		Canary:           1,
		Batch:            CountOrPercent{Percent: 25},
		MaxUnavailable:   CountOrPercent{Count: 1},
		OneDomainPerWave: true,
		SoakTime:         5_000_000,
		ProgressDeadline: 60_000_000,
		OnFailure:        onFailurePause,
		Overlap:          overlapQueue,
	}
}

// Validate returns a *spec.FieldError for the first field that is not valid, or nil.
func (s *Strategy) Validate() error {
	switch {
	case s.Canary < 0:
		return &spec.FieldError{Field: "canary", Problem: fmt.Sprintf("%d is negative", s.Canary)}
	case s.SoakTime < 0:
		return &spec.FieldError{Field: "soak", Problem: fmt.Sprintf("%d is negative", s.SoakTime)}
	case s.ProgressDeadline <= 0:
		return &spec.FieldError{Field: "deadline", Problem: fmt.Sprintf("%d is not above 0", s.ProgressDeadline)}
	case s.OnFailure != onFailurePause && s.OnFailure != onFailureRollback:
		return &spec.FieldError{Field: "on_failure", Problem: fmt.Sprintf("%q is neither pause nor rollback", s.OnFailure)}
	case s.Overlap != overlapQueue && s.Overlap != overlapRefuse:
		return &spec.FieldError{Field: "overlap", Problem: fmt.Sprintf("%q is neither queue nor refuse", s.Overlap)}
	}
	return nil
}
