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

func TestMain(m *testing.M) { fixedseed.Main(m) }

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
			Shard: rapid.Int64Range(-1, 9).Draw(t, "shard"), Duration: span.Draw(t, "took"), RetryAfter: span.Draw(t, "hint")}
		for range rapid.IntRange(0, 3).Draw(t, "tries") {
			e.Request.Attempts = append(e.Request.Attempts, Attempt{name.Draw(t, "node"), span.Draw(t, "sent"), span.Draw(t, "try"), 3})
		}
	case KindIncarnation:
		e.Incarnation = &Incarnation{Name: "n1", ID: "b", StartedAt: span.Draw(t, "began"), WallClock: span.Draw(t, "wall"), HeartbeatInterval: 5, SampleFraction: 0.25,
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

// drawSegment returns a segment, its events, and its number of frames.
func drawSegment(t *rapid.T) (segment []byte, events []Event, frames int) {
	segment = SegmentHeader("n1", "boot", 1)
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

// decoded is what a reader found in a segment.
type decoded struct {
	events  []Event
	seqs    []uint64 // of the frames
	damaged int      // bytes
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

// sameEvent compares events. Sketches with different capacities may be equal, so summaries are compared by their figures.
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
			t.Fatalf("%d events of %d, %d bytes damaged", len(got.events), len(want), got.damaged)
		}
		for i := range want {
			if !sameEvent(got.events[i], want[i]) {
				t.Fatalf("event %d is\n%+v\nwant\n%+v", i, got.events[i], want[i])
			}
		}
	})
}

