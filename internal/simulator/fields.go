package simulator

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxQuoted is how many bytes of the input an error quotes.
const maxQuoted = 40

// field is one name=value pair.
type field struct {
	name  string
	value string
}

// fields are the pairs of one line. The first error is kept in err; methods that read values return zero values
// after it.
type fields struct {
	text   string // the line without its message
	parsed []field
	err    error
}

// parse splits the line at single spaces.
func (f *fields) parse() { f.parseWithText("") }

// parseWithText is parse for a line in which the value of the field textName runs to the end.
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

// truncate returns the start of s for an error.
func truncate(s string) string { return s[:min(len(s), maxQuoted)] }

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// str returns the value of a field, empty if it is absent.
func (f *fields) str(name string) string {
	for i := range f.parsed {
		if f.parsed[i].name == name {
			return f.parsed[i].value
		}
	}
	return ""
}

// int returns a whole number, 0 if the field is absent.
func (f *fields) int(name string) int64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%s=%q is not a whole number", name, truncate(s)))
	}
	return v
}

// uint returns a whole number from 0 on, 0 if the field is absent.
func (f *fields) uint(name string) uint64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%s=%q is not a number from 0 on", name, truncate(s)))
	}
	return v
}

// float returns a finite number, 0 if the field is absent.
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
