package block

import (
	"context"
	"sync"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/pacing"
)

// submission is a request of one connection that waits for its turn.
type submission struct {
	request request
	reply   *reply
}

// submissions passes the requests of one connection to the broker in the order of their commands, at most
// Limits.MaxPipeline at a time. The others wait here, so that the connection is read on: the end of the connection is
// noticed only once all input before it has been read.
type submissions struct {
	mu      sync.Mutex
	active  int // number of submitted requests without a response
	waiting []submission
	done    sync.WaitGroup // counts the submitted requests
}

// submit passes a request to the broker, or lets it wait for its turn.
func (c *conn) submit(ctx context.Context, sub submission) {
	q := &c.submissions
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.active >= c.server.lim.MaxPipeline {
		q.waiting = append(q.waiting, sub)
		return
	}
	c.begin(ctx, sub)
}

// begin passes a request to the broker. The caller holds the lock of submissions, which keeps the order of the commands.
func (c *conn) begin(ctx context.Context, sub submission) {
	c.submissions.active++
	pending := c.server.broker.Submit(sub.request)
	c.submissions.done.Go(func() {
		c.finish(sub.reply, pending.Wait(ctx))
		c.beginNext(ctx)
	})
}

// beginNext ends one request and passes the next waiting one to the broker. Those whose client has left are answered
// without that.
func (c *conn) beginNext(ctx context.Context) {
	q := &c.submissions
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active--
	for len(q.waiting) > 0 && q.active < c.server.lim.MaxPipeline {
		sub := q.waiting[0]
		q.waiting[0] = submission{}
		q.waiting = q.waiting[1:]
		if ctx.Err() == nil {
			c.begin(ctx, sub)
			continue
		}
		c.server.countEvent(c, clientstats.ClientLeft, sub.reply.requestID)
		c.finish(sub.reply, core.Response[[]byte]{Status: core.Rejection, RetryAfter: c.server.lim.BusyRetryAfter})
	}
}

// finish sets the reply to a request.
func (c *conn) finish(r *reply, resp core.Response[[]byte]) {
	r.keepID = resp.MayHaveRun && !r.repeatable
	if resp.Status == core.Rejection {
		c.pace.CountFreeAnswer(c.server.clock.Now(), pacing.Rejection, 0)
	}
	r.encoded, r.value = encodeResponse(resp)
	c.addBytes(r, int64(len(r.encoded)+len(r.value)))
	close(r.ready)
}

// awaitSubmissions waits until every request has its response.
func (c *conn) awaitSubmissions() { c.submissions.done.Wait() }
