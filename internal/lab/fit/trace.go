package fit

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

// Trace is the requests of one or several brokers, ordered by wall-clock time.
type Trace struct {
	Classes        []record.Class
	Plans          []record.Plan
	Brokers        map[string]bool
	Requests       []Request // all recorded requests
	SampleFraction float64   // smallest fraction of requests that a broker recorded individually
	ReadErrors     []string  // files and records that could not be read
}

// Request is a recorded request with the name of its broker.
type Request struct {
	At     clock.Micros
	Broker string
	record.Request
}

// Read reads all segments below the given folders; a path may also name a single segment. Segments that cannot be read
// are skipped and listed in ReadErrors.
func Read(paths ...string) (*Trace, error) {
	t := &Trace{Brokers: map[string]bool{}, SampleFraction: 1}
	seen := map[string]bool{} // frames that were read; copies of a segment count once
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			t.readSegment(path, seen)
			continue
		}
		err = filepath.WalkDir(path, func(at string, d os.DirEntry, err error) error {
			if err != nil {
				t.ReadErrors = append(t.ReadErrors, err.Error())
			} else if !d.IsDir() && filepath.Ext(at) == ".seg" {
				t.readSegment(at, seen)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	if len(t.Requests) == 0 {
		return nil, errors.New("the records contain no individual requests; check that the brokers record them")
	}
	slices.SortFunc(t.Requests, func(a, b Request) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Broker, b.Broker)) })
	return t, nil
}

// readSegment adds the requests of a segment file, except those of frames that were seen before.
func (t *Trace) readSegment(path string, seen map[string]bool) {
	b, err := os.ReadFile(path)
	if err != nil {
		t.ReadErrors = append(t.ReadErrors, err.Error())
		return
	}
	report := func(err error) { t.ReadErrors = append(t.ReadErrors, fmt.Sprintf("%s: %v", path, err)) }
	name, boot, err := record.DecodeSegment(b, func(record.Part) {})
	if err != nil {
		report(err)
		return
	}
	var wallClock, startedAt clock.Micros
	known := false // whether the segment's incarnation event, which relates its clock to the wall clock, was read
	d := record.NewDecoder()
	var requests []Request
	_, _, _ = record.DecodeSegment(b, func(p record.Part) {
		if p.Damaged > 0 {
			report(fmt.Errorf("%d bytes cannot be read", p.Damaged))
		}
		if p.Last {
			return
		}
		frame := fmt.Sprint(name, "\x00", boot, "\x00", p.Frame.Seq)
		if seen[frame] {
			return
		}
		seen[frame] = true
		d.Reset(p.Frame.Events, p.Frame.BaseTime)
		for {
			var e record.Event
			ok, err := d.Next(&e)
			if err != nil {
				report(fmt.Errorf("frame %d: %w", p.Frame.Seq, err))
				return
			}
			if !ok {
				return
			}
			switch {
			case e.Incarnation != nil:
				wallClock, startedAt, known = e.Incarnation.WallClock, e.Incarnation.StartedAt, true
				if t.Classes == nil {
					t.Classes, t.Plans = e.Incarnation.Classes, e.Incarnation.Plans
				} else if !slices.Equal(t.Classes, e.Incarnation.Classes) || !slices.Equal(t.Plans, e.Incarnation.Plans) {
					report(errors.New("classes or plans differ from those of earlier segments; its requests are counted by the index of their class and plan"))
				}
				t.SampleFraction = min(t.SampleFraction, e.Incarnation.SampleFraction)
			case e.Request != nil:
				q := *e.Request
				q.Attempts = slices.Clone(q.Attempts)
				requests = append(requests, Request{At: e.At, Broker: name, Request: q})
			}
		}
	})
	if !known && len(requests) > 0 {
		report(errors.New("no incarnation event: its clock cannot be related to the wall clock"))
		return
	}
	for i := range requests {
		requests[i].At += wallClock - startedAt
	}
	if len(requests) > 0 {
		t.Brokers[name] = true
	}
	t.Requests = append(t.Requests, requests...)
}
