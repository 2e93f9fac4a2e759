package object

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/timing/pacing"
)

const healthRequest = "GET " + healthPath + " HTTP/1.1\r\nHost: b\r\n\r\n"

// classDeadline is that of the classes in testConfig.
const classDeadline = 25 * time.Second

// Guards against requests that are given more time than their clients wait, because their deadline counts from when they are
// handled and not from when they have arrived. Each case delays the request for another reason.
func TestDeadlineCountsFromTheArrivalOfARequestThatIsReadLate(t *testing.T) {
	const held = 1500 * time.Millisecond // how long the request waits, at least
	for name, x := range map[string]struct {
		maxConns int
		hold     func(h *drainHarness)
	}{
		"client in debt for free answers": {8, func(h *drainHarness) {
			c := h.dial()
			c.send(strings.Repeat(healthRequest, 2+int(held/pacing.MaxWait)) + secondRequest)
		}},
		"behind an earlier request": {8, func(h *drainHarness) {
			release := h.broker.hold("/art/first")
			c := h.dial()
			c.send(firstRequest + secondRequest)
			<-h.broker.received
			<-time.After(held)
			close(release)
		}},
		"no connection free": {1, func(h *drainHarness) {
			release := h.broker.hold("/art/first")
			busy := h.dial()
			busy.send(firstRequest)
			<-h.broker.received
			next := h.dial()
			next.send(secondRequest)
			<-time.After(held)
			close(release)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPacedHarness(t, x.maxConns, pacing.NewLimiter(1, 1))
			sentAt := h.server.clock.Now()
			x.hold(h)
			for target := <-h.broker.received; target != "/art/second"; {
				target = <-h.broker.received
			}
			if handled := h.server.clock.Now() - sentAt; handled < clock.FromDuration(held) {
				t.Fatalf("the request was handled after %d us, so that this tests nothing", handled)
			}
			eventually(t, "the request's deadline is known", func() bool { return h.broker.deadline("/art/second") != 0 })
			beyond := h.broker.deadline("/art/second") - sentAt - clock.FromDuration(classDeadline)
			if beyond >= clock.FromDuration(held)/2 {
				t.Errorf("the request has %d us more than its client gave it", beyond)
			}
		})
	}
}

// Guards against attempts for clients that have given up: a request whose time has passed before it is handled is rejected.
func TestRequestThatIsReadAfterItsDeadlineIsRejected(t *testing.T) {
	h := newDrainHarness(t, 8)
	release := h.broker.hold("/art/first")
	c := h.dial()
	c.send(firstRequest + strings.Replace(secondRequest, "Host: b", "Host: b\r\nX-Timeout-Ms: 1", 1))
	<-h.broker.received
	<-time.After(10 * time.Millisecond)
	close(release)
	c.expectResponse("/art/first")
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v, want 503 with Retry-After", resp, err)
	}
	if n := h.server.stats.Get(clientstats.RejectedExpired); n != 1 || len(h.broker.received) > 0 {
		t.Errorf("%d requests are counted as expired, %d reached the broker, want 1 and 0", n, len(h.broker.received))
	}
}
