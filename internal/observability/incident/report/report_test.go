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

// twoBoots is a broker that served, was dead from 10 to 16 s, and served again.
func twoBoots() *incident.Analysis {
	var list []*incident.Stream
	for k, span := range [][2]clock.Micros{{1, 10}, {16, 25}} {
		s := incident.NewStream("n<1>", string(rune('a'+k)))
		begin := span[0] * sec
		s.AddEvent(&record.Event{At: begin, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: "n<1>", ID: s.BootID, StartedAt: begin, HeartbeatInterval: sec / 2, SampleFraction: 1,
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

// Of a time of which nothing is known the page draws no line and says so; the seconds count their blind brokers; names are
// escaped; and the JSON reads back.
func TestGapsAreDrawnAsGaps(t *testing.T) {
	a := twoBoots()
	blind := 0
	for _, s := range a.Seconds {
		if s.UnknownBrokers == 1 {
			blind++
			if s.Begin < 10*sec || s.Begin >= 16*sec || s.Served > 0 {
				t.Errorf("%+v", s)
			}
		}
	}
	if blind < 5 || blind > 6 {
		t.Errorf("%d seconds are blind", blind)
	}
	axis := timeAxis{from: a.From, to: a.To, width: pageWidth}
	p := newPlot(a, axis, "t", []string{"served"}, func(s incident.Second) []float64 { return []float64{float64(s.Served)} })
	if len(p.Lines[0].Pieces) != 2 || len(p.Blind) != blind {
		t.Errorf("%d pieces, %d shaded", len(p.Lines[0].Pieces), len(p.Blind))
	}
	var page, text, js bytes.Buffer
	if err := HTML(&page, a, "<title>"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"n&lt;1&gt;", "&lt;title&gt;", "blind-all", "broker dead", "s-dead"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page has no %q", want)
		}
	}
	for _, never := range []string{"n<1>", "http://", "https://", "src="} {
		if strings.Contains(page.String(), never) {
			t.Errorf("the page has %q", never)
		}
	}
	if err := Text(&text, a); err != nil || !strings.Contains(text.String(), "dead") {
		t.Errorf("%v %s", err, text.String())
	}
	if err := JSON(&js, a); err != nil {
		t.Fatal(err)
	}
	var back incident.Analysis
	if err := json.Unmarshal(js.Bytes(), &back); err != nil || len(back.Episodes) != len(a.Episodes) || len(back.Knowledge) != len(a.Knowledge) {
		t.Errorf("%v", err)
	}
	if err := Show(&text, a, 99); err == nil {
		t.Error("an episode that is not there")
	}
}
