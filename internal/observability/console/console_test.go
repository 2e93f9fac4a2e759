package console

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	tea "github.com/charmbracelet/bubbletea"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/timing/clock"
)

func overview(n int) api.Overview {
	o := api.Overview{Revision: 7, Enabled: n, Unavailable: 1, NotCurrent: 1, Agents: []state.AgentStatus{{Name: "m1", Silent: true}},
		Rollouts: []state.RolloutStatus{{Revision: 7, Phase: state.Paused, Wave: 1, Waves: 3, Size: n, Released: 2, Current: 1, Failed: map[string]string{"n001": "crashed 3 times"},
			Reason: "1 of 9 instances failed, more than 0"}}}
	for k := range n {
		name := fmt.Sprintf("n%03d", k)
		o.Instances = append(o.Instances, state.InstanceStatus{Name: name, Agent: "m1", Enabled: true, Current: k != 1, Available: k != 1, Age: clock.Micros(k) * 3_000_000,
			Reason: strings.Repeat("because ", k%20), Report: state.Report{Process: state.Running, Incarnation: "b"}})
		o.Stats = append(o.Stats, api.BrokerStats{Name: name, Age: 400_000, InFlight: 3, Stats: &control.Stats{Span: 1_000_000,
			Requests: []control.RequestStats{{Class: "artwork-read", Plan: "express", Served: 100, Late: 2, Rejected: 3, P50: 12_000, P99: 90_000}},
			Nodes:    []control.NodeStats{{Node: "s-5be2a07c", Served: 90, TimedOut: 1, P50: 11_000, P99: 88_000}},
			Volumes:  []control.VolumeStats{{Volume: "00000003b4d60021", Count: 50, CountError: 4}}}})
	}
	return o
}

func press(m *Model, keys ...string) {
	for _, k := range keys {
		msg := tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(k)}
		switch k {
		case "enter":
			msg = tea.KeyMsg{Type: tea.KeyEnter}
		case "esc":
			msg = tea.KeyMsg{Type: tea.KeyEsc}
		case "down":
			msg = tea.KeyMsg{Type: tea.KeyDown}
		case "tab":
			msg = tea.KeyMsg{Type: tea.KeyTab}
		}
		m.Update(msg)
	}
}

// Every view fits 80 by 24 without colour, says how old its figures are, and keeps the selection on its row while rows
// come and go.
func TestViews(t *testing.T) {
	m := New(nil, time.Second, false)
	now := time.Unix(1000, 0)
	m.Update(tea.WindowSizeMsg{Width: 80, Height: 24})
	m.Update(fetched{overview(60), nil, now})
	for i, want := range []string{"n000", "s-5be2a07c", "00000003b4d60021", "artwork-read", "paused"} {
		press(m, fmt.Sprint(i+1))
		for _, open := range []bool{false, true} {
			if open {
				press(m, "enter")
			}
			text := m.View()
			lines := strings.Split(text, "\n")
			if len(lines) != 24 || !strings.Contains(text, want) || strings.Contains(text, "\x1b") {
				t.Errorf("view %d, open %v: %d lines\n%s", i+1, open, len(lines), text)
			}
			for _, l := range lines {
				if utf8.RuneCountInString(l) > 80 {
					t.Errorf("view %d: %d columns: %s", i+1, utf8.RuneCountInString(l), l)
				}
			}
			if i < 4 && !strings.Contains(text, "0.4s") && !strings.Contains(text, "0.0s") {
				t.Errorf("view %d, open %v says nothing of ages:\n%s", i+1, open, text)
			}
		}
		press(m, "esc")
	}
	press(m, "1", "down", "down", "down")
	o := overview(60)
	o.Instances = o.Instances[2:]
	m.Update(fetched{o, nil, now})
	if !strings.Contains(m.View(), "> n003") {
		t.Errorf("the selection has moved:\n%s", m.View())
	}
	press(m, "G")
	if !strings.Contains(m.View(), "> n059") {
		t.Errorf("the end is out of sight:\n%s", m.View())
	}
	// The manager falls silent: what is shown stays, and says of when it is.
	m.Update(fetched{api.Overview{}, errors.New("no manager answers"), now.Add(7 * time.Second)})
	if text := m.View(); !strings.Contains(text, "as of 7 s ago") || !strings.Contains(text, "n059") {
		t.Errorf("%s", text)
	}
}

func TestNothingKnown(t *testing.T) {
	m := New(func(context.Context) (api.Overview, error) { return api.Overview{}, nil }, time.Second, true)
	if text := m.View(); !strings.Contains(text, "asking") {
		t.Error(text)
	}
	m.Update(fetched{api.Overview{}, errors.New("no manager answers at 127.0.0.1:7700"), time.Unix(5, 0)})
	if text := m.View(); !strings.Contains(text, "no manager answers") {
		t.Error(text)
	}
	press(m, "enter", "tab", "down", "enter") // nothing to open
	m.Update(fetched{api.Overview{}, nil, time.Unix(6, 0)})
	if text := m.View(); !strings.Contains(text, "no figures of nodes") {
		t.Error(text)
	}
}
