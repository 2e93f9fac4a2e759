package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

const sec = clock.Micros(1_000_000)

// analysisOfTwoIncarnations returns the analysis of a broker that served, was dead from 10 s to 16 s, and served again.
func analysisOfTwoIncarnations() *incident.Analysis {
	var list []*incident.Stream
	for k, span := range [][2]clock.Micros{{1, 10}, {16, 25}} {
		s := incident.NewStream("n<1>", string(rune('a'+k)))
		begin := span[0] * sec
		s.AddEvent(&record.Event{At: begin, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: "n<1>", ID: s.IncarnationID, StartedAt: begin, HeartbeatInterval: sec / 2, SampleFraction: 1,
			Classes: []record.Class{{Name: "read", LatencyObjective: sec, PriorityWeight: 1}}, Plans: []record.Plan{{Name: "p", PriceFactor: 1}}}})
		seq := uint64(0)
		for at := begin; at < span[1]*sec; at += sec / 5 {
			seq++
			s.AddFrame(seq, at)
			s.AddEvent(&record.Event{At: at, Kind: record.KindRequest, Request: &record.Request{Volume: "v", Units: 1, Duration: 20_000, Attempts: []record.Attempt{{Node: "s-1", Duration: 19_000}}}})
		}
		list = append(list, s)
	}
	return incident.Analyse(list, incident.DefaultOptions())
}

// Lines of a plot are interrupted where no broker has records, and those seconds are shaded and counted. The page
// escapes names and loads nothing external, and the JSON report can be decoded.
func TestGapsAreDrawnAsGaps(t *testing.T) {
	a := analysisOfTwoIncarnations()
	unknownSeconds := 0
	for _, s := range a.Seconds {
		if s.UnknownBrokers == 1 {
			unknownSeconds++
			if s.Begin < 10*sec || s.Begin >= 16*sec || s.Served > 0 {
				t.Errorf("second without records: %+v, want it between 10 s and 16 s and without served requests", s)
			}
		}
	}
	if unknownSeconds < 5 || unknownSeconds > 6 {
		t.Errorf("%d seconds without records, want 5 or 6", unknownSeconds)
	}
	axis := timeAxis{from: a.From, to: a.To, width: pageWidth}
	p := newPlot(a, axis, "t", []string{"served"}, func(s incident.Second) []float64 { return []float64{float64(s.Served)} })
	if len(p.Lines[0].Sections) != 2 || len(p.Unknown) != unknownSeconds {
		t.Errorf("%d sections and %d shaded seconds, want 2 and the %d without records", len(p.Lines[0].Sections), len(p.Unknown), unknownSeconds)
	}
	var page, text, encoded bytes.Buffer
	if err := HTML(&page, a, "<title>"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"n&lt;1&gt;", "&lt;title&gt;", "blind-all", "broker dead", "s-dead"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, unwanted := range []string{"n<1>", "http://", "https://", "src="} {
		if strings.Contains(page.String(), unwanted) {
			t.Errorf("the page contains %q", unwanted)
		}
	}
	if err := Text(&text, a); err != nil || !strings.Contains(text.String(), "dead") {
		t.Errorf("text report has error %v or does not contain \"dead\": %s", err, text.String())
	}
	if err := JSON(&encoded, a); err != nil {
		t.Fatal(err)
	}
	var decoded incident.Analysis
	if err := json.Unmarshal(encoded.Bytes(), &decoded); err != nil || len(decoded.Episodes) != len(a.Episodes) || len(decoded.Knowledge) != len(a.Knowledge) {
		t.Errorf("decoded JSON: error %v, %d episodes and %d spans, want %d and %d", err, len(decoded.Episodes), len(decoded.Knowledge), len(a.Episodes), len(a.Knowledge))
	}
	if err := WriteEpisode(&text, a, 99); err == nil {
		t.Error("WriteEpisode returned no error for an episode that does not exist")
	}
}
