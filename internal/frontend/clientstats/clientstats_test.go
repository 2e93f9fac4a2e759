package clientstats

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestReportLogsWhatHasChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		var c Counters
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.Report(ctx, time.Second, slog.New(slog.NewTextHandler(&out, nil)), func() []any { return []any{"conns", 7} })
		}()
		c.Count(ClosedStalled)
		c.Count(ClosedStalled)
		c.RecordUnread(1_500_000)
		c.RecordUnread(700_000)
		time.Sleep(1500 * time.Millisecond)
		c.Count(Delayed)
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 2 {
			t.Fatalf("got %d lines, want one for each interval with a change:\n%s", len(lines), out.String())
		}
		for i, want := range []string{"closed_stalled=2 longest_unread_ms=1500 conns=7", "delayed=1 conns=7"} {
			if !strings.HasSuffix(lines[i], want) {
				t.Errorf("line %d is %q, want it to end in %q", i, lines[i], want)
			}
		}
	})
}

func TestEveryEventHasAName(t *testing.T) {
	seen := map[string]bool{}
	for e := range eventCount {
		if e.String() == "" || seen[e.String()] {
			t.Errorf("event %d has the name %q", e, e)
		}
		seen[e.String()] = true
	}
}
