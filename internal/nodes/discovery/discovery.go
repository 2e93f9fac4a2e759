// Package discovery keeps the node list up to date: it reads the whole list or watches for changes, over HTTP.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// List is the form of the node list, in the platform's words.
type List struct {
	Revision  int64      `json:"rev"`
	Full      bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// Endpoint is one entry of it.
type Endpoint struct {
	ID          string  `json:"uid"`
	Addr        string  `json:"endpoint"`
	ObjectAddr  string  `json:"object_endpoint,omitempty"` // where it differs
	Zone        string  `json:"az"`
	Model       string  `json:"model"`
	Shard       int     `json:"pod_group"`
	State       string  `json:"state"`
	Capacity    float64 `json:"capacity_hint"`
	StartedAtMS int64   `json:"boot_ms"`
}

var states = map[string]decision.EndpointState{
	"up": decision.Ready, "draining": decision.Draining, "removed": decision.Removed,
}

// zone numbers a zone by its name. The list may name more than the settings do, and those must differ from each other and
// from all that are named: work whose repeats one zone drops may go again in that zone only.
func zone(name string, zones []string) int {
	if i := slices.Index(zones, name); i >= 0 || name == "" {
		return max(i, 0)
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return len(zones) + int(h.Sum32())
}

// Nodes turns a list into the core's form. zones numbers the zones by their names.
func (l *List) Nodes(zones []string) ([]core.Node, error) {
	out := make([]core.Node, 0, len(l.Endpoints))
	for i, t := range l.Endpoints {
		state, ok := states[t.State]
		if !ok {
			return nil, fmt.Errorf("targets[%d].state: unknown state %q", i, t.State)
		}
		if t.ID == "" {
			return nil, fmt.Errorf("targets[%d].uid: missing", i)
		}
		if t.Addr == "" && state != decision.Removed {
			return nil, fmt.Errorf("targets[%d].endpoint: missing", i)
		}
		n := core.Node{ID: t.ID, Addr: t.Addr, ObjectAddr: t.ObjectAddr, Shard: t.Shard, State: state,
			Zone: zone(t.Zone, zones), StartedAt: t.StartedAtMS * 1000}
		if n.ObjectAddr == "" {
			n.ObjectAddr = n.Addr
		}
		out = append(out, n)
	}
	return out, nil
}

// DecisionEndpoints turns nodes into what the module's facade takes.
func DecisionEndpoints(nodes []core.Node) []decision.Endpoint {
	out := make([]decision.Endpoint, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, decision.Endpoint{Node: n.ID, Shard: n.Shard, Zone: n.Zone, State: n.State,
			StartedAt: clock.Duration(n.StartedAt), Capacity: n.Capacity})
	}
	return out
}

// Client talks to discovery.
type Client struct {
	mu    sync.Mutex
	addr  string
	at    string             // where it has asked last
	cut   context.CancelFunc // ends the watch at hand
	moved chan struct{}      // addr has changed; holds one

	zones        []string
	known        atomic.Int64 // rev, for other goroutines
	revision     int64
	fullList     fullListState
	fullListAt   time.Time // when a scheduled full list is read
	missingUntil time.Time // changes may be missing until then: the watch fell silent or the address changed, and nothing has come since
	lastCall     time.Time // when the last call began
	failures     int       // watches that ended since a list came
	grace        int64     // how much later than its wait an answer may come
	dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	http         *http.Client
	lim          *limits.Limits
	deliver      func(nodes []core.Node, full bool)
	notify       func(err error) // a watch has ended with err, or with nil a list has come
	facade       *dispatcher.Dispatcher
	log          *slog.Logger
}

// NoRevision is the version of a list that is not known. 0 is a version like any other.
const NoRevision int64 = -1

// New returns a client that keeps the table and the module up to date. rev is that of the list they know.
func New(addr string, rev int64, zones []string, table *core.EndpointTable, f *dispatcher.Dispatcher, lim *limits.Limits,
	log *slog.Logger) *Client {
	dialer := &net.Dialer{KeepAlive: -1}
	c := &Client{
		addr: addr, cut: func() {}, moved: make(chan struct{}, 1), zones: zones, revision: rev, grace: lim.WatchGracePeriod,
		dial: dialer.DialContext, facade: f, lim: lim, log: log,
	}
	c.http = &http.Client{
		Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true, DialContext: c.connect,
			IdleConnTimeout: clock.Duration(lim.NodeIdleTimeout)},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.known.Store(rev)
	c.notify = func(error) {}
	c.deliver = func(nodes []core.Node, full bool) {
		// The table goes first: what the module decides next is checked against it.
		table.Update(nodes, full)
		f.UpdateEndpoints(DecisionEndpoints(nodes), full)
	}
	return c
}

// connect opens a connection to discovery. It needs a timeout of its own: the transport goes on dialing for a call that
// has been given up, and a connection that never comes up would keep every later call waiting for its place.
func (c *Client) connect(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(2*c.lim.WatchGracePeriod))
	defer cancel()
	return c.dial(ctx, network, addr)
}

