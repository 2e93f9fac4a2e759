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
		encoded, err := s.Settings()
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

// Clients returns as many requests as each design receives from Play with the same seed.
func TestClientsMatchPlay(t *testing.T) {
	text, err := os.ReadFile("../../../examples/lab/live.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := &model.Scenario{}
	if err := toml.Unmarshal(text, s); err != nil {
		t.Fatal(err)
	}
	s.Duration, s.Load.Retry = model.Duration(8e9), 0
	s.Faults = append(s.Faults, model.Fault{Kind: "hot", Share: 0.5, At: 2e9, Duration: 2e9, Factor: 4}, model.Fault{Kind: "crash", Share: 0.5, At: 3e9, Duration: 1e9})
	all, err := model.Clients(s, 5)
	if err != nil {
		t.Fatal(err)
	}
	offeredValue, at := 0.0, int64(0)
	for _, a := range all {
		if a.At < at || int(a.Broker) >= s.Brokers || a.Work <= 0 || a.Units < 1 {
			t.Fatalf("invalid arrival, or before the previous one at %d: %+v", at, a)
		}
		at = a.At
		offeredValue += a.Worth
	}
	for _, design := range []string{"module", "random"} {
		r, err := model.Play(s, design, 5)
		if err != nil {
			t.Fatal(err)
		}
		if r.Requests != len(all) || offeredValue <= 0 {
			t.Errorf("%s: %d requests, want the %d of Clients, with a value above 0, got %v", design, r.Requests, len(all), offeredValue)
		}
	}
}
