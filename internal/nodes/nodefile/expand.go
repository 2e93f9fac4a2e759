package nodefile

import (
	"fmt"
	"strconv"
	"strings"
)

// maxRange bounds how many names one range may stand for.
const maxRange = 100_000

// expand returns the texts that a range such as node-[01:20] stands for, with the width of its first end. A text without a
// range stands for itself.
func expand(s string) ([]string, error) {
	open := strings.IndexByte(s, '[')
	if open < 0 {
		return []string{s}, nil
	}
	end := strings.IndexByte(s[open:], ']')
	if end < 0 {
		return nil, fmt.Errorf("%q: a range has no end", s)
	}
	end += open
	from, to, ok := strings.Cut(s[open+1:end], ":")
	a, err1 := strconv.Atoi(from)
	z, err2 := strconv.Atoi(to)
	if !ok || err1 != nil || err2 != nil || a < 0 || z < a || z-a >= maxRange {
		return nil, fmt.Errorf("%q: a range is [FROM:TO], of up to %d", s, maxRange)
	}
	rest, err := expand(s[end+1:])
	if err != nil {
		return nil, err
	}
	if len(rest) > 1 {
		return nil, fmt.Errorf("%q: one range at most", s)
	}
	out := make([]string, 0, z-a+1)
	for n := a; n <= z; n++ {
		num := strconv.Itoa(n)
		if from[0] == '0' && len(num) < len(from) {
			num = strings.Repeat("0", len(from)-len(num)) + num
		}
		out = append(out, s[:open]+num+rest[0])
	}
	return out, nil
}

// spread returns the setting of the n-th of several nodes: the n-th of a range, or one text for all.
func spread(f field, n, of int) (field, error) {
	list, err := expand(f.text)
	if err != nil {
		return f, err
	}
	if len(list) == 1 {
		f.text = list[0]
		return f, nil
	}
	if len(list) != of {
		return f, fmt.Errorf("%q: %d of a range for %d nodes", f.text, len(list), of)
	}
	f.text = list[n]
	return f, nil
}
