// Package pool keeps connections to storage nodes. A connection carries one attempt at a time, because giving an
// attempt up closes its connection, and nothing here ever sends anything a second time.
package pool

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// ErrExhausted says that every descriptor set aside for nodes is in use.
var ErrExhausted = errors.New("pool: no descriptor left for another node connection")

// Conn is one connection to a node.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	in     *bounded
	addr   string
	used   int64 // when its last answer came
}

// SetReadLimit bounds how many more bytes are read from the peer; -1 lifts the bound.
func (c *Conn) SetReadLimit(n int64) { c.in.left = n }

// errBound says that a peer sent more than was allowed.
var errBound = errors.New("pool: peer sent too much")

// bounded reads from a connection within a bound.
type bounded struct {
	net.Conn
	left int64 // negative: no bound
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.Conn.Read(p)
	}
	if b.left == 0 {
		return 0, errBound
	}
	n, err := b.Conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// Pool holds the idle connections of all nodes.
type Pool struct {
	lim   *limits.Limits
	max   int // connections
	clock *clock.Clock
	dial  func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*Conn // by address, the last used at the end
	quiet map[string]int64   // by address: when the last attempt there was sent that got no answer
	open  int                // idle, lent and dialling
	freed chan struct{}      // a descriptor may be had again; holds one
}

// New returns an empty pool for at most max connections.
func New(lim *limits.Limits, max int, c *clock.Clock) *Pool {
	d := &net.Dialer{KeepAlive: -1} // a silent machine answers no keep-alive either; attempts have their own time
	return &Pool{lim: lim, max: max, clock: c, dial: d.DialContext, idle: map[string][]*Conn{}, quiet: map[string]int64{},
		freed: make(chan struct{}, 1)}
}

// Get lends a connection: an idle one that still stands, or else a new one. fresh asks for one that is surely
// not left over from before the node fell silent, as work needs that must not run twice: written to a stale
// connection it would end as a reset, after which nobody knows whether it ran.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (c *Conn, err error) {
	for {
		c := p.take(addr, fresh)
		if c == nil {
			break
		}
		if socket.Peek(c.Conn) == socket.Empty { // neither closed by the node nor spoilt by what nobody asked for
			return c, nil
		}
		p.Discard(c)
	}
	if !p.reserve() {
		return nil, ErrExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(p.lim.ConnectTimeout))
	defer cancel()
	conn, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.release()
		return nil, err
	}
	in := &bounded{Conn: conn, left: -1}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(in, 4096), in: in, addr: addr}, nil
}

// wait is Get, but where every descriptor is in use it waits for one, as long as a connection may take to come up. There
// may be far fewer than nodes, and an attempt gives its own back within a node's answer. Refusing at once turned four in
// five away of a thousand requests for as many nodes.
func (p *Pool) wait(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	c, err := p.Get(ctx, addr, fresh)
	if !errors.Is(err, ErrExhausted) {
		return c, err
	}
	enough := time.NewTimer(clock.Duration(p.lim.ConnectTimeout)) // of waiting; the dialling has its own time
	defer enough.Stop()
	for errors.Is(err, ErrExhausted) {
		select {
		case <-p.freed:
			c, err = p.Get(ctx, addr, fresh)
		case <-enough.C:
			return nil, ErrExhausted
		case <-ctx.Done():
			return nil, ErrExhausted
		}
	}
	return c, err
}

