package record

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
	"poppyarch/internal/timing/clock"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

func drawTime(t *rapid.T, label string) clock.Micros {
	return clock.Micros(rapid.Int64Range(1, 1<<50).Draw(t, label))
}

func drawEvent(t *rapid.T) Event {
	e := Event{At: drawTime(t, "at"), Kind: Kind(rapid.IntRange(1, int(kindCount)-1).Draw(t, "kind"))}
	name := rapid.SampledFrom([]string{"", "s-1", "s-22", "0123456789abcdef", "ü"})
	n := rapid.Int64Range(0, 1<<40)
	span := rapid.Map(n, func(v int64) clock.Micros { return clock.Micros(v) })
	switch e.Kind {
	case KindRequest:
		e.Request = &Request{Class: 1, Plan: 2, Result: Rejected, Volume: name.Draw(t, "volume"), Units: float64(rapid.IntRange(0, 80).Draw(t, "units")) / 16,
			Shard: rapid.Int64Range(-1, 9).Draw(t, "shard"), Duration: span.Draw(t, "duration"), RetryAfter: span.Draw(t, "retry after")}
		for range rapid.IntRange(0, 3).Draw(t, "attempts") {
			e.Request.Attempts = append(e.Request.Attempts, Attempt{name.Draw(t, "node"), span.Draw(t, "sent"), span.Draw(t, "attempt duration"), 3})
		}
	case KindIncarnation:
		e.Incarnation = &Incarnation{Name: "n1", ID: "b", StartedAt: span.Draw(t, "started at"), WallClock: span.Draw(t, "wall"), HeartbeatInterval: 5, SampleFraction: 0.25,
			Classes: []Class{{"c", 1, 2, 0.5}}, Plans: []Plan{{"p", 1.5}, {"q", 0}}}
	case KindHeartbeat:
		e.Heartbeat = &Heartbeat{span.Draw(t, "wall"), 3, 1 << 30, 17, 4, -1}
	case KindSummary:
		g := Group{Class: 1, Plan: 1, Late: 3}
		g.Results[Served] = uint64(n.Draw(t, "served"))
		g.Latency.AddN(n.Draw(t, "latency"), 3)
		k := NodeCount{Node: "s-1"}
		k.Outcomes[3], k.Outcomes[9] = 4, 5
		e.Summary = &Summary{Span: 1000000, Groups: []Group{g}, Nodes: []NodeCount{k}, Volumes: []VolumeCount{{"v", 5, 1, 2, 3, 4}}}
	case KindLost:
		e.Lost = &Lost{From: e.At - 500, To: e.At - 20, Events: 7, Requests: 6, Reason: "full"}
	default:
		e.Note = &Note{name.Draw(t, "subject"), "some text", n.Draw(t, "value") - 1<<20}
	}
	return e
}

// drawSegment draws a segment and returns it with its events and its number of frames.
func drawSegment(t *rapid.T) (segment []byte, events []Event, frames int) {
	segment = SegmentHeader("n1", "incarnation", 1)
	frames = rapid.IntRange(1, 6).Draw(t, "frames")
	for k := range frames {
		base := drawTime(t, "base")
		var encoded []byte
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			e := drawEvent(t)
			encoded = e.Append(encoded, base)
			events = append(events, e)
		}
		f := Frame{Seq: uint64(k + 1), BaseTime: base, WrittenAt: 5, Events: encoded}
		segment = f.Append(segment)
	}
	return segment, events, frames
}

// decoded is the result of decoding a segment.
type decoded struct {
	events  []Event
	seqs    []uint64 // numbers of the frames
	damaged int      // number of unreadable bytes
}

