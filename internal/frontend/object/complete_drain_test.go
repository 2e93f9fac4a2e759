package object

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

// brokerFunc is a Broker.
type brokerFunc func(ctx context.Context, r core.Request[*objectstore.Request]) core.Response[*objectstore.Response]

func (f brokerFunc) Handle(ctx context.Context, r core.Request[*objectstore.Request]) core.Response[*objectstore.Response] {
	return f(ctx, r)
}

type (
	objectRequest  = core.Request[*objectstore.Request]
	objectResponse = core.Response[*objectstore.Response]
)

// hangingNode answers nothing until the request is cancelled.
func hangingNode(ctx context.Context, _ objectRequest) objectResponse {
	<-ctx.Done()
	return objectResponse{Status: core.Failure, DeadlineExceeded: true}
}

// nodeThatFailed has failed to answer the completion, and does not have the object.
func nodeThatFailed(_ context.Context, r objectRequest) objectResponse {
	if r.Work.Method == http.MethodPost {
		return objectResponse{Status: core.Failure}
	}
	return objectResponse{Value: &objectstore.Response{Status: http.StatusNotFound, Header: http.Header{}}}
}

// nodeThatRejectsReads has failed to answer the completion, and rejects the reads that follow.
func nodeThatRejectsReads(_ context.Context, r objectRequest) objectResponse {
	if r.Work.Method == http.MethodPost {
		return objectResponse{Status: core.Failure}
	}
	return objectResponse{Status: core.Rejection}
}

// pipeListener accepts connections within the process, so that a server can be tested on a fake clock.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// completionTest is a completion whose last byte is sent at a time, and a drain that begins at another one, both since the
// start of the test.
type completionTest struct {
	node       brokerFunc
	sentAt     time.Duration
	drainBegin time.Duration
	drainTime  time.Duration // from the beginning of the drain to its deadline
}

// run returns the status of the answer, its Retry-After and when it came, since the start of the test. It must be called in a
// bubble of synctest.
func (x completionTest) run(t *testing.T) (status int, retryAfter string, at time.Duration) {
	s := testServer(x.node)
	s.lim.ReadBackInterval = clock.FromDuration(100 * time.Millisecond)
	s.lim.DrainResponseTime = clock.FromDuration(x.drainTime)
	begun := time.Now()
	ln := newPipeListener()
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	c := ln.dial()
	go func() {
		const document = "<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>" + emptyMD5 +
			"</ETag></Part></CompleteMultipartUpload>"
		head := fmt.Sprintf("POST /bucket/key?uploadId=1-u HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n", len(document))
		_, _ = io.WriteString(c, head+document[:10]) // the answer shows whether it was received
		time.Sleep(x.sentAt)
		_, _ = io.WriteString(c, document[10:])
	}()
	drained := make(chan error, 1)
	go func() {
		time.Sleep(x.drainBegin)
		drained <- s.Drain(t.Context())
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	at = time.Since(begun)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = c.Close()
	if err := errors.Join(<-drained, <-served); err != nil {
		t.Error(err)
	}
	return resp.StatusCode, resp.Header.Get("Retry-After"), at
}

// Guards against a completion that is never answered, because its result is checked beyond the end of a drain, after which
// the process is killed.
func TestCompletionIsAnsweredByTheDrainDeadline(t *testing.T) {
	const drainBegin = 10 * time.Second
	for name, node := range map[string]brokerFunc{
		"hangs": hangingNode, "failed": nodeThatFailed, "rejects reads": nodeThatRejectsReads,
	} {
		for _, drainTime := range []time.Duration{20 * time.Millisecond, time.Second, 3550 * time.Millisecond} {
			for _, sentAt := range []time.Duration{drainBegin - time.Second, drainBegin, drainBegin + drainTime/2} {
				synctest.Test(t, func(t *testing.T) {
					status, retryAfter, at := completionTest{node, sentAt, drainBegin, drainTime}.run(t)
					if at > drainBegin+drainTime {
						t.Errorf("node %s, sent at %v: answered %v after the drain of %v began", name, sentAt, at-drainBegin, drainTime)
					}
					if status != http.StatusGatewayTimeout && status != http.StatusInternalServerError || retryAfter != "" {
						t.Errorf("node %s, sent at %v: status %d, Retry-After %q", name, sentAt, status, retryAfter)
					}
				})
			}
		}
	}
}

// A completion that comes in a drain still has time for its check: the object proves that the completion has run.
func TestCompletionInADrainIsConfirmedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const etag = `"59adb24ef3cdbe0297f05b395827453f-1"` // MD5 of the MD5 of nothing
		now := clock.New()
		node := func(ctx context.Context, r objectRequest) objectResponse {
			if r.Work.Method == http.MethodHead && ctx.Err() == nil {
				return objectResponse{Value: &objectstore.Response{Status: http.StatusOK, Header: http.Header{"Etag": {etag}}}}
			}
			ctx, cancel := context.WithTimeout(ctx, clock.Duration(r.Deadline-now.Now()))
			defer cancel()
			return hangingNode(ctx, r)
		}
		const drainBegin, drainTime = time.Second, 3550 * time.Millisecond
		status, _, at := completionTest{node, 2 * time.Second, drainBegin, drainTime}.run(t)
		if status != http.StatusOK || at >= drainBegin+drainTime {
			t.Errorf("status %d, %v after the drain of %v began, want 200 before its end", status, at-drainBegin, drainTime)
		}
	})
}
