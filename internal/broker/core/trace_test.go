package core

import (
	"context"
	"testing"

	"poppyarch/internal/observability/record"
)

func TestRecordedResultFollowsTheResponse(t *testing.T) {
	connected := context.Background()
	disconnected, cancel := context.WithCancelCause(connected)
	cancel(ErrClientDisconnected)
	for _, x := range []struct {
		name             string
		ctx              context.Context
		status           Status
		deadlineExceeded bool
		want             record.Result
	}{
		{"success", connected, Success, false, record.Served},
		{"success for a client that has disconnected", disconnected, Success, false, record.Served},
		{"failure for a client that has disconnected", disconnected, Failure, true, record.ClientDisconnected},
		{"rejection", connected, Rejection, false, record.Rejected},
		{"rejection at the deadline", connected, Rejection, true, record.Rejected},
		{"failure", connected, Failure, false, record.Failed},
		{"failure at the deadline", connected, Failure, true, record.DeadlineExceeded},
	} {
		if got := recordedResult(x.ctx, x.status, x.deadlineExceeded); got != x.want {
			t.Errorf("%s: recorded as %d, want %d", x.name, got, x.want)
		}
	}
}

func TestNilTraceRecordsNothing(t *testing.T) {
	var tr *trace
	tr.addAttempt(testNode, 0, Served)
	if now := tr.now(); now != 0 {
		t.Errorf("time %d, want 0", now)
	}
}