func decodeSegment(t *rapid.T, segment []byte) decoded {
	t.Helper()
	var got decoded
	_, _, err := DecodeSegment(segment, func(p Part) {
		got.damaged += p.Damaged
		if !p.Last {
			got.seqs = append(got.seqs, p.Frame.Seq)
			got.events = append(got.events, decodeFrameEvents(t, p.Frame)...)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func decodeFrameEvents(t *rapid.T, f Frame) (events []Event) {
	t.Helper()
	d := NewDecoder()
	d.Reset(f.Events, f.BaseTime)
	for {
		var e Event
		more, err := d.Next(&e)
		if err != nil {
			t.Fatal(err)
		}
		if !more {
			return events
		}
		events = append(events, e)
	}
}

// sameEvent compares events. Equal sketches may differ in capacity, so summaries are compared by their values.
func sameEvent(x, y Event) bool {
	if x.Kind == KindSummary {
		return x.Summary.Groups[0].Latency.Quantile(0.5) == y.Summary.Groups[0].Latency.Quantile(0.5) &&
			x.Summary.Nodes[0].Outcomes == y.Summary.Nodes[0].Outcomes &&
			x.Summary.Volumes[0] == y.Summary.Volumes[0]
	}
	if x.Kind == KindRequest && len(x.Request.Attempts) == 0 {
		x.Request.Attempts = nil
		y.Request.Attempts = nil
	}
	return reflect.DeepEqual(x, y)
}

func TestSegmentsAreDecodedAsTheyWereEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment, want, _ := drawSegment(t)
		got := decodeSegment(t, segment)
		if got.damaged != 0 || len(got.events) != len(want) {
			t.Fatalf("read %d events of %d, with %d damaged bytes", len(got.events), len(want), got.damaged)
		}
		for i := range want {
			if !sameEvent(got.events[i], want[i]) {
				t.Fatalf("event %d is\n%+v\nwant\n%+v", i, got.events[i], want[i])
			}
		}
	})
}

// TestDamagedSegmentsReportUnreadableBytes flips a bit after the header, or truncates the segment there.
func TestDamagedSegmentsReportUnreadableBytes(t *testing.T) {
	headerSize := len(SegmentHeader("n1", "incarnation", 1))
	rapid.Check(t, func(t *rapid.T) {
		segment, _, frames := drawSegment(t)
		at := rapid.IntRange(headerSize, len(segment)-1).Draw(t, "damage")
		cut := rapid.Bool().Draw(t, "cut")
		damaged := bytes.Clone(segment)
		if cut {
			damaged = damaged[:at]
		} else {
			damaged[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
		got := decodeSegment(t, damaged)
		if cut && at > headerSize && got.damaged == 0 && len(got.seqs) == frames {
			t.Fatalf("truncated at byte %d of %d: all %d frames were read", at, len(segment), frames)
		}
		if !cut && (got.damaged == 0 || len(got.seqs) != frames-1) {
			t.Fatalf("bit flipped at byte %d of %d: read %d of %d frames, with %d damaged bytes", at, len(segment), len(got.seqs), frames, got.damaged)
		}
		for i := 1; i < len(got.seqs); i++ {
			if got.seqs[i] <= got.seqs[i-1] {
				t.Fatalf("frames out of order: %v", got.seqs)
			}
		}
	})
}

func FuzzSegment(f *testing.F) {
	e := Event{At: 7, Kind: KindNode, Note: &Note{Subject: "s", Text: "silent"}}
	fr := Frame{Seq: 1, BaseTime: 5, Events: e.Append(nil, 5)}
	f.Add(fr.Append(SegmentHeader("n", "b", 1)))
	f.Add([]byte(segmentMagic))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _ = DecodeSegment(b, func(p Part) {
			d := NewDecoder()
			d.Reset(p.Frame.Events, p.Frame.BaseTime)
			var e Event
			for {
				if ok, err := d.Next(&e); !ok || err != nil {
					return
				}
			}
		})
	})
}

// fakeSink is a sink whose writes can be made to fail or to block.
type fakeSink struct {
	mu      sync.Mutex
	full    bool
	blocked chan struct{}
	frames  []Frame
}

func (s *fakeSink) Write(f *Frame) error {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return errors.New("no space left on device")
	}
	c := *f
	c.Events = bytes.Clone(f.Events)
	s.frames = append(s.frames, c)
	return nil
}

func (s *fakeSink) Close() error { return nil }

// tally returns the number of recorded requests, of requests reported as lost and of requests counted in summaries, and
// the reasons of the losses.
func (s *fakeSink) tally(t *testing.T) (requests, lost, counted uint64, reasons map[string]bool) {
	reasons = map[string]bool{}
	for _, f := range s.frames {
		d := NewDecoder()
		d.Reset(f.Events, f.BaseTime)
		var e Event
		for {
			ok, err := d.Next(&e)
			if err != nil {
				t.Fatal(err)
			}
			if !ok {
				break
			}
			switch e.Kind {
			case KindRequest:
				requests++
			case KindLost:
				lost += e.Lost.Requests
				reasons[e.Lost.Reason] = true
			case KindSummary:
				for _, g := range e.Summary.Groups {
					for _, n := range g.Results {
						counted += n
					}
				}
			}
		}
	}
	return
}

