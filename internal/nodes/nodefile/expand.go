package nodefile

import (
	"fmt"
	"strconv"
	"strings"
)

// maxRangeSize is the maximum number of values of a range.
const maxRangeSize = 100_000

// expand returns the texts denoted by a range such as node-[01:20]. Numbers are padded to the width of the range's
// start if that has a leading zero. A text without a range is returned as it is.
func expand(s string) ([]string, error) {
	open := strings.IndexByte(s, '[')
	if open < 0 {
		return []string{s}, nil
	}
	end := strings.IndexByte(s[open:], ']')
	if end < 0 {
		return nil, fmt.Errorf("%q: range has no closing bracket", s)
	}
	end += open
	from, to, ok := strings.Cut(s[open+1:end], ":")
	first, err1 := strconv.Atoi(from)
	last, err2 := strconv.Atoi(to)
	if !ok || err1 != nil || err2 != nil || first < 0 || last < first || last-first >= maxRangeSize {
		return nil, fmt.Errorf("%q: a range must be [FROM:TO] with at most %d values", s, maxRangeSize)
	}
	rest, err := expand(s[end+1:])
	if err != nil {
		return nil, err
	}
	if len(rest) > 1 {
		return nil, fmt.Errorf("%q: more than one range", s)
	}
	out := make([]string, 0, last-first+1)
	for n := first; n <= last; n++ {
		num := strconv.Itoa(n)
		if from[0] == '0' && len(num) < len(from) {
			num = strings.Repeat("0", len(from)-len(num)) + num
		}
		out = append(out, s[:open]+num+rest[0])
	}
	return out, nil
}

// settingAt returns the setting of one of count nodes: the value at index of a range, or the same text for all nodes.
func settingAt(f setting, index, count int) (setting, error) {
	list, err := expand(f.text)
	if err != nil {
		return f, err
	}
	if len(list) == 1 {
		f.text = list[0]
		return f, nil
	}
	if len(list) != count {
		return f, fmt.Errorf("%q: range of %d values for %d nodes", f.text, len(list), count)
	}
	f.text = list[index]
	return f, nil
}