// TestDamagedSegmentsReportUnreadableBytes changes a bit behind the header, or cuts the segment off there.
func TestDamagedSegmentsReportUnreadableBytes(t *testing.T) {
	headerSize := len(SegmentHeader("n1", "boot", 1))
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
			t.Fatalf("cut at %d of %d bytes: all %d frames were read", at, len(segment), frames)
		}
		if !cut && (got.damaged == 0 || len(got.seqs) != frames-1) {
			t.Fatalf("damage at %d of %d bytes: %d of %d frames, %d bytes damaged", at, len(segment), len(got.seqs), frames, got.damaged)
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

// tank is a sink that can be full or slow.
type tank struct {
	mu     sync.Mutex
	full   bool
	hold   chan struct{}
	frames []Frame
}

func (k *tank) Write(f *Frame) error {
	if k.hold != nil {
		<-k.hold
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.full {
		return errors.New("no space left on device")
	}
	c := *f
	c.Events = bytes.Clone(f.Events)
	k.frames = append(k.frames, c)
	return nil
}

func (k *tank) Close() error { return nil }

// sum adds up what a sink holds.
func (k *tank) sum(t *testing.T) (requests, lost, counted uint64, whys map[string]bool) {
	whys = map[string]bool{}
	for _, f := range k.frames {
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
				whys[e.Lost.Reason] = true
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

// A surge that overflows the buffers while the sink stands still, and then a disk that is full: no caller waits, and
// every request is either recorded or counted as lost.
func TestNothingIsLostUncounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &tank{hold: make(chan struct{})}
		start := time.Now()
		now := func() clock.Micros { return 1 + clock.FromDuration(time.Since(start)) }
		r := New(Options{SampleFraction: 1, BufferBytes: 4096}, Incarnation{Name: "n"}, now, func(*Heartbeat) {}, k)
		go r.Run()
		var all sync.WaitGroup
		const callers, each = 8, 500
		for c := range callers {
			all.Go(func() {
				for i := range each {
					r.Request(now(), &Request{Class: uint8(c % 2), Duration: clock.Micros(i), Attempts: []Attempt{{"s-1", 1, 2, 0}}})
					if i%50 == 49 {
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
		}
		all.Wait() // though the sink has not taken a thing
		close(k.hold)
		time.Sleep(time.Second)
		k.mu.Lock()
		k.full = true
		k.mu.Unlock()
		for range 100 {
			r.Request(now(), &Request{})
		}
		time.Sleep(2 * time.Second)
		k.mu.Lock()
		k.full = false
		k.mu.Unlock()
		for range 10 {
			r.Request(now(), &Request{})
		}
		time.Sleep(2 * time.Second)
		r.Close(t.Context())
		requests, lost, counted, whys := k.sum(t)
		if total := uint64(callers*each + 110); requests+lost != total || counted < total-lost || !whys["full"] || !whys["disk"] {
			t.Errorf("%d recorded and %d lost of %d, %d counted, %v", requests, lost, total, counted, whys)
		}
	})
}

// Sampling keeps whole requests, about as many as asked for, and the summary counts them all.
func TestSampling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &tank{}
		start := time.Now()
		now := func() clock.Micros { return 1 + clock.FromDuration(time.Since(start)) }
		r := New(Options{SampleFraction: 0.25}, Incarnation{Name: "n"}, now, func(*Heartbeat) {}, k)
		go r.Run()
		for range 4000 {
			time.Sleep(100 * time.Microsecond)
			r.Request(now(), &Request{Volume: "v", Attempts: []Attempt{{"s-1", 1, 2, 0}}})
		}
		r.Close(context.Background())
		requests, lost, counted, _ := k.sum(t)
		if lost != 0 || counted != 4000 || requests < 850 || requests > 1150 {
			t.Errorf("%d recorded, %d lost, %d counted", requests, lost, counted)
		}
	})
}

// The folder stays within its bound, the oldest go first, and a broker whose name begins like another's is left alone.
func TestFolderIsBounded(t *testing.T) {
	dir := t.TempDir()
	other := filepath.Join(dir, "n1-x-00ff-000001.seg")
	if err := os.WriteFile(other, make([]byte, 1000), 0o600); err != nil {
		t.Fatal(err)
	}
	seq := uint64(0)
	for _, boot := range []string{"00aa", "00bb"} {
		d, err := NewDirectory(dir, "n1", boot, 1000, 5000)
		if err != nil {
			t.Fatal(err)
		}
		for range 40 {
			seq++
			if err := d.Write(&Frame{Seq: seq, Events: make([]byte, 300)}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond) // times of files tell their order
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
		if boot := filepath.Base(p)[3:7]; boot != "00bb" {
			t.Errorf("%s is older than what was removed", p)
		}
	}
	if size > 5500 || size < 3000 {
		t.Errorf("%d bytes in %d files", size, len(paths))
	}
	if _, err := os.Stat(other); err != nil {
		t.Error(err)
	}
}

// What a request costs: recorded one by one, only counted, or without a recorder.
func BenchmarkRequest(b *testing.B) {
	q := &Request{Class: 1, Plan: 1, Volume: "00000003b4d60021", Units: 2, Shard: 3, Duration: 41000, Attempts: []Attempt{{"s-5be2a07c", 40, 40900, 0}}}
	for _, x := range []struct {
		name   string
		sample float64
	}{{"full", 1}, {"sampled", 0.01}} {
		b.Run(x.name, func(b *testing.B) {
			k := &counter{}
			start := time.Now()
			now := func() clock.Micros { return clock.FromDuration(time.Since(start)) }
			r := New(Options{SampleFraction: x.sample, BufferBytes: 64 << 20}, Incarnation{Name: "n"}, now, func(*Heartbeat) {}, k)
			go r.Run()
			n := 0
			for b.Loop() {
				r.Request(now(), q)
				n++
			}
			r.Close(context.Background())
			b.ReportMetric(float64(k.bytes)/float64(n), "B/request")
			b.ReportMetric(float64(r.Dropped())/float64(n), "dropped/request")
		})
	}
}

type counter struct{ bytes int64 }

func (c *counter) Write(f *Frame) error {
	c.bytes += int64(len(f.Events)) + frameHeaderSize
	return nil
}
func (c *counter) Close() error { return nil }
