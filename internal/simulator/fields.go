package simulator

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxQuoted is the maximum number of input bytes that an error quotes.
const maxQuoted = 40

// field is one name=value pair.
type field struct {
	name  string
	value string
}

// fields holds the name=value pairs of one line. err is the first error of parsing the line or one of its
// values; values read after an error must not be used.
type fields struct {
	text   string // the line without the message name
	parsed []field
	err    error
}

// parse splits the line into its fields, which are separated by single spaces.
func (f *fields) parse() { f.parseWithText("") }

// parseWithText is like parse, but the value of the field textName extends to the end of the line and may contain
// spaces.
func (f *fields) parseWithText(textName string) {
	for rest := f.text; rest != ""; {
		name, after, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, " ") {
			f.fail(fmt.Errorf("malformed field near %q", truncate(rest)))
			return
		}
		value := after
		rest = ""
		if name != textName {
			value, rest, _ = strings.Cut(after, " ")
		}
		f.parsed = append(f.parsed, field{name, value})
	}
}

// truncate returns the beginning of s, for quoting in an error.
func truncate(s string) string { return s[:min(len(s), maxQuoted)] }

// fail records err, unless an earlier error is recorded.
func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// str returns the value of a field, or the empty string if the field is absent.
func (f *fields) str(name string) string {
	for i := range f.parsed {
		if f.parsed[i].name == name {
			return f.parsed[i].value
		}
	}
	return ""
}

// int returns the value of an integer field, or 0 if the field is absent.
func (f *fields) int(name string) int64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%s=%q is not an integer", name, truncate(s)))
	}
	return v
}

// uint returns the value of a non-negative integer field, or 0 if the field is absent.
func (f *fields) uint(name string) uint64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%s=%q is not a non-negative integer", name, truncate(s)))
	}
	return v
}

// float returns the value of a field that holds a finite number, or 0 if the field is absent.
func (f *fields) float(name string) float64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(fmt.Errorf("%s=%q is not a number", name, truncate(s)))
		return 0
	}
	return v
}