// While the sink is blocked, a surge overflows the buffers; later the disk is full. No caller blocks, and every request
// is either recorded or counted as lost.
func TestEveryRequestIsRecordedOrCountedAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &fakeSink{blocked: make(chan struct{})}
		start := time.Now()
		now := func() clock.Micros { return 1 + clock.FromDuration(time.Since(start)) }
		r := New(Options{SampleFraction: 1, BufferBytes: 4096}, Incarnation{Name: "n"}, now, func(*Heartbeat) {}, sink)
		go r.Run()
		var wg sync.WaitGroup
		const callers, perCaller = 8, 500
		for c := range callers {
			wg.Go(func() {
				for i := range perCaller {
					r.Request(now(), &Request{Class: uint8(c % 2), Duration: clock.Micros(i), Attempts: []Attempt{{"s-1", 1, 2, 0}}})
					if i%50 == 49 {
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
		}
		wg.Wait() // returns although the sink has not written anything
		close(sink.blocked)
		time.Sleep(time.Second)
		sink.mu.Lock()
		sink.full = true
		sink.mu.Unlock()
		for range 100 {
			r.Request(now(), &Request{})
		}
		time.Sleep(2 * time.Second)
		sink.mu.Lock()
		sink.full = false
		sink.mu.Unlock()
		for range 10 {
			r.Request(now(), &Request{})
		}
		time.Sleep(2 * time.Second)
		r.Close(t.Context())
		requests, lost, counted, reasons := sink.tally(t)
		if total := uint64(callers*perCaller + 110); requests+lost != total || counted < total-lost || !reasons["full"] || !reasons["disk"] {
			t.Errorf("%d recorded and %d lost of %d requests, %d counted in summaries, reasons of loss %v", requests, lost, total, counted, reasons)
		}
	})
}

// With a sample fraction of 0.25, about a quarter of the requests is recorded, and the summaries count all of them.
func TestSampledRequestsAreRecordedAndAllAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &fakeSink{}
		start := time.Now()
		now := func() clock.Micros { return 1 + clock.FromDuration(time.Since(start)) }
		r := New(Options{SampleFraction: 0.25}, Incarnation{Name: "n"}, now, func(*Heartbeat) {}, sink)
		go r.Run()
		for range 4000 {
			time.Sleep(100 * time.Microsecond)
			r.Request(now(), &Request{Volume: "v", Attempts: []Attempt{{"s-1", 1, 2, 0}}})
		}
		r.Close(context.Background())
		requests, lost, counted, _ := sink.tally(t)
		if lost != 0 || counted != 4000 || requests < 850 || requests > 1150 {
			t.Errorf("%d recorded, %d lost, %d counted in summaries, want about 1000, 0 and 4000", requests, lost, counted)
		}
	})
}

// The directory stays within its bound, the oldest segments are deleted first, and the files of a broker whose name
// begins with this broker's name are not deleted.
func TestDirectoryDeletesOldestSegments(t *testing.T) {
	dir := t.TempDir()
	other := filepath.Join(dir, "n1-x-00ff-000001.seg")
	if err := os.WriteFile(other, make([]byte, 1000), 0o600); err != nil {
		t.Fatal(err)
	}
	seq := uint64(0)
	for _, incarnation := range []string{"00aa", "00bb"} {
		d, err := NewDirectory(dir, "n1", incarnation, 1000, 5000)
		if err != nil {
			t.Fatal(err)
		}
		for range 40 {
			seq++
			if err := d.Write(&Frame{Seq: seq, Events: make([]byte, 300)}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond) // segments are ordered by modification time
		}
		if err := d.Close(); err != nil {
			t.Fatal(err)
		}
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "n1-00*.seg"))
	var size int64
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
		if incarnation := filepath.Base(p)[3:7]; incarnation != "00bb" {
			t.Errorf("%s belongs to an earlier incarnation and should have been deleted", p)
		}
	}
	if size > 5500 || size < 3000 {
		t.Errorf("%d bytes in %d files, want 3000 to 5500 bytes", size, len(paths))
	}
	if _, err := os.Stat(other); err != nil {
		t.Error(err)
	}
}

// BenchmarkRequest measures the cost of Recorder.Request with all requests recorded and with 1 % of them recorded.
func BenchmarkRequest(b *testing.B) {
	q := &Request{Class: 1, Plan: 1, Volume: "00000003b4d60021", Units: 2, Shard: 3, Duration: 41000, Attempts: []Attempt{{"s-5be2a07c", 40, 40900, 0}}}
	for _, x := range []struct {
		name   string
		sample float64
	}{{"full", 1}, {"sampled", 0.01}} {
		b.Run(x.name, func(b *testing.B) {
			sink := &byteCounter{}
			start := time.Now()
			now := func() clock.Micros { return clock.FromDuration(time.Since(start)) }
			r := New(Options{SampleFraction: x.sample, BufferBytes: 64 << 20}, Incarnation{Name: "n"}, now, func(*Heartbeat) {}, sink)
			go r.Run()
			n := 0
			for b.Loop() {
				r.Request(now(), q)
				n++
			}
			r.Close(context.Background())
			b.ReportMetric(float64(sink.bytes)/float64(n), "B/request")
			b.ReportMetric(float64(r.Dropped())/float64(n), "dropped/request")
		})
	}
}

type byteCounter struct{ bytes int64 }

func (c *byteCounter) Write(f *Frame) error {
	c.bytes += int64(len(f.Events)) + frameHeaderSize
	return nil
}
func (c *byteCounter) Close() error { return nil }