// OnEndpoints has lists go to f, in their order, in place of the table and the module. It is called before Run.
func (c *Client) OnEndpoints(f func(nodes []core.Node, full bool)) { c.deliver = f }

// OnResult has f called with nil for every list that comes and with its error for every watch that ends. Before Run.
func (c *Client) OnResult(f func(err error)) { c.notify = f }

// Revision is the version of the list that was delivered last; NoList where none was.
func (c *Client) Revision() int64 { return c.known.Load() }

// SetAddress turns to another address, also in the middle of a call: whoever moved discovery counts the broker as told soon
// after, whether it has asked there or not. The old list stays in force until the new one is there.
//
// All brokers of a fleet are told to move together, and each has to read the whole list anew. Those of a large one wait
// for a part of Limits.ListSpread first; the watch at the old address goes on meanwhile.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	if spread := c.lim.DiscoveryMoveJitter; spread > 0 {
		time.AfterFunc(clock.Duration(rand.Int64N(spread)), c.turn)
	} else {
		c.turnLocked()
	}
}

// turn ends the watch at hand, if it is at another address than it should be.
func (c *Client) turn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turnLocked()
}

func (c *Client) turnLocked() {
	if c.at == c.addr { // the old address has ended the watch before
		return
	}
	c.cut()
	select {
	case c.moved <- struct{}{}:
	default:
	}
}

// Run watches whenever the module wants it or the address has changed, until ctx is done. The module itself decides
// how long to wait after a failure, so a dead discovery is not hammered and the old list stays in force.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.facade.WatchRequested():
		case <-c.moved:
		}
		c.mu.Lock()
		on, cut := context.WithCancel(ctx)
		c.cut = cut
		if c.at != "" && c.at != c.addr { // versions of one discovery mean nothing to another
			c.fullList, c.missingUntil = fullListNow, time.Now().Add(clock.Duration(c.lim.NotificationDeadline))
			c.grace = c.lim.WatchGracePeriod // how slow the old address was says nothing of the new one
			c.http.CloseIdleConnections()
		}
		c.at = c.addr
		at := c.at
		c.mu.Unlock()
		err := c.watch(on, "http://"+at+"/catalog/members")
		moved := on.Err() != nil
		cut()
		if ctx.Err() != nil {
			return
		}
		if moved {
			c.log.Info("discovery: moved", "from", at)
			continue // to the note in c.moved
		}
		c.log.Warn("discovery: watch ended", "err", err)
		c.failures++
		c.notify(err)
		c.facade.EndpointWatchFailed(c.retryWithin(time.Now()).Microseconds())
	}
}

// The longest pauses between two calls while changes may be missing: after a first failure, and after further ones.
const (
	missingFirstRetry = 750 * time.Millisecond
	missingRetry      = 1500 * time.Millisecond
)

// retryWithin is the longest pause before the next call after one that failed. Whatever failed before, a change counts as
// told Limits.ListTold after discovery had it and could be reached. It could have been reached from the moment at which the
// last call began, so the next one, with the time for its answer, has to fit into what is left of that.
func (c *Client) retryWithin(now time.Time) time.Duration {
	within := clock.Duration(c.lim.NotificationDeadline-c.lim.WatchGracePeriod) - now.Sub(c.lastCall)
	if now.Before(c.missingUntil) {
		if c.failures <= 1 {
			within = min(within, missingFirstRetry)
		}
		within = min(within, missingRetry)
	}
	if c.lim.DiscoveryMaxBackoff > 0 {
		within = min(within, clock.Duration(c.lim.DiscoveryMaxBackoff))
	}
	return max(within, clock.Duration(c.lim.WatchMinInterval))
}

// watch asks again at once after each answer, so that the watch goes on, and returns the first error. Its first
// call reads the full list where none is known.
func (c *Client) watch(ctx context.Context, base string) error {
	stood := false
	for {
		asked := time.Now()
		rev := c.revision
		if c.fullList == fullListNow || c.fullList == fullListScheduled && asked.After(c.fullListAt) {
			rev = NoRevision
		}
		l, err := c.call(ctx, base, rev)
		c.scheduleFullList(err, rev, l != nil && l.Full)
		if err != nil && rev == NoRevision && c.revision != NoRevision && ctx.Err() == nil {
			continue // with what is new, at once: waiting would end the watch, and news go unheard meanwhile
		}
		if err == nil && l.Revision < c.revision {
			// Discovery has lost its history: only a whole list says what is left.
			c.log.Warn("discovery: version went back", "from", c.revision, "to", l.Revision)
			l, err = c.call(ctx, base, NoRevision)
		}
		if stood && errors.Is(err, context.DeadlineExceeded) {
			c.missingUntil = asked.Add(clock.Duration(c.lim.NotificationDeadline))
		}
		if c.adjustGrace(err); err != nil {
			return err
		}
		stood, c.failures, c.missingUntil = true, 0, time.Time{}
		nodes, err := l.Nodes(c.zones)
		if err != nil {
			return fmt.Errorf("node list %d: %w", l.Revision, err)
		}
		if l.Revision == c.revision && time.Since(asked) < clock.Duration(c.lim.WatchMinInterval) {
			// It brought no news and did not wait for any: asking on without a pause would bury discovery. The
			// pause is well within the time that a watch lasts between two calls.
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(clock.Duration(c.lim.WatchMinInterval)):
			}
		}
		c.revision = l.Revision
		c.deliver(nodes, l.Full)
		c.notify(nil)
		c.known.Store(l.Revision)
		if l.Full {
			c.log.Info("discovery: whole list read", "rev", l.Revision, "nodes", len(nodes))
		}
		for _, n := range nodes {
			c.log.Debug("discovery: node", "node", n.ID, "state", n.State, "addr", n.Addr, "rev", l.Revision)
		}
	}
}

