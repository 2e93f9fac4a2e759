package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// membersPath is the path of the node list.
const membersPath = "/catalog/members"

// Client keeps a broker's node list up to date.
type Client struct {
	address  addressSelector
	poller   *poller  // used by Run only
	progress progress // used by Run only

	revision   atomic.Int64 // of the last list delivered
	zones      []string
	limits     *limits.Limits
	dispatcher *dispatcher.Dispatcher
	log        *slog.Logger

	onEndpoints func(nodes []core.Node, full bool)
	onResult    func(err error)
}

// New returns a client that updates the table and the decision module. revision is the revision of the list that they
// already have, or NoRevision. zones are the names of the zones in the order of their numbers.
func New(addr string, revision int64, zones []string, table *core.EndpointTable, d *dispatcher.Dispatcher,
	lim *limits.Limits, log *slog.Logger) *Client {
	c := &Client{
		address:    newAddressSelector(addr),
		poller:     newPoller(lim),
		progress:   progress{limits: lim, revision: revision},
		zones:      zones,
		limits:     lim,
		dispatcher: d,
		log:        log,
		onResult:   func(error) {},
		onEndpoints: func(nodes []core.Node, full bool) {
			// The table is updated first because the module's next decisions are checked against it.
			table.Update(nodes, full)
			d.UpdateEndpoints(DecisionEndpoints(nodes), full)
		},
	}
	c.revision.Store(revision)
	return c
}

// OnEndpoints sets a function that is called with each list, in order, instead of updating the table and the module. It
// must be called before Run.
func (c *Client) OnEndpoints(f func(nodes []core.Node, full bool)) { c.onEndpoints = f }

// OnResult sets a function that is called with nil for each list that arrives and with the error of each watch that
// ends. It must be called before Run.
func (c *Client) OnResult(f func(err error)) { c.onResult = f }

// Revision returns the revision of the list that was delivered last, or NoRevision.
func (c *Client) Revision() int64 { return c.revision.Load() }

// SetAddress changes the address of discovery, even during a call. The current list stays in use until one from the new
// address has arrived. All brokers of a fleet change the address at the same time and each reads the full list, so to
// spread these reads the watch at the old address continues for a random part of Limits.DiscoveryMoveJitter.
func (c *Client) SetAddress(addr string) { c.address.set(addr, c.limits.DiscoveryMoveJitter) }

// Run starts a watch whenever the decision module requests it or the address has changed, until ctx is done. After a
// failure the current list stays in use, and the module chooses the backoff within the bound that it is given.
func (c *Client) Run(ctx context.Context) {
	defer c.poller.closeIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.dispatcher.WatchRequested():
		case <-c.address.changed:
		}
		target := c.address.beginWatch(ctx)
		if target.changed {
			c.progress.startOver(time.Now())
			c.poller.resetGrace() // the latency of the old address says nothing about the new one
			c.poller.closeIdleConnections()
		}
		err := c.watch(target.ctx, "http://"+target.addr+membersPath)
		addressChanged := target.ctx.Err() != nil
		target.cancel()
		if ctx.Err() != nil {
			return
		}
		if addressChanged {
			c.log.Info("discovery: address changed, watch at the old one ended", "from", target.addr)
			continue // address.changed starts the next watch
		}
		c.watchFailed(err)
	}
}

// watchFailed reports the end of a watch and has the module schedule the next.
func (c *Client) watchFailed(err error) {
	c.log.Warn("discovery: watch failed, retrying after a backoff", "err", err)
	c.progress.failures++
	c.onResult(err)
	within := c.progress.retryWithin(time.Now(), c.poller.lastCallAt)
	c.dispatcher.EndpointWatchFailed(clock.FromDuration(within))
}

// watch polls again immediately after each response and returns the first error.
func (c *Client) watch(ctx context.Context, url string) error {
	answered := false // this watch has received a response
	for {
		startedAt := time.Now()
		revision := c.progress.nextRevision(startedAt)
		list, err := c.poll(ctx, url, revision)
		c.progress.scheduleFullList(err, revision, list != nil && list.Full)
		if err != nil && c.progress.isExtraFullList(revision) && ctx.Err() == nil {
			continue // request changes immediately; ending the watch would delay them by a backoff
		}
		if err == nil && list.Revision < c.progress.revision {
			// Discovery has lost its history; only a full list shows which nodes were removed.
			c.log.Warn("discovery: list revision went back, reading the full list", "from", c.progress.revision, "to", list.Revision)
			list, err = c.poll(ctx, url, NoRevision)
		}
		if answered && errors.Is(err, context.DeadlineExceeded) {
			c.progress.markMissing(startedAt)
		}
		c.poller.adjustGrace(err, c.progress.changesMissing(time.Now()))
		if err != nil {
			return err
		}
		answered = true
		c.progress.listArrived()
		if err := c.accept(ctx, list, startedAt); err != nil {
			return err
		}
	}
}

func (c *Client) poll(ctx context.Context, url string, revision int64) (*List, error) {
	return c.poller.poll(ctx, url, revision, c.progress.changesMissing(time.Now()))
}

// accept validates a list and delivers it. If discovery answered immediately although it had no changes, accept pauses
// first, so that polling does not become a busy loop.
func (c *Client) accept(ctx context.Context, list *List, startedAt time.Time) error {
	nodes, err := list.Nodes(c.zones)
	if err != nil {
		return fmt.Errorf("node list, revision %d: %w", list.Revision, err)
	}
	pause := clock.Duration(c.limits.WatchMinInterval)
	if list.Revision == c.progress.revision && time.Since(startedAt) < pause {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	c.progress.revision = list.Revision
	c.onEndpoints(nodes, list.Full)
	c.onResult(nil)
	c.revision.Store(list.Revision)
	if list.Full {
		c.log.Info("discovery: full list read", "rev", list.Revision, "nodes", len(nodes))
	}
	for _, n := range nodes {
		c.log.Debug("discovery: node updated", "node", n.ID, "state", n.State, "addr", n.Addr, "rev", list.Revision)
	}
	return nil
}
