// Package pool keeps connections to storage nodes. A connection carries one attempt at a time, because an attempt is
// aborted by closing its connection. Nothing here sends anything a second time.
package pool

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

// ErrExhausted reports that all connections that the pool may have are in use.
var ErrExhausted = errors.New("pool: all node connections in use")

// Pool holds the idle connections to all nodes, and limits the number of all connections.
type Pool struct {
	lim      *limits.Limits
	maxConns int
	clock    *clock.Clock
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	freed    chan struct{} // a connection may be available again; holds one

	mu            sync.Mutex
	idle          map[string][]*Conn      // by address, the last used one at the end
	lastTimeoutAt map[string]clock.Micros // by address: when the last attempt was sent that got no response
	open          int                     // connections that are idle, in use or being dialled
}

// New returns an empty pool for at most maxConns connections.
func New(lim *limits.Limits, maxConns int, c *clock.Clock) *Pool {
	return &Pool{
		lim:           lim,
		maxConns:      maxConns,
		clock:         c,
		dial:          dialer(),
		freed:         make(chan struct{}, 1),
		idle:          map[string][]*Conn{},
		lastTimeoutAt: map[string]clock.Micros{},
	}
}

// Put returns a connection whose response was read to its end.
func (p *Pool) Put(c *Conn) {
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.Discard(c) // buffered input would be taken for the next response
		return
	}
	c.lastResponse = p.clock.Now()
	if surplus := p.addIdle(c); surplus != nil {
		p.Discard(surplus)
		return
	}
	p.signalFreed() // the idle connection can be closed in favour of another
}

// addIdle adds an idle connection and returns one that exceeds the node's limit, if any.
func (p *Pool) addIdle(c *Conn) (surplus *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	if idle := p.idle[c.addr]; len(idle) > p.lim.MaxIdleConnsPerNode {
		surplus = idle[0]
		p.idle[c.addr] = idle[1:]
	}
	return surplus
}

// Discard closes a connection, which aborts its attempt.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close() // it may be broken
	p.releaseSlot()
}

// RecordTimeout records that an attempt sent to a node at sentAt got no response. Connections without a response since
// may be broken, as where the machine is gone. An attempt whose connection broke is no such sign: the node's other
// connections would have been closed, too.
func (p *Pool) RecordTimeout(addr string, sentAt clock.Micros) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTimeoutAt[addr] = max(p.lastTimeoutAt[addr], sentAt)
}

// Run closes expired connections until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	interval := max(p.lim.NodeIdleTimeout/8, 1000)
	t := time.NewTicker(clock.Duration(interval))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.CloseExpired()
		}
	}
}

// CloseExpired closes connections that have been idle for longer than Limits.NodeIdleTimeout. The nodes close idle
// connections themselves after a longer time, which no request must cross.
func (p *Pool) CloseExpired() {
	for _, c := range p.removeExpired(p.clock.Now()) {
		p.Discard(c)
	}
}

func (p *Pool) removeExpired(now clock.Micros) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*Conn
	for addr, idle := range p.idle {
		n := 0
		for n < len(idle) && now-idle[n].lastResponse > p.lim.NodeIdleTimeout {
			n++
		}
		expired = append(expired, idle[:n]...)
		if n == len(idle) {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = idle[n:]
		}
	}
	for addr, at := range p.lastTimeoutAt {
		if now-at > p.lim.NodeIdleTimeout {
			delete(p.lastTimeoutAt, addr)
		}
	}
	return expired
}

// takeIdle removes and returns the last used idle connection to a node; nil if there is no suitable one.
func (p *Pool) takeIdle(addr string, fresh bool) *Conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	// Input that follows a response late would be taken for the next response, were the connection reused at once.
	i := len(idle) - 1
	for i >= 0 && now-idle[i].lastResponse < p.lim.NodeReuseDelay {
		i--
	}
	if i < 0 {
		return nil
	}
	c := idle[i]
	age := now - c.lastResponse
	if age > p.lim.NodeIdleTimeout {
		return nil // as are all before it, which CloseExpired closes
	}
	if fresh && (age > p.lim.NodeReuseWindow || c.lastResponse <= p.lastTimeoutAt[addr]) {
		return nil
	}
	p.idle[addr] = slices.Delete(idle, i, i+1)
	return c
}

// reserveSlot reserves the place of a new connection. At the limit the longest idle connection is closed for it; it
// returns false if there is none.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxConns {
		p.open++
		if p.open < p.maxConns {
			p.signalFreed() // two places may have been freed with one signal
		}
		return true
	}
	addr, ok := p.longestIdle()
	if !ok {
		return false
	}
	_ = p.idle[addr][0].Close() // its place goes to the new one
	p.idle[addr] = p.idle[addr][1:]
	p.signalFreed() // others may be idle, too
	return true
}

// longestIdle is the node with the longest idle connection. The caller holds mu.
func (p *Pool) longestIdle() (addr string, ok bool) {
	for a, idle := range p.idle {
		if len(idle) > 0 && (!ok || idle[0].lastResponse < p.idle[addr][0].lastResponse) {
			addr = a
			ok = true
		}
	}
	return addr, ok
}

// releaseSlot frees the place of a connection that is closed.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.signalFreed()
}

// signalFreed wakes one that waits for a connection.
func (p *Pool) signalFreed() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}
