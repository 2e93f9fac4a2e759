package collect

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/timing/clock"
)

const sec = clock.Micros(1_000_000)

// write records one boot of a broker for so many seconds, ten frames a second of a request each, and returns its files.
func write(t *testing.T, dir, name, boot string, begin, seconds clock.Micros, stop bool) []string {
	t.Helper()
	d, err := record.NewDirectory(dir, name, boot, 3000, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	seq := uint64(0)
	put := func(at clock.Micros, events ...record.Event) {
		t.Helper()
		seq++
		var b []byte
		for i := range events {
			b = events[i].Append(b, at)
		}
		if err := d.Write(&record.Frame{Seq: seq, BaseTime: at, WrittenAt: at, Events: b}); err != nil {
			t.Fatal(err)
		}
	}
	put(begin, record.Event{At: begin, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: name, ID: boot, StartedAt: begin, HeartbeatInterval: sec / 2, SampleFraction: 1,
		Classes: []record.Class{{Name: "c", LatencyObjective: sec, Deadline: 2 * sec, PriorityWeight: 1}}, Plans: []record.Plan{{Name: "p", PriceFactor: 1}}}})
	for at := begin + sec/10; at < begin+seconds*sec; at += sec / 10 {
		put(at, record.Event{At: at, Kind: record.KindRequest, Request: &record.Request{Volume: "v", Units: 1, Duration: 1000,
			Attempts: []record.Attempt{{Node: "s-1", SentAfter: 10, Duration: 900}}}})
	}
	if stop {
		at := begin + seconds*sec
		put(at, record.Event{At: at, Kind: record.KindStop, Note: &record.Note{Text: "stopped"}})
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(dir, name+"-"+boot+"-*.seg"))
	slices.Sort(files)
	return files
}

const zero = 1_800_000_000 * sec

// states are what is known of a broker, in seconds from zero.
func states(t *testing.T, broker string, paths ...string) (out []string, a *incident.Analysis, f *Found) {
	t.Helper()
	streams, f, err := Read(paths...)
	if err != nil {
		t.Fatal(err)
	}
	a = incident.Analyse(streams, incident.DefaultOptions())
	for _, s := range a.Knowledge {
		if s.Broker == broker {
			out = append(out, fmt.Sprintf("%s %.1f-%.1f", s.State, float64(s.From-zero)/1e6, float64(s.To-zero)/1e6))
		}
	}
	return out, a, f
}

func served(a *incident.Analysis) (n int64) {
	for _, s := range a.Seconds {
		n += s.Served
	}
	return n
}

func edit(t *testing.T, path string, f func([]byte) []byte) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, f(b), 0o600); err != nil {
		t.Fatal(err)
	}
}

