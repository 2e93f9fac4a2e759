package objectstore

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"poppyarch/internal/broker/core"
)

func TestReadUpToReportsWhetherTheBodyIsComplete(t *testing.T) {
	for _, x := range []struct {
		name     string
		buffered string
		body     string
		want     string
		complete bool
	}{
		{"shorter than the limit", "", "abc", "abc", true},
		{"as long as the limit", "", "abcd", "abcd", true},
		{"longer than the limit", "", "abcdef", "abcde", false},
		{"continued", "ab", "cd", "abcd", true},
		{"continued at the limit", "abcd", "", "abcd", true},
		{"continued beyond the limit", "abcde", "fg", "abcdef", false},
	} {
		got, complete, err := readUpTo(iotest.OneByteReader(strings.NewReader(x.body)), []byte(x.buffered), 4)
		if string(got) != x.want || complete != x.complete || err != nil {
			t.Errorf("%s: read %q, complete %v, error %v, want %q, %v", x.name, got, complete, err, x.want, x.complete)
		}
	}
	broken := errors.New("broken")
	if _, _, err := readUpTo(iotest.ErrReader(broken), nil, 4); !errors.Is(err, broken) {
		t.Errorf("got error %v, want %v", err, broken)
	}
}

func TestOutcomeOfStatus(t *testing.T) {
	for _, x := range []struct {
		status        int
		notIdempotent bool
		want          core.Outcome
	}{
		{200, false, core.Served},
		{404, true, core.Served},
		{501, false, core.Served},
		{500, false, core.NodeError},
		{503, false, core.Rejected},
		{429, false, core.Rejected},
		{503, true, core.NodeError},
	} {
		if got := outcomeOfStatus(x.status, x.notIdempotent); got != x.want {
			t.Errorf("status %d, not idempotent %v: outcome %d, want %d", x.status, x.notIdempotent, got, x.want)
		}
	}
}
