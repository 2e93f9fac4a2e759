package model_test

import (
	"os"
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"poppyarch/internal/broker/settings"
	"poppyarch/internal/lab/model"
)

// What brokers on sockets are told of a scenario is what the model's are told: read back from the platform's words, every figure is the same.
func TestSettingsAreWhatTheModelIsTold(t *testing.T) {
	for _, name := range []string{"live", "replace", "shared", "uneven"} {
		text, err := os.ReadFile("../../../examples/lab/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		s := &model.Scenario{}
		if err := toml.Unmarshal(text, s); err != nil {
			t.Fatal(err)
		}
		told, err := s.Settings()
		if err != nil {
			t.Fatal(err)
		}
		got, err := settings.Parse(string(told), 0)
		if err != nil {
			t.Fatal(err)
		}
		want := model.ConfigOf(s)
		got.ConnectionReuseWindow = want.ConnectionReuseWindow // how long connections stand is the machine's, not the settings'
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\n%+v\n%+v", name, got, want)
		}
	}
}

// Clients without brokers are those that designs meet.
func TestClientsAreThoseOfAPlay(t *testing.T) {
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
	due, at := 0.0, int64(0)
	for _, a := range all {
		if a.At < at || int(a.Broker) >= s.Brokers || a.Work <= 0 || a.Units < 1 {
			t.Fatalf("%+v", a)
		}
		at = a.At
		due += a.Worth
	}
	for _, design := range []string{"module", "random"} {
		r, err := model.Play(s, design, 5)
		if err != nil {
			t.Fatal(err)
		}
		if r.Requests != len(all) || due <= 0 {
			t.Errorf("%s: %d requests, %d clients", design, r.Requests, len(all))
		}
	}
}
