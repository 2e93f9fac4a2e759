package compat

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/inventory"
	"poppyarch/internal/nodes/nodefile"
	"poppyarch/internal/observability/record"
	"poppyarch/internal/observability/sketch"
)

// openJournal opens a journal in a new folder with the given files. It returns the journal's contents and the folder.
func openJournal(t *testing.T, files map[string][]byte) (*journal.Contents, string, error) {
	t.Helper()
	folder := t.TempDir()
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	fs, err := journal.OpenDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fs.Close(); err != nil {
			t.Error(err)
		}
	})
	log, opened, err := journal.Open(fs, journal.Options{})
	if err == nil {
		t.Cleanup(func() {
			if err := log.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	return opened, folder, err
}

func managerLog(t *testing.T) []byte {
	t.Helper()
	return readFile(t, "testdata/manager/log-0")
}

// replayManagerLog applies the stored log to an empty state. It checks that each record is encoded as it was stored.
func replayManagerLog(t *testing.T) *state.State {
	t.Helper()
	opened, _, err := openJournal(t, map[string][]byte{"log-0": managerLog(t)})
	if err != nil {
		t.Fatal(err)
	}
	if opened.Report.TornBytes > 0 || len(opened.Report.Damaged) > 0 {
		t.Fatalf("stored log is reported as damaged: %+v", opened.Report)
	}
	fleet := state.New(state.DefaultLimits())
	for i, encoded := range opened.Records {
		record, err := state.DecodeRecord(encoded)
		if err != nil {
			t.Fatalf("record %d: %v", i, err)
		}
		again, err := record.Encode()
		if err != nil {
			t.Fatalf("record %d: %v", i, err)
		}
		if !bytes.Equal(again, encoded) {
			t.Errorf("record %d, decoded and encoded again, is\n%s\nwant\n%s", i, again, encoded)
		}
		if err := fleet.Apply(record); err != nil {
			t.Fatalf("record %d: %v", i, err)
		}
	}
	return fleet
}

func TestManagerLogIsReplayed(t *testing.T) {
	fleet := replayManagerLog(t)
	snapshot, err := fleet.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "manager/snapshot.json", snapshot)
}

func TestManagerSnapshotIsRestored(t *testing.T) {
	stored := readFile(t, "testdata/manager/snapshot.json")
	fleet, err := state.Restore(stored, state.DefaultLimits())
	if err != nil {
		t.Fatal(err)
	}
	again, err := fleet.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, stored) {
		t.Errorf("restored and written again, the snapshot is\n%s\nwant\n%s", again, stored)
	}
}

// TestJournalFileFormatIsStable checks that a journal with the records and the snapshot of an earlier version consists
// of the same files.
func TestJournalFileFormatIsStable(t *testing.T) {
	opened, _, err := openJournal(t, map[string][]byte{"log-0": managerLog(t)})
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	fs, err := journal.OpenDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := journal.Open(fs, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(opened.Records...); err != nil {
		t.Fatal(err)
	}
	if got := readFile(t, filepath.Join(folder, "log-0")); !bytes.Equal(got, managerLog(t)) {
		t.Error("the written log file differs from the stored one")
	}
	if err := log.Compact(readFile(t, "testdata/manager/snapshot.json")); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "manager/snap-1", readFile(t, filepath.Join(folder, "snap-1")))
	if err := errors.Join(log.Close(), fs.Close()); err != nil {
		t.Fatal(err)
	}
}

func TestJournalSnapshotFileIsRead(t *testing.T) {
	opened, _, err := openJournal(t, map[string][]byte{"snap-1": readFile(t, "testdata/manager/snap-1")})
	if err != nil {
		t.Fatal(err)
	}
	if want := readFile(t, "testdata/manager/snapshot.json"); !bytes.Equal(opened.Snapshot, want) {
		t.Errorf("the snapshot is\n%s\nwant\n%s", opened.Snapshot, want)
	}
}

func TestTornManagerLogLosesOnlyTheIncompleteRecord(t *testing.T) {
	complete, _, err := openJournal(t, map[string][]byte{"log-0": managerLog(t)})
	if err != nil {
		t.Fatal(err)
	}
	log := managerLog(t)
	torn, _, err := openJournal(t, map[string][]byte{"log-0": log[:len(log)-1]})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(torn.Records), len(complete.Records)-1; got != want {
		t.Errorf("%d records were read, want %d", got, want)
	}
	if torn.Report.TornBytes == 0 {
		t.Error("the incomplete record is not reported")
	}
}

func TestDamagedManagerLogIsRejectedAndNotChanged(t *testing.T) {
	log := managerLog(t)
	log[len(log)/2] ^= 1
	opened, folder, err := openJournal(t, map[string][]byte{"log-0": log})
	if !errors.Is(err, journal.ErrDamaged) {
		t.Fatalf("error is %v, want ErrDamaged", err)
	}
	if len(opened.Report.Damaged) != 1 || opened.Report.Damaged[0].File != "log-0" {
		t.Errorf("damage is reported as %+v", opened.Report.Damaged)
	}
	if got := readFile(t, filepath.Join(folder, "log-0")); !bytes.Equal(got, log) {
		t.Error("the damaged file was changed")
	}
}

func TestDamagedManagerSnapshotIsRejected(t *testing.T) {
	stored := readFile(t, "testdata/manager/snapshot.json")
	for name, damaged := range map[string][]byte{
		"truncated":         stored[:len(stored)/2],
		"names no instance": bytes.Replace(stored, []byte(`"head":{"b1":`), []byte(`"head":{"b1":9`), 1),
		"not an object":     []byte("[]"),
	} {
		t.Run(name, func(t *testing.T) {
			if bytes.Equal(damaged, stored) {
				t.Fatal("the damaged snapshot equals the stored one")
			}
			if _, err := state.Restore(damaged, state.DefaultLimits()); err == nil {
				t.Error("the damaged snapshot was restored without an error")
			}
		})
	}
}