// fullListState says whether the full list is still to be read, whatever version is known.
type fullListState uint8

const (
	fullListRead         fullListState = iota // nothing is outstanding
	fullListNow                               // it is read before all else
	fullListAfterChanges                      // once a call for changes has been answered
	fullListScheduled                         // from Client.fullListAt on
)

// scheduleFullList follows up a call. A discovery that cannot give full lists to a fleet that has just moved to it may
// still tell what is new, for a fraction of the work: most often it is the same service at another address, and then that is
// all there is to know. The full list follows when the rush is over.
func (c *Client) scheduleFullList(err error, rev int64, full bool) {
	switch {
	case err == nil && full:
		c.fullList = fullListRead
	case err != nil && c.fullList != fullListRead && rev == NoRevision && c.revision != NoRevision:
		c.fullList = fullListAfterChanges
	case err == nil && c.fullList == fullListAfterChanges:
		c.fullList = fullListScheduled
		c.fullListAt = time.Now().Add(clock.Duration(c.lim.WatchGracePeriod + rand.Int64N(fullListSpread*c.lim.DiscoveryMoveJitter+1)))
	}
}

// fullListSpread is how many times Limits.ListSpread the full lists are spread over that could not be had at once.
const fullListSpread = 6

// adjustGrace sets how long the next answer is waited for. A discovery that is slow to answer must not be asked in vain
// forever; but what a call that hangs should have told counts as told after Limits.ListTold, and a third of that is for
// asking again.
func (c *Client) adjustGrace(err error) {
	switch {
	case err == nil:
		c.grace = c.lim.WatchGracePeriod
	case errors.Is(err, context.DeadlineExceeded) && !time.Now().Before(c.missingUntil):
		c.grace = min(2*c.grace, max(c.lim.WatchGracePeriod, c.lim.NotificationDeadline*2/3))
	}
}

// call makes one call: for what is newer than rev, or with NoList for the whole list.
//
// Version 0 must not count as no list: discovery starts there, and a client that took it so read the whole list
// over and over, hundreds of times a second, until discovery answered all brokers with 503.
func (c *Client) call(ctx context.Context, base string, rev int64) (*List, error) {
	wait, q := int64(0), url.Values{}
	if rev != NoRevision {
		// Of many brokers that began together, or were all told of one change, none should stay in step with the rest.
		if wait = c.lim.WatchTimeout - rand.Int64N(c.lim.WatchTimeout/4+1); time.Now().Before(c.missingUntil) {
			wait = 0 // so that one that hangs as well is known by its grace
		}
		q.Set("after", strconv.FormatInt(rev, 10))
		q.Set("wait_ms", strconv.FormatInt(wait/1000, 10))
	}
	// A long wait leaves little of it; a call for the whole list has none, and may take all that a slow discovery needs.
	grace := min(c.grace, max(c.lim.WatchGracePeriod, c.lim.NotificationDeadline*2/3-wait))
	if most := c.lim.NotificationDeadline - c.lim.WatchGracePeriod/2; most > 0 { // a call that hangs leaves time to ask once more
		grace = min(grace, max(c.lim.WatchGracePeriod/2, most-wait))
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(wait+grace))
	defer cancel()
	at := base
	if len(q) > 0 {
		at += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return nil, err
	}
	c.lastCall = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d after %v", resp.StatusCode, time.Since(c.lastCall).Round(time.Millisecond))
	}
	return decode(resp.Body, c.lim)
}

// decode reads one answer within its bounds.
func decode(r io.Reader, lim *limits.Limits) (*List, error) {
	body, err := io.ReadAll(io.LimitReader(r, lim.MaxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("node list: %w", err)
	}
	if int64(len(body)) > lim.MaxListBytes {
		return nil, errors.New("node list: too long")
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, fmt.Errorf("node list: %w", err)
	}
	if len(l.Endpoints) > lim.MaxListEndpoints {
		return nil, fmt.Errorf("node list: %d entries, more than %d", len(l.Endpoints), lim.MaxListEndpoints)
	}
	return &l, nil
}
