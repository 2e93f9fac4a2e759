package knownred

import (
	"errors"
	"slices"
	"testing"
)

const sampleEntry = "poppyarch/policy TestA | go test ./policy -run TestA -seed 7 | 6.003 s, want at most 6 s | issue 21"

func TestParse(t *testing.T) {
	for _, x := range []struct {
		name    string
		text    string
		entries int
		err     error
		line    int
	}{
		{name: "empty"},
		{name: "comments", text: "# none\n\n"},
		{name: "one", text: sampleEntry + "\n", entries: 1},
		{name: "three", text: sampleEntry + "\nx TestB | c | s | issue 1\nx FuzzC | c | s | issue 2", entries: 3},
		{name: "four", text: sampleEntry + "\nx TestB | c | s | issue 1\nx TestC | c | s | issue 2\nx TestD | c | s | issue 2", err: ErrTooMany, line: 4},
		{name: "twice", text: sampleEntry + "\n" + sampleEntry, err: ErrDuplicate, line: 2},
		{name: "no command", text: "poppyarch/policy TestA |  | s | issue 21", err: ErrMalformed, line: 1},
		{name: "nothing seen", text: "poppyarch/policy TestA | c |  | issue 21", err: ErrMalformed, line: 1},
		{name: "no issue", text: "\npoppyarch/policy TestA | c | s", err: ErrMalformed, line: 2},
		{name: "a subtest", text: "poppyarch/policy TestA/b | c | s | issue 21", err: ErrMalformed, line: 1},
		{name: "no test", text: "poppyarch/policy | c | s | issue 21", err: ErrMalformed, line: 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			entries, err := Parse(x.text)
			if !errors.Is(err, x.err) {
				t.Fatalf("error is %v, want %v", err, x.err)
			}
			if len(entries) != x.entries {
				t.Errorf("%d entries, want %d", len(entries), x.entries)
			}
			var lineError *LineError
			if errors.As(err, &lineError) && lineError.Line != x.line {
				t.Errorf("the error names line %d, want %d", lineError.Line, x.line)
			}
		})
	}
}

func TestEntryStringRoundTrips(t *testing.T) {
	entries, err := Parse(sampleEntry)
	if err != nil {
		t.Fatal(err)
	}
	if got := entries[0].String(); got != sampleEntry {
		t.Errorf("String() = %q, want the parsed text %q", got, sampleEntry)
	}
	if got := TestsByPackage(entries)["poppyarch/policy"]; !slices.Equal(got, []string{"TestA"}) {
		t.Errorf("tests of the package are %v, want [TestA]", got)
	}
}
