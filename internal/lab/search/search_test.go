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

func base(t *testing.T) *model.Scenario {
	t.Helper()
	text, err := os.ReadFile("../../../examples/lab/shared.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &model.Scenario{}
	if err := toml.Unmarshal(text, s); err != nil {
		t.Fatal(err)
	}
	s.Last, s.Warm = model.Span(6*time.Second), 0
	return s
}

// Sending at once pushes cold nodes over: the hunt finds that, makes it one trouble, and what it has found can be played again from its text.
func TestFindsAndShrinks(t *testing.T) {
	h := &Hunt{Base: base(t), Design: "random", Against: "oracle", Seed: 3, Runs: 1, Tries: 25}
	f, err := h.Run(context.Background(), func(int, Bad) {})
	if err != nil || !reflect.DeepEqual(f.Bad.Rules, []string{"cold"}) {
		t.Fatalf("%v %+v", err, f)
	}
	if n := len(f.Scenario.Trouble) - len(h.Base.Trouble); n != 1 {
		t.Errorf("%d troubles are left: %+v", n, f.Scenario.Trouble)
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
	if g, _ := h.Run(context.Background(), func(int, Bad) {}); !reflect.DeepEqual(f, g) {
		t.Error("two hunts with one seed differ")
	}
}

// Where no rule breaks, the loss is what is kept.
func TestShrinkKeepsTheLoss(t *testing.T) {
	h := &Hunt{Base: base(t), Design: "module", Against: "oracle", Seed: 3, Runs: 1, Tries: 6}
	first := Bad{}
	f, err := h.Run(context.Background(), func(_ int, b Bad) { first = b })
	if err != nil || len(f.Bad.Rules) > 0 || f.Bad.Behind < 0.8*first.Behind || first.Behind <= 0 {
		t.Errorf("%v %v, before %v", err, f, first)
	}
	for want, spoil := range map[string]func(*Hunt){"unknown": func(h *Hunt) { h.Against = "x" }, "cannot be": func(h *Hunt) { h.Runs = 0 }} {
		c := *h
		spoil(&c)
		if _, err := c.Run(context.Background(), func(int, Bad) {}); err == nil || !strings.Contains(err.Error(), want) {
			t.Error(err)
		}
	}
}