func same(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// A sound log, read twice as a collector that was killed would, and with copies of its files beside it, is read the same.
func TestWholeAndCopied(t *testing.T) {
	dir := t.TempDir()
	files := write(t, dir, "n1", "00aa", zero, 20, true)
	if len(files) < 4 {
		t.Fatalf("%d files", len(files))
	}
	for range 2 {
		got, a, f := states(t, "n1", dir)
		same(t, "whole", got, "known 0.0-20.0")
		if served(a) != 199 || len(f.Faults) > 0 || f.Copies > 0 {
			t.Errorf("%d served, %+v", served(a), f)
		}
	}
	other := t.TempDir()
	for i, p := range files[1:] {
		b, _ := os.ReadFile(p)
		if err := os.WriteFile(filepath.Join(other, fmt.Sprintf("copy%d.seg", i)), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, a, f := states(t, "n1", other, dir)
	same(t, "copied", got, "known 0.0-20.0")
	if served(a) != 199 || f.Copies == 0 {
		t.Errorf("%d served, %+v", served(a), f)
	}
}

// Bytes that cannot be read, a file that is gone, and a tail that was torn by a death: each shows as what it is, where it was, and
// nothing behind a gap is lost with it.
func TestDamageIsShownWhereItIs(t *testing.T) {
	dir := t.TempDir()
	files := write(t, dir, "n1", "00aa", zero, 20, false)
	edit(t, files[1], func(b []byte) []byte { b[len(b)/2] ^= 0x40; return b })
	got, a, f := states(t, "n1", dir)
	if len(got) != 3 || !strings.HasPrefix(got[0], "known 0.0-") || !strings.HasPrefix(got[1], "damaged ") || !strings.HasPrefix(got[2], "known ") || served(a) != 198 || len(f.Faults) != 1 {
		t.Errorf("a flipped byte: %v, %d served, %v", got, served(a), f.Faults)
	}
	for _, s := range a.Knowledge {
		if s.State == incident.Damaged && (s.To-s.From > sec/4 || s.Events == 0) {
			t.Errorf("damage of one frame is shown as %+v", s)
		}
	}
	// A head that cannot be read: its frames are nobody's, and are missing.
	edit(t, files[2], func(b []byte) []byte { b[3] ^= 1; return b })
	got, _, f = states(t, "n1", dir)
	if !slices.ContainsFunc(got, func(s string) bool { return strings.HasPrefix(s, "missing ") }) || len(f.Faults) != 2 {
		t.Errorf("a damaged head: %v, %v", got, f.Faults)
	}
	dir = t.TempDir()
	files = write(t, dir, "n1", "00aa", zero, 20, false)
	if err := os.Remove(files[2]); err != nil {
		t.Fatal(err)
	}
	got, a, _ = states(t, "n1", dir)
	if len(got) != 3 || !strings.HasPrefix(got[1], "missing ") || served(a) > 180 || served(a) < 120 {
		t.Errorf("a file that is gone: %v, %d served", got, served(a))
	}
	// The first files are gone, as where the folder's bound has removed them.
	if err := os.Remove(files[0]); err != nil {
		t.Fatal(err)
	}
	got, _, _ = states(t, "n1", dir)
	if len(got) != 3 || !strings.HasPrefix(got[0], "known 5") || !strings.HasPrefix(got[1], "missing ") || !strings.HasPrefix(got[2], "known ") { // its particulars are gone with them
		t.Errorf("the first files gone: %v", got)
	}
	// A torn tail is how a death looks, and no damage.
	dir = t.TempDir()
	files = write(t, dir, "n1", "00aa", zero, 20, false)
	write(t, dir, "n2", "00bb", zero, 30, true)
	edit(t, files[len(files)-1], func(b []byte) []byte { return b[:len(b)-20] })
	got, _, _ = states(t, "n1", dir)
	same(t, "a torn tail", got, "known 0.0-19.8", "dead 19.8-30.0")
	// One that said it stopped is not dead.
	write(t, dir, "n3", "00cc", zero, 10, true)
	got, a, _ = states(t, "n3", dir)
	same(t, "stopped", got, "known 0.0-10.0", "stopped 10.0-30.0")
	for _, e := range a.Episodes {
		if e.Kind == incident.BrokerDead && e.Subject != "n1" {
			t.Errorf("%+v", e)
		}
	}
	// Garbage that is no segment at all is told and passed over.
	if err := os.WriteFile(filepath.Join(dir, "x.seg"), []byte("hello"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, f = states(t, "n1", dir); len(f.Faults) != 2 || !strings.Contains(strings.Join(f.Faults, " "), "x.seg: not a segment") {
		t.Errorf("%v", f.Faults)
	}
}

// Reading while it is written: each time a little more is there, nothing is taken for damage, and what was read before stays.
func TestReadWhileWritten(t *testing.T) {
	dir, src := t.TempDir(), t.TempDir()
	files := write(t, src, "n1", "00aa", zero, 8, false)
	last := int64(0)
	for _, p := range files {
		b, _ := os.ReadFile(p)
		for cut := 0; cut <= len(b); cut += 97 {
			if err := os.WriteFile(filepath.Join(dir, filepath.Base(p)), b[:cut], 0o600); err != nil {
				t.Fatal(err)
			}
			streams, _, err := Read(dir)
			if err != nil {
				t.Fatal(err)
			}
			o := incident.DefaultOptions()
			a := incident.Analyse(streams, o)
			for _, s := range a.Knowledge {
				if s.State == incident.Damaged || s.State == incident.Missing {
					t.Fatalf("%s cut at %d: %+v", p, cut, s)
				}
			}
			if n := served(a); n < last {
				t.Fatalf("%s cut at %d: %d served, %d before", p, cut, n, last)
			} else {
				last = n
			}
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(p)), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if last < 70 {
		t.Errorf("%d served in the end", last)
	}
}

// A disk that fills up in the middle of a segment leaves half a frame; the broker goes on in a new file once there is room.
// What came between is known to be lost, and how much.
func TestFullDiskMidSegment(t *testing.T) {
	for _, torn := range []bool{true, false} { // or it took nothing of the next frame
		fullDisk(t, torn)
	}
}

func fullDisk(t *testing.T, torn bool) {
	dir := t.TempDir()
	files := write(t, dir, "n1", "00aa", zero, 10, false)
	if torn {
		edit(t, files[len(files)-1], func(b []byte) []byte { return b[:len(b)-25] })
	}
	d, err := record.NewDirectory(dir, "n1", "00aa", 1<<20, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	// As the recorder numbers on, and tells what it could not keep.
	at := zero + 14*sec
	e := record.Event{At: at, Kind: record.KindLost, Lost: &record.Lost{From: zero + 99*sec/10, To: at, Events: 41, Requests: 40, Reason: "disk"}}
	if err := os.Rename(files[0], filepath.Join(dir, "renamed.seg")); err != nil { // names do not matter: heads do
		t.Fatal(err)
	}
	if err := d.Write(&record.Frame{Seq: 140, BaseTime: at, WrittenAt: at, Events: e.Append(nil, at)}); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	got, a, _ := states(t, "n1", dir)
	if !slices.ContainsFunc(got, func(s string) bool { return s == "lost 9.9-14.0" }) || slices.ContainsFunc(got, func(s string) bool {
		return strings.HasPrefix(s, "known") && strings.HasSuffix(s, "-14.0") && !strings.HasPrefix(s, "known 14.0") || strings.HasPrefix(s, "missing")
	}) {
		t.Errorf("%v", got)
	}
	for _, s := range a.Knowledge {
		if s.State == incident.Lost && s.Events != 41 {
			t.Errorf("%+v", s)
		}
	}
}

// Two boots under one name at once, as where two brokers were given the same one: both are shown, and that it is so.
func TestTwoBootsOfOneName(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "n1", "00aa", zero, 20, true)
	write(t, dir, "n1", "00bb", zero+8*sec, 20, true)
	_, a, _ := states(t, "n1", dir)
	if served(a) != 398 {
		t.Errorf("%d served", served(a))
	}
	if !slices.ContainsFunc(a.Knowledge, func(s incident.Span) bool { return s.State == incident.Known && strings.Contains(s.Text, "two boots") }) {
		t.Errorf("%+v", a.Knowledge)
	}
	if slices.ContainsFunc(a.Episodes, func(e incident.Episode) bool { return e.Kind == incident.BrokerDead }) {
		t.Errorf("%+v", a.Episodes)
	}
}
