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

// writeIncarnation writes the records of one incarnation of a broker that runs for the given number of seconds, with
// ten frames per second of one request each. It returns the paths of its segment files.
func writeIncarnation(t *testing.T, dir, name, incarnation string, begin, seconds clock.Micros, recordStop bool) []string {
	t.Helper()
	d, err := record.NewDirectory(dir, name, incarnation, 3000, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	seq := uint64(0)
	writeFrame := func(at clock.Micros, events ...record.Event) {
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
	writeFrame(begin, record.Event{At: begin, Kind: record.KindIncarnation, Incarnation: &record.Incarnation{Name: name, ID: incarnation, StartedAt: begin, HeartbeatInterval: sec / 2, SampleFraction: 1,
		Classes: []record.Class{{Name: "c", LatencyObjective: sec, Deadline: 2 * sec, PriorityWeight: 1}}, Plans: []record.Plan{{Name: "p", PriceFactor: 1}}}})
	for at := begin + sec/10; at < begin+seconds*sec; at += sec / 10 {
		writeFrame(at, record.Event{At: at, Kind: record.KindRequest, Request: &record.Request{Volume: "v", Units: 1, Duration: 1000,
			Attempts: []record.Attempt{{Node: "s-1", SentAfter: 10, Duration: 900}}}})
	}
	if recordStop {
		at := begin + seconds*sec
		writeFrame(at, record.Event{At: at, Kind: record.KindStop, Note: &record.Note{Text: "stopped"}})
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(dir, name+"-"+incarnation+"-*.seg"))
	slices.Sort(files)
	return files
}

const epoch = 1_800_000_000 * sec

// knowledgeOf reads and analyses the records under paths. It returns the spans of a broker as text, with times in
// seconds since epoch.
func knowledgeOf(t *testing.T, broker string, paths ...string) (out []string, a *incident.Analysis, f *ReadReport) {
	t.Helper()
	streams, f, err := Read(paths...)
	if err != nil {
		t.Fatal(err)
	}
	a = incident.Analyse(streams, incident.DefaultOptions())
	for _, s := range a.Knowledge {
		if s.Broker == broker {
			out = append(out, fmt.Sprintf("%s %.1f-%.1f", s.State, float64(s.From-epoch)/1e6, float64(s.To-epoch)/1e6))
		}
	}
	return out, a, f
}

func servedCount(a *incident.Analysis) (n int64) {
	for _, s := range a.Seconds {
		n += s.Served
	}
	return n
}

func modifyFile(t *testing.T, path string, f func([]byte) []byte) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, f(b), 0o600); err != nil {
		t.Fatal(err)
	}
}

func expectStates(t *testing.T, description string, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: spans are %v, want %v", description, got, want)
	}
}

