package journal_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/testkit/faultfs"
)

// appendAndCompact appends numbered records and compacts now and then, until the folder fails. It returns the number of
// records that are stored.
func appendAndCompact(t *testing.T, fs journal.FS) (stored int, err error) {
	t.Helper()
	j, contents, err := journal.Open(fs, journal.Options{})
	if err != nil {
		return 0, err
	}
	all := recordsOf(t, contents)
	first := len(all)
	for n := first; n < first+40; n++ {
		if n%7 == 6 {
			snapshot, err := json.Marshal(all)
			if err != nil {
				t.Fatal(err)
			}
			if err := j.Compact(snapshot); err != nil && !errors.Is(err, journal.ErrBroken) {
				return len(all), err
			}
		}
		var batch [][]byte
		for k := range 1 + n%3 {
			batch = append(batch, fmt.Appendf(nil, "%d/%d", n, k))
		}
		if err := j.Append(batch...); err != nil {
			return len(all), err
		}
		for _, b := range batch {
			all = append(all, string(b))
		}
	}
	return len(all), nil
}

// recordsOf returns the records in a journal's snapshot and log.
func recordsOf(t *testing.T, contents *journal.Contents) []string {
	t.Helper()
	var all []string
	if contents.Snapshot != nil {
		if err := json.Unmarshal(contents.Snapshot, &all); err != nil {
			t.Fatalf("snapshot %q: %v", contents.Snapshot, err)
		}
	}
	for _, r := range contents.Records {
		all = append(all, string(r))
	}
	return all
}

