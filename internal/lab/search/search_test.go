package search

import (
	"context"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"poppyarch/internal/lab/model"
)

func baseScenario(t *testing.T) *model.Scenario {
	t.Helper()
	text, err := os.ReadFile("../../../examples/lab/shared.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &model.Scenario{}
	if err := toml.Unmarshal(text, s); err != nil {
		t.Fatal(err)
	}
	s.Duration, s.WarmUp = model.Duration(6*time.Second), 0
	return s
}

// A design without slow start overloads nodes that have just started. The search finds the broken rule and shrinks the
// case to one fault, and the case can be run again from its TOML text.
func TestSearchFindsAndShrinksBrokenRule(t *testing.T) {
	s := &Search{Base: baseScenario(t), Design: "random", Reference: "oracle", Seed: 3, Runs: 1, Candidates: 25}
	found, err := s.Run(context.Background(), func(int, Verdict) {})
	if err != nil || !reflect.DeepEqual(found.Verdict.Rules, []string{"cold"}) {
		t.Fatalf("error %v, found %+v, want the broken rule cold", err, found)
	}
	if n := len(found.Scenario.Faults) - len(s.Base.Faults); n != 1 {
		t.Errorf("%d faults are left, want 1: %+v", n, found.Scenario.Faults)
	}
	text, err := toml.Marshal(found.Scenario)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &model.Scenario{}
	if err := toml.Unmarshal(text, decoded); err != nil {
		t.Fatal(err)
	}
	r, err := model.Run(decoded, "random", s.Seed)
	if err != nil || r.ViolationCounts["cold"] == 0 {
		t.Errorf("repeated run: error %v, broken rules %v, want cold", err, r.ViolationCounts)
	}
	if again, _ := s.Run(context.Background(), func(int, Verdict) {}); !reflect.DeepEqual(found, again) {
		t.Error("two searches with the same seed differ")
	}
}

// If no rule is broken, the shrunk case keeps most of the shortfall. Invalid searches are rejected.
func TestShrunkCaseKeepsShortfall(t *testing.T) {
	s := &Search{Base: baseScenario(t), Design: "module", Reference: "oracle", Seed: 3, Runs: 1, Candidates: 6}
	worst := Verdict{}
	found, err := s.Run(context.Background(), func(_ int, v Verdict) { worst = v })
	if err != nil || len(found.Verdict.Rules) > 0 || found.Verdict.Shortfall < 0.8*worst.Shortfall || worst.Shortfall <= 0 {
		t.Errorf("error %v, shrunk to %v from %v", err, found, worst)
	}
	for want, invalidate := range map[string]func(*Search){"unknown": func(s *Search) { s.Reference = "x" }, "both must be 1 or more": func(s *Search) { s.Runs = 0 }} {
		c := *s
		invalidate(&c)
		if _, err := c.Run(context.Background(), func(int, Verdict) {}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
}
