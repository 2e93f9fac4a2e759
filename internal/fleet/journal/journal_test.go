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

// appendAndCompact appends 40 batches of one to three numbered records and compacts the journal before every seventh.
// It stops at the first error of the folder, and returns the number of stored records.
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

// The machine crashes in each call to the file system, with and without a partial write, and again in the first calls
// of the recovery. Every stored record must be kept once and in order; of a batch that was not stored, only a prefix
// may be kept.
func TestStoredRecordsSurviveCrashInEveryCall(t *testing.T) {
	intact := faultfs.New()
	if _, err := appendAndCompact(t, intact); err != nil {
		t.Fatal(err)
	}
	_, contents, err := journal.Open(intact, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	want := recordsOf(t, contents)
	for crashCall := 1; crashCall <= intact.ModifyingCalls(); crashCall++ {
		for _, partialWrite := range []bool{false, true} {
			for recoveryCrashCall := range 4 {
				fs := faultfs.New()
				fs.CrashAt(crashCall, partialWrite)
				stored, err := appendAndCompact(t, fs)
				if err == nil {
					continue
				}
				fs.Reboot()
				if recoveryCrashCall > 0 { // crash a second time, during recovery
					fs.CrashAt(recoveryCrashCall, partialWrite)
					_, _, _ = journal.Open(fs, journal.Options{}) // may succeed, depending on the call
					fs.Reboot()
				}
				_, contents, err := journal.Open(fs, journal.Options{})
				if err != nil {
					t.Fatalf("crash at call %d (partial write %v, recovery call %d): open: %v", crashCall, partialWrite, recoveryCrashCall, err)
				}
				got := recordsOf(t, contents)
				if len(got) < stored || len(got) > stored+3 || !slices.Equal(got, want[:len(got)]) {
					t.Fatalf("crash at call %d (partial write %v, recovery call %d): got %d records, %d were stored: %q", crashCall, partialWrite, recoveryCrashCall, len(got), stored, got)
				}
			}
		}
	}
}

func TestAppendToFullDiskStoresNothingAndSucceedsOnceSpaceIsFree(t *testing.T) {
	for space := range 60 {
		fs := faultfs.New()
		j, _, err := journal.Open(fs, journal.Options{})
		if err != nil {
			t.Fatal(err)
		}
		if err := j.Append([]byte("before")); err != nil {
			t.Fatal(err)
		}
		fs.SetFreeSpace(space)
		err = j.Append([]byte("0123456789012345678901234567890123456789012345678901234567890123456789"))
		if !journal.IsRetryable(err) {
			t.Fatalf("append with %d bytes of space returns %v, want a retryable error", space, err)
		}
		if err := j.Compact([]byte("a snapshot that has no room either, since it is rather longer than that")); err == nil {
			t.Fatal("compact without space for the snapshot succeeds")
		}
		fs.SetFreeSpace(-1)
		want := []string{"before"}
		if err := j.Append([]byte("after")); err == nil {
			want = append(want, "after")
		} else if !errors.Is(err, journal.ErrBroken) {
			t.Fatal(err)
		}
		_, contents, err := journal.Open(fs, journal.Options{})
		if got := recordsOf(t, contents); err != nil || !slices.Equal(got, want) {
			t.Fatalf("after an append with %d bytes of space the journal contains %q, want %q (error %v)", space, got, want, err)
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
		t.Fatal("append with a failing sync succeeds")
	}
	fs.FailSync(nil)
	if err := j.Append([]byte("y")); !errors.Is(err, journal.ErrBroken) {
		t.Fatalf("append after a failed sync returns %v, want ErrBroken", err)
	}
}

// Each byte of a log is changed in turn. A change before the last record must be reported as damage, a change in the
// last record cannot be told from an incomplete write. Records after the damage must never be joined to those before
// it.
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
	log, _ := fs.ReadFile("log-0")
	for offset := range log {
		fs := faultfs.New()
		f, _ := fs.Create("log-0")
		if _, err := f.Write(log); err != nil {
			t.Fatal(err)
		}
		fs.Corrupt("log-0", func(b []byte) []byte { b[offset] ^= 0x10; return b })
		_, contents, err := journal.Open(fs, journal.Options{})
		got := recordsOf(t, contents)
		if len(got) == len(want) || !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("byte %d changed: records are %q, want a proper prefix of %q", offset, got, want)
		}
		inLastRecord := len(got) == len(want)-1
		if inLastRecord != (err == nil) || inLastRecord != (contents.Report.TornBytes > 0) || inLastRecord == (len(contents.Report.Damaged) > 0) {
			t.Fatalf("byte %d changed, %d records read: error %v does not fit report %+v", offset, len(got), err, contents.Report)
		}
		if inLastRecord {
			continue
		}
		if damage := new(journal.DamageError); !errors.Is(err, journal.ErrDamaged) || !errors.As(err, &damage) || damage.Damaged[0].File != "log-0" {
			t.Fatalf("byte %d changed: error %v does not report damage of log-0", offset, err)
		}
		// If the damage is accepted, the journal continues in new files and keeps the damaged ones.
		j, contents, err := journal.Open(fs, journal.Options{AcceptDamage: true})
		if err != nil || contents.Report.Damaged[0].RenamedTo == "" {
			t.Fatalf("byte %d changed: open with AcceptDamage returns error %v, report %+v", offset, err, contents.Report)
		}
		if err := j.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		_, contents, err = journal.Open(fs, journal.Options{})
		if now := recordsOf(t, contents); err != nil || !slices.Equal(now, append(slices.Clone(got), "more")) {
			t.Fatalf("byte %d changed: after another append the records are %q (error %v)", offset, now, err)
		}
	}
}

func TestDamagedSnapshotIsReplacedByPreviousGeneration(t *testing.T) {
	fs := faultfs.New()
	if _, err := appendAndCompact(t, fs); err != nil {
		t.Fatal(err)
	}
	_, contents, err := journal.Open(fs, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	want := recordsOf(t, contents)
	names, _ := fs.List()
	newest := ""
	for _, n := range names {
		if len(n) > 4 && n[:4] == "snap" && (len(n) > len(newest) || len(n) == len(newest) && n > newest) {
			newest = n
		}
	}
	fs.Corrupt(newest, func(b []byte) []byte { b[len(b)/2] ^= 1; return b })
	j, contents, err := journal.Open(fs, journal.Options{})
	if err != nil || len(contents.Report.Damaged) != 1 || !slices.Equal(recordsOf(t, contents), want) {
		t.Fatalf("open with a damaged snapshot returns error %v, report %+v", err, contents.Report)
	}
	if err := j.Append([]byte("more")); err != nil {
		t.Fatal(err)
	}
	if _, contents, err = journal.Open(fs, journal.Options{}); err != nil || !slices.Equal(recordsOf(t, contents), append(want, "more")) {
		t.Fatalf("records are %q (error %v), want %q and \"more\"", recordsOf(t, contents), err, want)
	}
}

func TestOpenDirLocksFolder(t *testing.T) {
	path := t.TempDir()
	d, err := journal.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journal.OpenDir(path); !errors.Is(err, journal.ErrLocked) {
		t.Fatalf("opening a locked folder returns %v, want ErrLocked", err)
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
	if _, contents, err := journal.Open(d, journal.Options{}); err != nil || len(recordsOf(t, contents)) != 79 {
		t.Fatalf("reopened journal has %d records (error %v), want 79", len(recordsOf(t, contents)), err)
	}
}
