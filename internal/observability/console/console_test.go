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

// testOverview returns an overview of n instances, of which n001 is not current, with a paused rollout and a silent
// agent.
func testOverview(n int) api.Overview {
	o := api.Overview{Revision: 7, Enabled: n, Unavailable: 1, NotCurrent: 1, Agents: []state.AgentStatus{{Name: "m1", Silent: true}},
		Rollouts: []state.RolloutStatus{{Revision: 7, Phase: state.Paused, Wave: 1, Waves: 3, Size: n, Released: 2, Current: 1, Failed: map[string]string{"n001": "crashed 3 times"},
			Reason: "1 of 9 instances failed, more than 0"}}}
	for k := range n {
		name := fmt.Sprintf("n%03d", k)
		o.Instances = append(o.Instances, state.InstanceStatus{Name: name, Agent: "m1", Enabled: true, Current: k != 1, Available: k != 1, Age: clock.Micros(k) * 3_000_000,
			Reason: strings.Repeat("because ", k%20), Report: state.Report{Process: state.ProcessRunning, Incarnation: "b"}})
		o.Stats = append(o.Stats, api.BrokerStats{Name: name, Age: 400_000, InFlight: 3, Stats: &control.Stats{Span: 1_000_000,
			Requests: []control.RequestStats{{Class: "artwork-read", Plan: "express", Served: 100, Late: 2, Rejected: 3, P50: 12_000, P99: 90_000}},
			Nodes:    []control.NodeStats{{Node: "s-5be2a07c", Served: 90, TimedOut: 1, P50: 11_000, P99: 88_000}},
			Volumes:  []control.VolumeStats{{Volume: "00000003b4d60021", Count: 50, CountError: 4}}}})
	}
	return o
}

// pressKeys sends keys to the console, by name or as a single character.
func pressKeys(m *Model, keys ...string) {
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

// Checks that every view fits 80 by 24 characters without colour and shows the age of its values. The selection stays
// on its row when rows are removed, and the last data stays visible, with its age, when the manager does not answer.
func TestViews(t *testing.T) {
	m := New(nil, time.Second, false)
	now := time.Unix(1000, 0)
	m.Update(tea.WindowSizeMsg{Width: 80, Height: 24})
	m.Update(fetched{testOverview(60), nil, now})
	for i, want := range []string{"n000", "s-5be2a07c", "00000003b4d60021", "artwork-read", "paused"} {
		pressKeys(m, fmt.Sprint(i+1))
		for _, showDetail := range []bool{false, true} {
			if showDetail {
				pressKeys(m, "enter")
			}
			text := m.View()
			lines := strings.Split(text, "\n")
			if len(lines) != 24 || !strings.Contains(text, want) || strings.Contains(text, "\x1b") {
				t.Errorf("view %d, detail %v: got %d lines, want 24 that contain %q, without escapes:\n%s", i+1, showDetail, len(lines), want, text)
			}
			for _, l := range lines {
				if utf8.RuneCountInString(l) > 80 {
					t.Errorf("view %d: %d columns, want at most 80: %s", i+1, utf8.RuneCountInString(l), l)
				}
			}
			if i < 4 && !strings.Contains(text, "0.4s") && !strings.Contains(text, "0.0s") {
				t.Errorf("view %d, detail %v shows no age:\n%s", i+1, showDetail, text)
			}
		}
		pressKeys(m, "esc")
	}
	pressKeys(m, "1", "down", "down", "down")
	o := testOverview(60)
	o.Instances = o.Instances[2:]
	m.Update(fetched{o, nil, now})
	if !strings.Contains(m.View(), "> n003") {
		t.Errorf("the selection is not on n003:\n%s", m.View())
	}
	pressKeys(m, "G")
	if !strings.Contains(m.View(), "> n059") {
		t.Errorf("the last row is not visible and selected:\n%s", m.View())
	}
	// The manager does not answer: the last data stays visible, with its age.
	m.Update(fetched{api.Overview{}, errors.New("no manager answers"), now.Add(7 * time.Second)})
	if text := m.View(); !strings.Contains(text, "as of 7 s ago") || !strings.Contains(text, "n059") {
		t.Errorf("the last data or its age is not shown:\n%s", text)
	}
}

func TestConsoleWithoutData(t *testing.T) {
	m := New(func(context.Context) (api.Overview, error) { return api.Overview{}, nil }, time.Second, true)
	if text := m.View(); !strings.Contains(text, "asking") {
		t.Errorf("the console does not show that it waits for the manager:\n%s", text)
	}
	m.Update(fetched{api.Overview{}, errors.New("no manager answers at 127.0.0.1:7700"), time.Unix(5, 0)})
	if text := m.View(); !strings.Contains(text, "no manager answers") {
		t.Errorf("the error of the call is not shown:\n%s", text)
	}
	pressKeys(m, "enter", "tab", "down", "enter") // there is no row to open
	m.Update(fetched{api.Overview{}, nil, time.Unix(6, 0)})
	if text := m.View(); !strings.Contains(text, "no node statistics") {
		t.Errorf("the view of nodes does not say that it is empty:\n%s", text)
	}
}