// free tells one that waits for a descriptor.
func (p *Pool) free() {
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// Acquire gets a connection for one attempt, whose deadline becomes the connection's, or names the outcome where there
// is none. open is asked once the connection is up: its node may have begun to drain meanwhile, and nothing new may
// go there. Nothing has been written in any case.
func (p *Pool) Acquire(ctx context.Context, addr string, fresh bool, deadline int64, open func() bool) (*Conn, core.Outcome) {
	left := deadline - p.clock.Now()
	if ctx.Err() != nil || left <= 0 {
		return nil, core.NotAttempted
	}
	dialling, cancel := context.WithTimeout(ctx, clock.Duration(left))
	defer cancel()
	c, err := p.wait(dialling, addr, fresh)
	if err != nil {
		if errors.Is(err, ErrExhausted) || ctx.Err() != nil {
			return nil, core.NotAttempted // tells nothing of the node
		}
		return nil, core.ConnectFailed
	}
	if left = deadline - p.clock.Now(); !open() || left <= 0 {
		p.Put(c)
		return nil, core.NotAttempted
	}
	c.SetDeadline(time.Now().Add(clock.Duration(left)))
	return c, core.Served
}

// InterruptOnDone ends the attempt on c when ctx is done, as when its client leaves: the connection's time is up at once.
// stop ends that and reports whether it did so in time. Call it after Lend, whose deadline it must not precede.
func (c *Conn) InterruptOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
}

// take removes an idle connection, the last used first.
func (p *Pool) take(addr string, fresh bool) *Conn {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	// What comes behind an answer would be taken for the next one, were the connection lent again before it is seen.
	at := len(list) - 1
	for at >= 0 && now-list[at].used < p.lim.NodeReuseDelay {
		at--
	}
	if at < 0 {
		return nil
	}
	c := list[at]
	if now-c.used > p.lim.NodeIdleTimeout {
		return nil // all before it are older; Sweep closes them
	}
	if fresh && (now-c.used > p.lim.NodeReuseWindow || c.used <= p.quiet[addr]) {
		return nil
	}
	p.idle[addr] = slices.Delete(list, at, at+1)
	return c
}

// reserve counts a descriptor, at the cost of the longest idle connection where none is left.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.max {
		p.open++
		if p.open < p.max {
			p.free() // two may have come free with one note
		}
		return true
	}
	var oldest string
	for addr, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].used < p.idle[oldest][0].used) {
			oldest = addr
		}
	}
	if oldest == "" {
		return false
	}
	p.idle[oldest][0].Close() // its place goes to the new one
	p.idle[oldest] = p.idle[oldest][1:]
	p.free() // more may be idle
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.free()
}

// Put gives back a connection whose answer was read to its end.
func (p *Pool) Put(c *Conn) {
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.Discard(c) // bytes that nobody asked for would be taken for the next answer
		return
	}
	c.used = p.clock.Now()
	p.mu.Lock()
	list := append(p.idle[c.addr], c)
	var surplus *Conn
	if len(list) > p.lim.MaxIdleConnsPerNode {
		surplus, list = list[0], list[1:]
	}
	p.idle[c.addr] = list
	p.mu.Unlock()
	if surplus != nil {
		p.Discard(surplus)
	} else {
		p.free() // at its cost another may be opened
	}
}

// Discard closes a connection.
func (p *Pool) Discard(c *Conn) {
	c.Close()
	p.release()
}

// RecordTimeout notes that an attempt at a node, sent then, ended in silence: connections that have not answered since may be dead
// by now, as where the machine went away. One that broke is no such sign: its end is told, and so is the others'.
func (p *Pool) RecordTimeout(addr string, sent int64) {
	p.mu.Lock()
	p.quiet[addr] = max(p.quiet[addr], sent)
	p.mu.Unlock()
}

// CloseExpired closes what has been idle for too long. The nodes close such connections by themselves a good while
// later; a request must not cross that.
func (p *Pool) CloseExpired() {
	now := p.clock.Now()
	var old []*Conn
	p.mu.Lock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && now-list[n].used > p.lim.NodeIdleTimeout {
			n++
		}
		old = append(old, list[:n]...)
		p.idle[addr] = list[n:]
		if len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
	}
	for addr, at := range p.quiet {
		if now-at > p.lim.NodeIdleTimeout {
			delete(p.quiet, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.Discard(c)
	}
}

// Run sweeps until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTicker(clock.Duration(max(p.lim.NodeIdleTimeout/8, 1000)))
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