// Complete segments give the same result when they are read again, and when copies of them are read as well.
func TestCompleteAndDuplicatedSegments(t *testing.T) {
	dir := t.TempDir()
	files := writeIncarnation(t, dir, "n1", "00aa", epoch, 20, true)
	if len(files) < 4 {
		t.Fatalf("%d segment files, want at least 4", len(files))
	}
	for range 2 {
		got, a, f := knowledgeOf(t, "n1", dir)
		expectStates(t, "complete", got, "known 0.0-20.0")
		if servedCount(a) != 199 || len(f.Faults) > 0 || f.Copies > 0 {
			t.Errorf("%d served, want 199; read %+v", servedCount(a), f)
		}
	}
	other := t.TempDir()
	for i, p := range files[1:] {
		b, _ := os.ReadFile(p)
		if err := os.WriteFile(filepath.Join(other, fmt.Sprintf("copy%d.seg", i)), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, a, f := knowledgeOf(t, "n1", other, dir)
	expectStates(t, "with copies", got, "known 0.0-20.0")
	if servedCount(a) != 199 || f.Copies == 0 {
		t.Errorf("%d served, want 199; read %+v", servedCount(a), f)
	}
}

// A flipped bit, a damaged header, missing files and a truncated last frame are each reported as the right state at the
// right time, and the records after them are still read.
func TestDamageIsReportedWhereItOccurred(t *testing.T) {
	dir := t.TempDir()
	files := writeIncarnation(t, dir, "n1", "00aa", epoch, 20, false)
	modifyFile(t, files[1], func(b []byte) []byte { b[len(b)/2] ^= 0x40; return b })
	got, a, f := knowledgeOf(t, "n1", dir)
	if len(got) != 3 || !strings.HasPrefix(got[0], "known 0.0-") || !strings.HasPrefix(got[1], "damaged ") || !strings.HasPrefix(got[2], "known ") || servedCount(a) != 198 || len(f.Faults) != 1 {
		t.Errorf("flipped bit: spans %v, %d served, faults %v", got, servedCount(a), f.Faults)
	}
	for _, s := range a.Knowledge {
		if s.State == incident.Damaged && (s.To-s.From > sec/4 || s.Events == 0) {
			t.Errorf("damage of one frame is reported as %+v", s)
		}
	}
	// The frames of a segment with a damaged header cannot be attributed to a broker, so they are missing.
	modifyFile(t, files[2], func(b []byte) []byte { b[3] ^= 1; return b })
	got, _, f = knowledgeOf(t, "n1", dir)
	if !slices.ContainsFunc(got, func(s string) bool { return strings.HasPrefix(s, "missing ") }) || len(f.Faults) != 2 {
		t.Errorf("damaged header: spans %v, faults %v", got, f.Faults)
	}
	dir = t.TempDir()
	files = writeIncarnation(t, dir, "n1", "00aa", epoch, 20, false)
	if err := os.Remove(files[2]); err != nil {
		t.Fatal(err)
	}
	got, a, _ = knowledgeOf(t, "n1", dir)
	if len(got) != 3 || !strings.HasPrefix(got[1], "missing ") || servedCount(a) > 180 || servedCount(a) < 120 {
		t.Errorf("missing file: spans %v, %d served", got, servedCount(a))
	}
	// The first files are missing, as after their deletion to keep the directory within its size.
	if err := os.Remove(files[0]); err != nil {
		t.Fatal(err)
	}
	got, _, _ = knowledgeOf(t, "n1", dir)
	// The Incarnation event is missing with them, so the start of the broker is unknown.
	if len(got) != 3 || !strings.HasPrefix(got[0], "known 5") || !strings.HasPrefix(got[1], "missing ") || !strings.HasPrefix(got[2], "known ") {
		t.Errorf("missing first file: spans %v", got)
	}
	// A truncated last frame is normal after a crash and is not damage.
	dir = t.TempDir()
	files = writeIncarnation(t, dir, "n1", "00aa", epoch, 20, false)
	writeIncarnation(t, dir, "n2", "00bb", epoch, 30, true)
	modifyFile(t, files[len(files)-1], func(b []byte) []byte { return b[:len(b)-20] })
	got, _, _ = knowledgeOf(t, "n1", dir)
	expectStates(t, "truncated last frame", got, "known 0.0-19.8", "dead 19.8-30.0")
	// A broker that recorded that it stopped is not dead.
	writeIncarnation(t, dir, "n3", "00cc", epoch, 10, true)
	got, a, _ = knowledgeOf(t, "n3", dir)
	expectStates(t, "stopped", got, "known 0.0-10.0", "stopped 10.0-30.0")
	for _, e := range a.Episodes {
		if e.Kind == incident.BrokerDead && e.Subject != "n1" {
			t.Errorf("unexpected episode %+v", e)
		}
	}
	// A file that is not a segment is listed as a fault and skipped.
	if err := os.WriteFile(filepath.Join(dir, "x.seg"), []byte("hello"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, f = knowledgeOf(t, "n1", dir); len(f.Faults) != 2 || !strings.Contains(strings.Join(f.Faults, " "), "x.seg: not a segment") {
		t.Errorf("faults are %v, want two, one of them that x.seg is not a segment", f.Faults)
	}
}

// Segments that are read while they are being written show no damage, and every read finds at least the requests of the
// one before.
func TestReadWhileWritten(t *testing.T) {
	dir, src := t.TempDir(), t.TempDir()
	files := writeIncarnation(t, src, "n1", "00aa", epoch, 8, false)
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
					t.Fatalf("%s truncated to %d bytes: span %+v", p, cut, s)
				}
			}
			if n := servedCount(a); n < last {
				t.Fatalf("%s truncated to %d bytes: %d served, but %d in the read before", p, cut, n, last)
			} else {
				last = n
			}
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(p)), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if last < 70 {
		t.Errorf("%d served after the last read, want at least 70", last)
	}
}

// When the disk is full, a segment ends with a truncated frame, and the broker continues in a new file once there is
// space. The time in between is reported as lost, with the number of lost events.
func TestFullDiskMidSegment(t *testing.T) {
	for _, torn := range []bool{true, false} { // the segment ends with a truncated frame, or with a complete one
		testFullDiskMidSegment(t, torn)
	}
}

func testFullDiskMidSegment(t *testing.T, truncated bool) {
	dir := t.TempDir()
	files := writeIncarnation(t, dir, "n1", "00aa", epoch, 10, false)
	if truncated {
		modifyFile(t, files[len(files)-1], func(b []byte) []byte { return b[:len(b)-25] })
	}
	d, err := record.NewDirectory(dir, "n1", "00aa", 1<<20, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	// The recorder continues the frame numbers and reports what it could not write.
	at := epoch + 14*sec
	e := record.Event{At: at, Kind: record.KindLost, Lost: &record.Lost{From: epoch + 99*sec/10, To: at, Events: 41, Requests: 40, Reason: "disk"}}
	// Segments are identified by their headers, not by their file names.
	if err := os.Rename(files[0], filepath.Join(dir, "renamed.seg")); err != nil {
		t.Fatal(err)
	}
	if err := d.Write(&record.Frame{Seq: 140, BaseTime: at, WrittenAt: at, Events: e.Append(nil, at)}); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	got, a, _ := knowledgeOf(t, "n1", dir)
	if !slices.ContainsFunc(got, func(s string) bool { return s == "lost 9.9-14.0" }) || slices.ContainsFunc(got, func(s string) bool {
		return strings.HasPrefix(s, "known") && strings.HasSuffix(s, "-14.0") && !strings.HasPrefix(s, "known 14.0") || strings.HasPrefix(s, "missing")
	}) {
		t.Errorf("spans are %v, want one lost span from 9.9 to 14.0, none missing and none known until 14.0", got)
	}
	for _, s := range a.Knowledge {
		if s.State == incident.Lost && s.Events != 41 {
			t.Errorf("lost span %+v, want 41 events", s)
		}
	}
}

// Two brokers with the same name run simultaneously: the requests of both are counted, a span says so, and neither
// counts as dead.
func TestConcurrentIncarnationsWithOneName(t *testing.T) {
	dir := t.TempDir()
	writeIncarnation(t, dir, "n1", "00aa", epoch, 20, true)
	writeIncarnation(t, dir, "n1", "00bb", epoch+8*sec, 20, true)
	_, a, _ := knowledgeOf(t, "n1", dir)
	if servedCount(a) != 398 {
		t.Errorf("%d served, want 398", servedCount(a))
	}
	if !slices.ContainsFunc(a.Knowledge, func(s incident.Span) bool { return s.State == incident.Known && strings.Contains(s.Text, "two boots") }) {
		t.Errorf("no span mentions two incarnations: %+v", a.Knowledge)
	}
	if slices.ContainsFunc(a.Episodes, func(e incident.Episode) bool { return e.Kind == incident.BrokerDead }) {
		t.Errorf("a broker counts as dead: %+v", a.Episodes)
	}
}
