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

// A design without slow start overloads nodes that have just started. The search finds that, reduces it to one fault, and
// what it has found can be played again from its text.
func TestFindsAndReducesABrokenRule(t *testing.T) {
	h := &Search{Base: baseScenario(t), Design: "random", Reference: "oracle", Seed: 3, Runs: 1, Candidates: 25}
	f, err := h.Run(context.Background(), func(int, Verdict) {})
	if err != nil || !reflect.DeepEqual(f.Verdict.Rules, []string{"cold"}) {
		t.Fatalf("%v %+v", err, f)
	}
	if n := len(f.Scenario.Faults) - len(h.Base.Faults); n != 1 {
		t.Errorf("%d faults are left: %+v", n, f.Scenario.Faults)
	}
	text, err := toml.Marshal(f.Scenario)
	if err != nil {
		t.Fatal(err)
	}
	again := &model.Scenario{}
	if err := toml.Unmarshal(text, again); err != nil {
		t.Fatal(err)
	}
	r, err := model.Play(again, "random", h.Seed)
	if err != nil || r.Broken["cold"] == 0 {
		t.Errorf("%v %v", err, r.Broken)
	}
	if g, _ := h.Run(context.Background(), func(int, Verdict) {}); !reflect.DeepEqual(f, g) {
		t.Error("two searches with one seed differ")
	}
}

// Where no rule is broken, the reduced case keeps the shortfall.
func TestReducedCaseKeepsTheShortfall(t *testing.T) {
	h := &Search{Base: baseScenario(t), Design: "module", Reference: "oracle", Seed: 3, Runs: 1, Candidates: 6}
	first := Verdict{}
	f, err := h.Run(context.Background(), func(_ int, b Verdict) { first = b })
	if err != nil || len(f.Verdict.Rules) > 0 || f.Verdict.Shortfall < 0.8*first.Shortfall || first.Shortfall <= 0 {
		t.Errorf("%v %v, before %v", err, f, first)
	}
	for want, invalidate := range map[string]func(*Search){"unknown": func(h *Search) { h.Reference = "x" }, "cannot be": func(h *Search) { h.Runs = 0 }} {
		c := *h
		invalidate(&c)
		if _, err := c.Run(context.Background(), func(int, Verdict) {}); err == nil || !strings.Contains(err.Error(), want) {
			t.Error(err)
		}
	}
}
