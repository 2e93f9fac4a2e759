// Package pool keeps connections to storage nodes. A connection carries one attempt at a time, because an attempt is
// aborted by closing its connection. The package never resends anything.
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

// ErrExhausted reports that the pool has reached its connection limit and no connection is idle.
var ErrExhausted = errors.New("pool: all node connections in use")

// Pool holds the idle connections to all nodes and limits the total number of connections.
type Pool struct {
	lim      *limits.Limits
	maxConns int
	clock    *clock.Clock
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	freed    chan struct{} // signals that a connection may be available; buffer of one

	mu            sync.Mutex
	idle          map[string][]*Conn      // by address, the most recently used last
	lastTimeoutAt map[string]clock.Micros // by address: the latest sending time of an attempt that timed out
	open          int                     // number of connections that are idle, in use or being dialled
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

// Put returns a connection to the pool after its response was read completely.
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
	p.signalFreed() // a waiting attempt may reuse the connection or close it to dial another one
}

// addIdle adds an idle connection. If the node then has too many, it removes and returns the least recently used one.
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
	_ = c.Close() // the connection may be broken
	p.releaseSlot()
}

// RecordTimeout records that an attempt sent to a node at sentAt timed out. Connections to the node that have received
// no response since then may be broken, for example because the machine has crashed. An attempt whose connection broke
// does not indicate this: if the node's other connections were affected, they would have been closed, too.
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

// CloseExpired closes connections that have been idle for longer than Limits.NodeIdleTimeout. Nodes close idle
// connections themselves after a longer time; closing them earlier keeps a request from crossing the node's close.
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

// takeIdle removes and returns the most recently used idle connection to a node, or nil if none is suitable. See
// Acquire for fresh.
func (p *Pool) takeIdle(addr string, fresh bool) *Conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	// A connection is not reused right after its response: late input would be taken for the next response.
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
		return nil // and so have all before it; CloseExpired closes them
	}
	if fresh && (age > p.lim.NodeReuseWindow || c.lastResponse <= p.lastTimeoutAt[addr]) {
		return nil
	}
	p.idle[addr] = slices.Delete(idle, i, i+1)
	return c
}

// reserveSlot reserves a slot for a new connection. At the connection limit it closes the connection that has been idle
// for longest and reuses its slot; it returns false if no connection is idle.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxConns {
		p.open++
		if p.open < p.maxConns {
			p.signalFreed() // two slots may have been freed with one signal
		}
		return true
	}
	addr, ok := p.longestIdle()
	if !ok {
		return false
	}
	_ = p.idle[addr][0].Close() // its slot is reused for the new connection
	p.idle[addr] = p.idle[addr][1:]
	p.signalFreed() // more connections may be idle
	return true
}

// longestIdle returns the address of the node whose connection has been idle for longest. The caller holds mu.
func (p *Pool) longestIdle() (addr string, ok bool) {
	for a, idle := range p.idle {
		if len(idle) > 0 && (!ok || idle[0].lastResponse < p.idle[addr][0].lastResponse) {
			addr = a
			ok = true
		}
	}
	return addr, ok
}

// releaseSlot frees the slot of a closed connection.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.signalFreed()
}

// signalFreed wakes one goroutine that waits for a connection.
func (p *Pool) signalFreed() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}
