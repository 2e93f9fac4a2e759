package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// StatusError reports that discovery answered with a status other than 200.
type StatusError struct {
	Status  int
	Elapsed time.Duration // from the start of the call to the response
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d after %v", e.Status, e.Elapsed.Round(time.Millisecond))
}

// poller makes single calls to discovery, one at a time.
type poller struct {
	limits     *limits.Limits
	http       *http.Client
	dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	grace      clock.Micros // how long after the end of the wait the response may arrive
	lastCallAt time.Time    // when the last call started
}

func newPoller(lim *limits.Limits) *poller {
	dialer := &net.Dialer{KeepAlive: -1}
	p := &poller{limits: lim, dial: dialer.DialContext, grace: lim.WatchGracePeriod}
	p.http = &http.Client{
		Transport: &http.Transport{
			MaxConnsPerHost:    1,
			DisableCompression: true,
			DialContext:        p.connect,
			IdleConnTimeout:    clock.Duration(lim.NodeIdleTimeout),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return p
}

// connect opens a connection to discovery. It has its own timeout: the transport keeps dialing for a call that was
// cancelled, and since it allows only one connection, a dial that hangs would block all later calls.
func (p *poller) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(2*p.limits.WatchGracePeriod))
	defer cancel()
	return p.dial(ctx, network, addr)
}

// poll requests the changes since a revision, or the full list if revision is NoRevision. If noWait is set the call
// does not wait for a change, so that a server that does not respond is noticed after the grace period.
func (p *poller) poll(ctx context.Context, url string, revision int64, noWait bool) (*List, error) {
	wait := clock.Micros(0)
	if revision != NoRevision {
		if !noWait {
			wait = p.drawWait()
		}
		url += "?" + changesQuery(revision, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(wait+p.graceAfter(wait)))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	p.lastCallAt = time.Now()
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: resp.StatusCode, Elapsed: time.Since(p.lastCallAt)}
	}
	return decode(resp.Body, p.limits)
}

func changesQuery(revision int64, wait clock.Micros) string {
	q := url.Values{}
	q.Set("after", strconv.FormatInt(revision, 10))
	q.Set("wait_ms", strconv.FormatInt(clock.Duration(wait).Milliseconds(), 10))
	return q.Encode()
}

// drawWait returns how long the next call waits for a change. The jitter desynchronizes brokers that started together
// or were notified of the same change.
func (p *poller) drawWait() clock.Micros {
	return p.limits.WatchTimeout - rand.N(p.limits.WatchTimeout/4+1)
}

// graceAfter returns how much longer than its wait a call may take. The wait and the grace together leave time for
// another call before the notification deadline; a call without a wait, such as one for the full list, may use all of
// the remaining time.
func (p *poller) graceAfter(wait clock.Micros) clock.Micros {
	base := p.limits.WatchGracePeriod
	grace := min(p.grace, max(base, p.limits.NotificationDeadline*2/3-wait))
	if latest := p.limits.NotificationDeadline - base/2; latest > 0 {
		grace = min(grace, max(base/2, latest-wait))
	}
	return grace
}

// adjustGrace updates the grace after a call: it doubles with each call that times out, up to two thirds of the
// notification deadline, so that the response of a slow discovery service eventually arrives. While changes may be
// missing the grace does not grow, because a call that hangs must end soon.
func (p *poller) adjustGrace(err error, changesMissing bool) {
	switch {
	case err == nil:
		p.resetGrace()
	case errors.Is(err, context.DeadlineExceeded) && !changesMissing:
		limit := max(p.limits.WatchGracePeriod, p.limits.NotificationDeadline*2/3)
		p.grace = min(2*p.grace, limit)
	}
}

func (p *poller) resetGrace() { p.grace = p.limits.WatchGracePeriod }

func (p *poller) closeIdleConnections() { p.http.CloseIdleConnections() }
