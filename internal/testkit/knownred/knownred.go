// Package knownred reads KNOWN-RED.txt, the list of tests that are known to fail because of a bug that is not fixed
// yet.
//
// Each line is an entry of four fields:
//
//	PACKAGE TEST | COMMAND WITH SEED | WHAT WAS SEEN | issue N
//
// Blank lines and lines that begin with # are ignored. Only whole tests can be listed, not subtests.
package knownred

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// MaxEntries is the maximum number of listed tests.
const MaxEntries = 3

// Errors of a list, which Parse wraps in a LineError.
var (
	ErrMalformed = errors.New("not in the form PACKAGE TEST | COMMAND WITH SEED | WHAT WAS SEEN | issue N")
	ErrDuplicate = errors.New("listed twice")
	ErrTooMany   = fmt.Errorf("more than %d tests are listed", MaxEntries)
)

// LineError is an error in a line of a list.
type LineError struct {
	Line int // from 1
	Text string
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v: %q", e.Line, e.Err, e.Text) }

func (e *LineError) Unwrap() error { return e.Err }

// Entry is one listed test.
type Entry struct {
	Package string // import path
	Test    string
	Command string // reproduces the failure; includes the seed
	Seen    string // the observed failure
	Issue   string // issue number
}

func (e Entry) String() string {
	return fmt.Sprintf("%s %s | %s | %s | issue %s", e.Package, e.Test, e.Command, e.Seen, e.Issue)
}

var entryPattern = regexp.MustCompile(`^(\S+) (Test\w+|Fuzz\w+) \| (\S[^|]*) \| (\S[^|]*) \| issue (\d+)$`)

// Parse parses the text of a list. Its errors are of type *LineError.
func Parse(text string) ([]Entry, error) {
	var entries []Entry
	listed := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimRight(line, " \t\r")
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := entryPattern.FindStringSubmatch(line)
		if fields == nil {
			return nil, &LineError{Line: i + 1, Text: line, Err: ErrMalformed}
		}
		entry := Entry{Package: fields[1], Test: fields[2], Command: fields[3], Seen: fields[4], Issue: fields[5]}
		name := entry.Package + " " + entry.Test
		if listed[name] {
			return nil, &LineError{Line: i + 1, Text: line, Err: ErrDuplicate}
		}
		listed[name] = true
		if len(entries) == MaxEntries {
			return nil, &LineError{Line: i + 1, Text: line, Err: ErrTooMany}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// TestsByPackage groups the names of listed tests by their package.
func TestsByPackage(entries []Entry) map[string][]string {
	tests := map[string][]string{}
	for _, e := range entries {
		tests[e.Package] = append(tests[e.Package], e.Test)
	}
	return tests
}