// The machine fails in every single call, in two ways, and again in the first calls of the recovery. Stored records are
// kept, in order and once; of a batch that was not stored, a prefix or nothing is kept.
func TestStoredRecordsSurviveCrashInEveryCall(t *testing.T) {
	intact := faultfs.New()
	if _, err := appendAndCompact(t, intact); err != nil {
		t.Fatal(err)
	}
	_, o, err := journal.Open(intact, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	want := recordsOf(t, o)
	for at := 1; at <= intact.Calls(); at++ {
		for _, half := range []bool{false, true} {
			for again := range 4 {
				fs := faultfs.New()
				fs.CrashAt(at, half)
				stored, err := appendAndCompact(t, fs)
				if err == nil {
					continue
				}
				fs.Reboot()
				if again > 0 { // and once more while it is being opened
					fs.CrashAt(again, half)
					_, _, _ = journal.Open(fs, journal.Options{}) // fails or not, depending on the call
					fs.Reboot()
				}
				_, o, err := journal.Open(fs, journal.Options{})
				if err != nil {
					t.Fatalf("down at call %d (%v, %d): %v", at, half, again, err)
				}
				got := recordsOf(t, o)
				if len(got) < stored || len(got) > stored+3 || !slices.Equal(got, want[:len(got)]) {
					t.Fatalf("down at call %d (%v, %d): %d records, %d stored: %q", at, half, again, len(got), stored, got)
				}
			}
		}
	}
}

func TestAppendToFullDiskStoresNothingAndSucceedsOnceThereIsSpace(t *testing.T) {
	for room := range 60 {
		fs := faultfs.New()
		j, _, err := journal.Open(fs, journal.Options{})
		if err != nil {
			t.Fatal(err)
		}
		if err := j.Append([]byte("before")); err != nil {
			t.Fatal(err)
		}
		fs.SetRoom(room)
		err = j.Append([]byte("0123456789012345678901234567890123456789012345678901234567890123456789"))
		if !journal.IsRetryable(err) {
			t.Fatalf("room for %d: %v", room, err)
		}
		if err := j.Compact([]byte("a snapshot that has no room either, since it is rather longer than that")); err == nil {
			t.Fatal("a snapshot without room")
		}
		fs.SetRoom(-1)
		want := []string{"before"}
		if err := j.Append([]byte("after")); err == nil {
			want = append(want, "after")
		} else if !errors.Is(err, journal.ErrBroken) {
			t.Fatal(err)
		}
		_, o, err := journal.Open(fs, journal.Options{})
		if got := recordsOf(t, o); err != nil || !slices.Equal(got, want) {
			t.Fatalf("room for %d: %v %q", room, err, got)
		}
	}
}

func TestNothingIsAppendedAfterFailedSync(t *testing.T) {
	fs := faultfs.New()
	j, _, err := journal.Open(fs, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	fs.FailSync(errors.New("i/o error"))
	if err := j.Append([]byte("x")); err == nil {
		t.Fatal("no error")
	}
	fs.FailSync(nil)
	if err := j.Append([]byte("y")); !errors.Is(err, journal.ErrBroken) {
		t.Fatalf("got %v", err)
	}
}

// A byte is changed at every place. Before the last record it is reported as damage; in the last record it is the same as
// an incomplete write. Records after damage are never joined to those before it.
func TestChangedByteIsReportedAsDamageOrTornRecord(t *testing.T) {
	fs := faultfs.New()
	j, _, err := journal.Open(fs, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for n := range 10 {
		r := fmt.Sprint("record ", n)
		want = append(want, r)
		if err := j.Append([]byte(r)); err != nil {
			t.Fatal(err)
		}
	}
	text, _ := fs.ReadFile("log-0")
	for at := range text {
		fs := faultfs.New()
		f, _ := fs.Create("log-0")
		if _, err := f.Write(text); err != nil {
			t.Fatal(err)
		}
		fs.Edit("log-0", func(b []byte) []byte { b[at] ^= 0x10; return b })
		_, o, err := journal.Open(fs, journal.Options{})
		got := recordsOf(t, o)
		if len(got) == len(want) || !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("byte %d: %q", at, got)
		}
		last := len(got) == len(want)-1
		if last != (err == nil) || last != (o.Report.TornBytes > 0) || last == (len(o.Report.Damaged) > 0) {
			t.Fatalf("byte %d, %d records: %v %+v", at, len(got), err, o.Report)
		}
		if last {
			continue
		}
		if damage := new(journal.DamageError); !errors.Is(err, journal.ErrDamaged) || !errors.As(err, &damage) || damage.Damaged[0].File != "log-0" {
			t.Fatalf("byte %d: error %v names no damage of log-0", at, err)
		}
		// With the damage accepted it continues in new files, and the damaged ones are kept.
		j, o, err := journal.Open(fs, journal.Options{AcceptDamage: true})
		if err != nil || o.Report.Damaged[0].KeptAs == "" {
			t.Fatalf("byte %d: %v %+v", at, err, o.Report)
		}
		if err := j.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		_, o, err = journal.Open(fs, journal.Options{})
		if now := recordsOf(t, o); err != nil || !slices.Equal(now, append(slices.Clone(got), "more")) {
			t.Fatalf("byte %d: %v %q", at, err, now)
		}
	}
}

func TestDamagedSnapshotIsReplacedByTheGenerationBefore(t *testing.T) {
	fs := faultfs.New()
	if _, err := appendAndCompact(t, fs); err != nil {
		t.Fatal(err)
	}
	_, o, err := journal.Open(fs, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	want := recordsOf(t, o)
	names, _ := fs.List()
	newest := ""
	for _, n := range names {
		if len(n) > 4 && n[:4] == "snap" && (len(n) > len(newest) || len(n) == len(newest) && n > newest) {
			newest = n
		}
	}
	fs.Edit(newest, func(b []byte) []byte { b[len(b)/2] ^= 1; return b })
	j, o, err := journal.Open(fs, journal.Options{})
	if err != nil || len(o.Report.Damaged) != 1 || !slices.Equal(recordsOf(t, o), want) {
		t.Fatalf("%v %+v", err, o.Report)
	}
	if err := j.Append([]byte("more")); err != nil {
		t.Fatal(err)
	}
	if _, o, err = journal.Open(fs, journal.Options{}); err != nil || !slices.Equal(recordsOf(t, o), append(want, "more")) {
		t.Fatalf("%v %q", err, recordsOf(t, o))
	}
}

func TestFolderIsLockedForOneProcess(t *testing.T) {
	path := t.TempDir()
	d, err := journal.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journal.OpenDir(path); !errors.Is(err, journal.ErrLocked) {
		t.Fatalf("got %v", err)
	}
	if _, err := appendAndCompact(t, d); err != nil {
		t.Fatal(err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	d, err = journal.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	}()
	if _, o, err := journal.Open(d, journal.Options{}); err != nil || len(recordsOf(t, o)) != 79 {
		t.Fatalf("%v %d", err, len(recordsOf(t, o)))
	}
}
