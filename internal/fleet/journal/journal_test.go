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

// play appends numbered records and compacts now and then, until the folder fails. It returns the last one that counts.
func play(fs journal.FS, from int) (acked int, err error) {
	j, o, err := journal.Open(fs, journal.Options{})
	if err != nil {
		return from, err
	}
	all := content(o)
	acked = len(all)
	for n := acked; n < acked+40; n++ {
		if n%7 == 6 {
			b, _ := json.Marshal(all)
			if err := j.Compact(b); err != nil && !errors.Is(err, journal.ErrBroken) {
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

// content is all that a journal holds.
func content(o *journal.Contents) (all []string) {
	if o.Snapshot != nil {
		json.Unmarshal(o.Snapshot, &all)
	}
	for _, r := range o.Records {
		all = append(all, string(r))
	}
	return all
}

// The machine goes down in every single call, in two ways, and again in every call of the recovery: what counted is
// there, in order and once; what did not count is there as a prefix of its batch or not at all.
func TestEveryCrashKeepsWhatCounts(t *testing.T) {
	whole := faultfs.New()
	if _, err := play(whole, 0); err != nil {
		t.Fatal(err)
	}
	_, o, err := journal.Open(whole, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	want := content(o)
	for at := 1; at <= whole.Calls(); at++ {
		for _, half := range []bool{false, true} {
			for again := range 4 {
				fs := faultfs.New()
				fs.CrashAt(at, half)
				acked, err := play(fs, 0)
				if err == nil {
					continue
				}
				fs.Reboot()
				if again > 0 { // and once more while it is being opened
					fs.CrashAt(again, half)
					journal.Open(fs, journal.Options{})
					fs.Reboot()
				}
				_, o, err := journal.Open(fs, journal.Options{})
				if err != nil {
					t.Fatalf("down at call %d (%v, %d): %v", at, half, again, err)
				}
				got := content(o)
				if len(got) < acked || len(got) > acked+3 || !slices.Equal(got, want[:len(got)]) {
					t.Fatalf("down at call %d (%v, %d): %d records of %d that count: %q", at, half, again, len(got), acked, got)
				}
			}
		}
	}
}

// A full disk refuses, loses nothing, leaves no half record, and is over when there is room again.
func TestFullDisk(t *testing.T) {
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
		if got := content(o); err != nil || !slices.Equal(got, want) {
			t.Fatalf("room for %d: %v %q", room, err, got)
		}
	}
}

// After a failed sync nobody knows what is on disk: nothing more is taken.
func TestFailedSync(t *testing.T) {
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

// A flipped byte anywhere: damage before the end is found, named and not passed over; at the end it looks like a
// torn record. Nothing behind a gap is ever joined on to what comes before it.
func TestFlippedBytes(t *testing.T) {
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
		f.Write(text)
		fs.Edit("log-0", func(b []byte) []byte { b[at] ^= 0x10; return b })
		_, o, err := journal.Open(fs, journal.Options{})
		got := content(o)
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
		// Opened all the same, it goes on in files of its own, and the damaged ones are kept.
		j, o, err := journal.Open(fs, journal.Options{AcceptDamage: true})
		if err != nil || o.Report.Damaged[0].KeptAs == "" {
			t.Fatalf("byte %d: %v %+v", at, err, o.Report)
		}
		if err := j.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
		_, o, err = journal.Open(fs, journal.Options{})
		if now := content(o); err != nil || !slices.Equal(now, append(slices.Clone(got), "more")) {
			t.Fatalf("byte %d: %v %q", at, err, now)
		}
	}
}

// A snapshot that cannot be read is done without: the generation before it and both logs give the same.
func TestDamagedSnapshot(t *testing.T) {
	fs := faultfs.New()
	if _, err := play(fs, 0); err != nil {
		t.Fatal(err)
	}
	_, o, err := journal.Open(fs, journal.Options{})
	if err != nil {
		t.Fatal(err)
	}
	want := content(o)
	names, _ := fs.List()
	newest := ""
	for _, n := range names {
		if len(n) > 4 && n[:4] == "snap" && (len(n) > len(newest) || len(n) == len(newest) && n > newest) {
			newest = n
		}
	}
	fs.Edit(newest, func(b []byte) []byte { b[len(b)/2] ^= 1; return b })
	j, o, err := journal.Open(fs, journal.Options{})
	if err != nil || len(o.Report.Damaged) != 1 || !slices.Equal(content(o), want) {
		t.Fatalf("%v %+v", err, o.Report)
	}
	if err := j.Append([]byte("more")); err != nil {
		t.Fatal(err)
	}
	if _, o, err = journal.Open(fs, journal.Options{}); err != nil || !slices.Equal(content(o), append(want, "more")) {
		t.Fatalf("%v %q", err, content(o))
	}
}

// Two processes do not share a folder.
func TestLock(t *testing.T) {
	path := t.TempDir()
	d, err := journal.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journal.OpenDir(path); !errors.Is(err, journal.ErrLocked) {
		t.Fatalf("got %v", err)
	}
	if _, err := play(d, 0); err != nil {
		t.Fatal(err)
	}
	d.Close()
	d, err = journal.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if _, o, err := journal.Open(d, journal.Options{}); err != nil || len(content(o)) != 79 {
		t.Fatalf("%v %d", err, len(content(o)))
	}
}
