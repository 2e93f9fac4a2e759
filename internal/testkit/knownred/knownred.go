// Package knownred reads the list of tests that are known to fail for a fault that is not mended yet.
package knownred

import (
	"fmt"
	"regexp"
	"strings"
)

// Most is how many tests may be listed at once.
const Most = 3

// Test is one listed test.
type Test struct {
	Package string // its import path
	Name    string
	Cause   string
	Issue   string
}

func (t Test) String() string {
	return fmt.Sprintf("%s %s: %s (issue %s)", t.Package, t.Name, t.Cause, t.Issue)
}

// line is "PACKAGE TEST: CAUSE (issue N)". Subtests cannot be listed: a test is passed over as a whole.
var line = regexp.MustCompile(`^(\S+) (Test\w+|Fuzz\w+): (\S.*) \(issue (\d+)\)$`)

// Parse reads the text of a list. Blank lines and lines that begin with # do not count. Whatever else is not in the form, is
// listed twice or is one too many is an error that names the line.
func Parse(text string) ([]Test, error) {
	var list []Test
	seen := map[string]bool{}
	for i, s := range strings.Split(text, "\n") {
		s = strings.TrimRight(s, " \t\r")
		if s == "" || strings.HasPrefix(s, "#") {
			continue
		}
		m := line.FindStringSubmatch(s)
		if m == nil {
			return nil, fmt.Errorf("line %d: not in the form PACKAGE TEST: CAUSE (issue N): %q", i+1, s)
		}
		t := Test{Package: m[1], Name: m[2], Cause: m[3], Issue: m[4]}
		if seen[t.Package+" "+t.Name] {
			return nil, fmt.Errorf("line %d: %s %s is listed twice", i+1, t.Package, t.Name)
		}
		seen[t.Package+" "+t.Name] = true
		if len(list) == Most {
			return nil, fmt.Errorf("line %d: more than %d tests are listed", i+1, Most)
		}
		list = append(list, t)
	}
	return list, nil
}

// ByPackage groups the names of listed tests by their package.
func ByPackage(list []Test) map[string][]string {
	out := map[string][]string{}
	for _, t := range list {
		out[t.Package] = append(out[t.Package], t.Name)
	}
	return out
}
