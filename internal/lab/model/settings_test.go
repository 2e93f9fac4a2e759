package model_test

import (
	"os"
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"poppyarch/internal/broker/settings"
	"poppyarch/internal/lab/model"
)

// The settings of a scenario, parsed as a real broker parses them, equal the configuration of the simulated brokers.
func TestSettingsMatchModelConfig(t *testing.T) {
	for _, name := range []string{"live", "replace", "shared", "uneven"} {
		text, err := os.ReadFile("../../../examples/lab/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		s := &model.Scenario{}
		if err := toml.Unmarshal(text, s); err != nil {
			t.Fatal(err)
		}
		encoded, err := s.BrokerSettings()
		if err != nil {
			t.Fatal(err)
		}
		got, err := settings.Parse(string(encoded), 0)
		if err != nil {
			t.Fatal(err)
		}
		want := model.ConfigOf(s)
		got.ConnectionReuseWindow = want.ConnectionReuseWindow // set by the broker's limits, not by the settings
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: settings parsed as\n%+v, want\n%+v", name, got, want)
		}
	}
}

// Arrivals returns as many requests as each design receives from Run with the same seed.
func TestArrivalsMatchRun(t *testing.T) {
	text, err := os.ReadFile("../../../examples/lab/live.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &model.Scenario{}
	if err := toml.Unmarshal(text, s); err != nil {
		t.Fatal(err)
	}
	s.Duration, s.Load.RetryFraction = model.Duration(8e9), 0
	s.Faults = append(s.Faults, model.Fault{Kind: "hot", Probability: 0.5, StartsAt: 2e9, Duration: 2e9, Factor: 4}, model.Fault{Kind: "crash", Probability: 0.5, StartsAt: 3e9, Duration: 1e9})
	all, err := model.Arrivals(s, 5)
	if err != nil {
		t.Fatal(err)
	}
	offeredValue, at := 0.0, int64(0)
	for _, a := range all {
		if a.At < at || int(a.Broker) >= s.Brokers || a.Work <= 0 || a.Units < 1 {
			t.Fatalf("invalid arrival, or before the previous one at %d: %+v", at, a)
		}
		at = a.At
		offeredValue += a.Value
	}
	for _, design := range []string{"module", "random"} {
		r, err := model.Run(s, design, 5)
		if err != nil {
			t.Fatal(err)
		}
		if r.Requests != len(all) || offeredValue <= 0 {
			t.Errorf("%s: %d requests, want the %d of Arrivals, with a value above 0, got %v", design, r.Requests, len(all), offeredValue)
		}
	}
}