// sampleEvents has one event of each kind with every field set.
func sampleEvents() []record.Event {
	var latency sketch.Sketch
	for _, micros := range []int64{900, 1200, 80_000} {
		latency.Add(micros)
	}
	boot := filled(&record.Incarnation{}).(*record.Incarnation)
	beat := filled(&record.Heartbeat{}).(*record.Heartbeat)
	request := filled(&record.Request{}).(*record.Request)
	request.Result, request.Units, request.Shard = record.DeadlineExceeded, 2.5, -1
	summary := filled(&record.Summary{}).(*record.Summary)
	summary.Groups[0].Latency, summary.Nodes[0].Latency = latency, latency
	events := []record.Event{
		{At: 1000, Kind: record.KindIncarnation, Incarnation: boot},
		{At: 2000, Kind: record.KindHeartbeat, Heartbeat: beat},
		{At: 1500, Kind: record.KindRequest, Request: request},
		{At: 3000, Kind: record.KindSummary, Summary: summary},
		{At: 3500, Kind: record.KindLost, Lost: filled(&record.Lost{}).(*record.Lost)},
	}
	for _, kind := range []record.Kind{record.KindNode, record.KindEndpointList, record.KindDiscovery, record.KindControl,
		record.KindDrain, record.KindStop} {
		events = append(events, record.Event{At: 4000, Kind: kind, Note: &record.Note{Subject: "s-1", Text: "text", Value: -7}})
	}
	return events
}

// encodeSegment returns a segment file with one frame.
func encodeSegment(events []record.Event) []byte {
	frame := record.Frame{Seq: 1, BaseTime: 1000, WrittenAt: 5000}
	for i := range events {
		frame.Events = events[i].Append(frame.Events, frame.BaseTime)
	}
	return frame.Append(record.SegmentHeader("b1", "0123456789abcdef", 1))
}

func TestRecordSegmentEncodingIsStable(t *testing.T) {
	compareGolden(t, "records/segment", encodeSegment(sampleEvents()))
}

// decodeSegment returns the events of a segment and the number of its unreadable bytes.
func decodeSegment(t *testing.T, segment []byte) (events []record.Event, damaged int) {
	t.Helper()
	name, boot, err := record.DecodeSegment(segment, func(part record.Part) {
		damaged += part.Damaged
		if part.Last {
			return
		}
		decoder := record.NewDecoder()
		decoder.Reset(part.Frame.Events, part.Frame.BaseTime)
		for {
			var event record.Event
			more, err := decoder.Next(&event)
			if err != nil {
				t.Fatal(err)
			}
			if !more {
				return
			}
			events = append(events, event)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if name != "b1" || boot != "0123456789abcdef" {
		t.Errorf("the segment is of broker %q, boot %q, want b1 and 0123456789abcdef", name, boot)
	}
	return events, damaged
}

func TestRecordSegmentsAreReadWithoutLoss(t *testing.T) {
	stored := readFile(t, "testdata/records/segment")
	events, damaged := decodeSegment(t, stored)
	if damaged > 0 {
		t.Errorf("%d bytes are unreadable, want 0", damaged)
	}
	if want := len(sampleEvents()); len(events) != want {
		t.Errorf("%d events were read, want %d", len(events), want)
	}
	if !bytes.Equal(encodeSegment(events), stored) {
		t.Error("read and written again, the stored segment differs")
	}
}

func TestDamagedRecordSegmentReportsUnreadableBytes(t *testing.T) {
	stored := readFile(t, "testdata/records/segment")
	damagedSegment := append(bytes.Clone(stored), stored[len(stored)-1])
	events, damaged := decodeSegment(t, damagedSegment)
	if want := len(sampleEvents()); damaged != 1 || len(events) != want {
		t.Errorf("%d events and %d unreadable bytes, want %d and 1", len(events), damaged, want)
	}
}

func TestNodeListFormatsAreStable(t *testing.T) {
	rows := []nodefile.Row{*filled(&nodefile.Row{}).(*nodefile.Row)}
	rows[0].ID, rows[0].State, rows[0].Addr, rows[0].Zone = "s-1", "draining", "127.0.0.1:7001", "room"
	rows[0].Objects = "127.0.0.1:7002"
	encodedYAML, err := nodefile.YAML(rows)
	if err != nil {
		t.Fatal(err)
	}
	for name, encoded := range map[string][]byte{"nodes.csv": nodefile.CSV(rows), "nodes.yaml": encodedYAML} {
		compareGolden(t, "lists/"+name, encoded)
		doc := nodefile.Parse(name, readFile(t, "testdata/lists/"+name))
		if len(doc.Faults) > 0 {
			t.Fatalf("%s: %v", name, doc.Faults)
		}
		decoded, err := json.MarshalIndent(doc.Rows, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		compareGolden(t, "lists/"+name+".rows.json", append(decoded, '\n'))
	}
}

func TestInventoryFormatsAreStable(t *testing.T) {
	for _, name := range []string{"inventory.csv", "inventory.yaml", "inventory-tour.yaml"} {
		instances, err := inventory.Parse(name, readFile(t, "testdata/lists/"+name))
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := json.MarshalIndent(instances, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		compareGolden(t, "lists/"+name+".instances.json", append(decoded, '\n'))
	}
}
