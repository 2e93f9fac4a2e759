package supervisor

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"poppyarch/internal/fleet/journal"
)

// readStoredJournal returns the records of an agent's log that an earlier version wrote.
func readStoredJournal(t *testing.T) [][]byte {
	t.Helper()
	folder := t.TempDir()
	content, err := os.ReadFile("testdata/agent/log-0")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "log-0"), content, 0o600); err != nil {
		t.Fatal(err)
	}
	fs, err := journal.OpenDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	log, opened, err := journal.Open(fs, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if err := fs.Close(); err != nil {
		t.Fatal(err)
	}
	return opened.Records
}

func TestStoredAgentLogIsReplayed(t *testing.T) {
	records := readStoredJournal(t)
	for i, encoded := range records {
		var decoded record
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			t.Fatalf("decode record %d: %v", i, err)
		}
		again, err := json.Marshal(&decoded)
		if err != nil {
			t.Fatalf("encode record %d: %v", i, err)
		}
		if !bytes.Equal(again, encoded) {
			t.Errorf("record %d is encoded as\n%s\nwant the stored form\n%s", i, again, encoded)
		}
	}
	replayed, err := replay(nil, records)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := json.Marshal(replayed)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/agent/snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(snapshot, want) {
		t.Errorf("the replayed log's snapshot is\n%s\nwant\n%s", snapshot, want)
	}
}

func TestStoredAgentSnapshotIsRestored(t *testing.T) {
	stored, err := os.ReadFile("testdata/agent/snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	restored, err := replay(stored, nil)
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(restored)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, stored) {
		t.Errorf("the restored snapshot is encoded as\n%s\nwant the stored form\n%s", again, stored)
	}
}

func TestDamagedAgentRecordIsRefused(t *testing.T) {
	records := readStoredJournal(t)
	records[1] = records[1][:len(records[1])/2]
	if _, err := replay(nil, records); err == nil {
		t.Error("replay accepted a truncated record")
	}
	if _, err := replay([]byte(`{"cases":`), nil); err == nil {
		t.Error("replay accepted a truncated snapshot")
	}
}
