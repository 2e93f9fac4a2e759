// Package load drives brokers over sockets with the same clients that the simulation of a scenario has. The load is
// open-loop: each request has an intended start time that does not depend on earlier requests, and its latency is
// measured from that time, so that a delay in sending counts as latency.
package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/statistics"
	"poppyarch/internal/observability/sketch"
	"poppyarch/internal/testkit/fake"
)

// Generator sends the requests of a scenario's clients.
type Generator struct {
	Scenario    *model.Scenario
	Seed        uint64
	BlockAddrs  []string // addresses of the block API, one for each broker of the scenario
	ObjectAddrs []string // addresses of the object API; if there are any, all requests go there

	pools         []*pool // connections of the block clients, by broker
	start         time.Time
	seq           atomic.Uint64
	mu            sync.Mutex
	counters      counters
	objectClients *objectClients // nil without object addresses
}

// Report holds the measurements of the clients. The caller adds those of nodes and brokers.
type Report struct {
	*model.Result
	SendDelayP50    float64 `json:"late_p50"` // seconds from a request's intended start time to its sending
	SendDelayP99    float64 `json:"late_p99"`
	ConnectionsLost int     `json:"cut"`   // connections that ended without a response
	WrongResponses  int     `json:"wrong"` // responses that do not belong to the request
}

// batchCount is the number of batches that confidence intervals are computed from, as in the simulation.
const batchCount = 20

// counters accumulate the measurements of a run.
type counters struct {
	// Value by the part of the run in which the request was due.
	offeredValue, servedValue                     [model.SeriesParts]float64
	offeredInsideReserve, servedInsideReserve     float64
	requestBatches, servedBatches, latencyBatches *statistics.BatchMeans
	latency, sendDelay                            sketch.Sketch
	result                                        model.Result
	connectionsLost, wrongResponses               int
}

// outcome is the result of one attempt of a client.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	connectionLost // the connection ended without a response
	wrongResponse  // the response does not belong to the request
	abandoned      // the client's deadline passed
)

// Run sends all requests at their intended start times. It returns once every client has a response or has given up.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	s := g.Scenario
	all, err := model.Arrivals(s, g.Seed)
	if err != nil {
		return nil, err
	}
	addrs := g.BlockAddrs
	if len(g.ObjectAddrs) > 0 {
		addrs = g.ObjectAddrs
	}
	if len(addrs) != s.Brokers {
		return nil, fmt.Errorf("scenario %s: brokers: %d, but got %d addresses", s.Name, s.Brokers, len(addrs))
	}
	classes := s.RequestClasses()
	from, to := time.Duration(s.WarmUp).Microseconds(), time.Duration(s.Duration).Microseconds()
	g.counters = counters{requestBatches: statistics.NewBatchMeans(from, to, batchCount), servedBatches: statistics.NewBatchMeans(from, to, batchCount), latencyBatches: statistics.NewBatchMeans(from, to, batchCount)}
	for _, a := range addrs {
		g.pools = append(g.pools, &pool{addr: a})
	}
	defer func() {
		for _, p := range g.pools {
			p.close()
		}
	}()
	if len(g.ObjectAddrs) > 0 {
		if g.objectClients, err = newObjectClients(ctx, g.ObjectAddrs, s.UnitWork(), all, classes); err != nil {
			return nil, err
		}
		defer g.objectClients.close()
	}
	random := rand.New(rand.NewPCG(g.Seed, 7))
	g.start = time.Now()
	var running sync.WaitGroup
	for i := range all {
		a := &all[i]
		if delay := time.Until(g.wallTime(a.At)); delay > 0 {
			t := time.NewTimer(delay)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
			}
		}
		if ctx.Err() != nil {
			break
		}
		retries := random.Float64() < s.Load.RetryFraction
		running.Go(func() { g.runClient(ctx, a, &classes[a.Class], retries) })
	}
	running.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return g.buildReport(), nil
}

// wallTime converts microseconds of the scenario to wall-clock time.
func (g *Generator) wallTime(us int64) time.Time {
	return g.start.Add(time.Duration(us) * time.Microsecond)
}

// runClient makes a request and, if retries is set, one retry after a refusal or a failure.
func (g *Generator) runClient(ctx context.Context, a *model.Arrival, class *model.Class, retries bool) {
	intended := g.wallTime(a.At)
	g.countRequest(a, time.Since(intended))
	o, hint := g.attempt(ctx, a, class, intended)
	g.countOutcome(o)
	if (o == refused || o == failed) && retries {
		t := time.NewTimer(max(hint, 50*time.Millisecond))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		o, _ = g.attempt(ctx, a, class, time.Now())
		g.countOutcome(o)
	}
	if o == served {
		g.countServed(a, class, time.Since(intended))
	}
}

// attempt makes one attempt, with a deadline counted from start. It returns the outcome and, for a refusal, the time
// after which the broker suggests a retry.
func (g *Generator) attempt(ctx context.Context, a *model.Arrival, class *model.Class, start time.Time) (outcome, time.Duration) {
	deadline := start.Add(time.Duration(class.Deadline))
	if g.objectClients != nil {
		return g.objectClients.attempt(ctx, a, class, deadline)
	}
	return g.blockAttempt(ctx, a, class, deadline)
}

func (g *Generator) countRequest(a *model.Arrival, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &g.counters
	t.requestBatches.Add(a.At, 1)
	t.sendDelay.Add(delay.Microseconds())
	t.result.Requests++
	if k := g.seriesPart(a.At); k >= 0 {
		t.offeredValue[k] += a.Value
	}
	if a.WithinReserve {
		t.offeredInsideReserve += a.Value
	}
}

// seriesPart returns the index of the part of the run that holds a time, or -1 if it is past the last one.
func (g *Generator) seriesPart(at int64) int {
	per := max(time.Duration(g.Scenario.Duration).Microseconds()/model.SeriesParts, 1)
	if k := int(at / per); k < model.SeriesParts {
		return k
	}
	return -1
}

func (g *Generator) countOutcome(o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t := &g.counters; o {
	case refused:
		t.result.Rejected++
	case failed:
		t.result.Failed++
	case connectionLost:
		t.connectionsLost++
	case wrongResponse:
		t.wrongResponses++
	case abandoned:
		t.result.ClientTimeouts++
	}
}

// countServed counts a served request in the same way as the simulation.
func (g *Generator) countServed(a *model.Arrival, class *model.Class, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &g.counters
	t.servedBatches.Add(time.Since(g.start).Microseconds(), 1)
	if a.At >= time.Duration(g.Scenario.WarmUp).Microseconds() {
		t.latencyBatches.Add(a.At, latency.Seconds())
		t.latency.Add(latency.Microseconds())
	}
	value := a.Value
	if latency > time.Duration(class.LatencyObjective) {
		value *= class.LateValue
		t.result.Late++
	} else if a.WithinReserve {
		t.servedInsideReserve += value
	}
	if k := g.seriesPart(a.At); k >= 0 {
		t.servedValue[k] += value
	}
}

func (g *Generator) buildReport() *Report {
	t := &g.counters
	res := t.result
	res.Scenario, res.Design, res.Seed = g.Scenario.Name, "sockets", g.Seed
	res.ArrivalRate, res.ServedRate, res.ResponseTime = t.requestBatches.Rate(), t.servedBatches.Rate(), t.latencyBatches.Mean()
	res.MedianResponseTime, res.P99ResponseTime = float64(t.latency.Quantile(0.5))/1e6, float64(t.latency.Quantile(0.99))/1e6
	for _, at := range model.QuantileProbabilities {
		res.ResponseTimeQuantiles = append(res.ResponseTimeQuantiles, float64(t.latency.Quantile(at))/1e6)
	}
	offered, earned := 0.0, 0.0
	for k := range t.offeredValue {
		part := 0.0
		if t.offeredValue[k] > 0 {
			part = math.Round(1e4*t.servedValue[k]/t.offeredValue[k]) / 1e4
		}
		offered, earned, res.ServedValueSeries = offered+t.offeredValue[k], earned+t.servedValue[k], append(res.ServedValueSeries, part)
	}
	if offered > 0 {
		res.ServedValueRatio = earned / offered
	}
	if t.offeredInsideReserve > 0 {
		res.ReservedValueRatio = t.servedInsideReserve / t.offeredInsideReserve
	}
	return &Report{Result: &res, SendDelayP50: float64(t.sendDelay.Quantile(0.5)) / 1e6, SendDelayP99: float64(t.sendDelay.Quantile(0.99)) / 1e6, ConnectionsLost: t.connectionsLost, WrongResponses: t.wrongResponses}
}

// pool holds the idle connections of the block clients to one broker.
type pool struct {
	addr string
	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	r      *bufio.Reader
	reused bool // it has already carried a request
}

func (p *pool) get(ctx context.Context, deadline time.Time) (*conn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	return p.dial(ctx, deadline)
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	d := net.Dialer{Deadline: deadline}
	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReader(c)}, nil
}

func (p *pool) put(c *conn) {
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// blockAttempt makes one attempt over the block protocol.
func (g *Generator) blockAttempt(ctx context.Context, a *model.Arrival, class *model.Class, deadline time.Time) (outcome, time.Duration) {
	p := g.pools[a.Broker]
	id := strconv.FormatUint(g.seq.Add(1), 10)
	name, argumentCount := "BLK.READ", 4
	if class.Writes {
		name, argumentCount = "BLK.WRITE", 5
	}
	plan := "all"
	if a.Plan < len(g.Scenario.Plans) {
		plan = g.Scenario.Plans[a.Plan].Name
	}
	attributes := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%s,units=%g,shard=%d,hosts=%d", class.Name, plan, max(time.Until(deadline).Milliseconds(), 1), volumeID(a.Volume),
		a.Units, a.Shard, a.BrokerCount)
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", argumentCount)
	for _, w := range []string{name, fake.PieceID(a.Key, int64(a.Work)), id, attributes, "x"}[:argumentCount] {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	for {
		c, err := p.get(ctx, deadline)
		if err != nil {
			return connectionLost, 0
		}
		o, hint, err := c.exchange(b.String(), id, deadline)
		if err == nil {
			p.put(c)
			return o, hint
		}
		_ = c.Close()
		var ne net.Error
		switch {
		case errors.As(err, &ne) && ne.Timeout():
			return abandoned, 0
		case c.reused && errors.Is(err, errNoResponse) && time.Now().Before(deadline):
			continue // the broker closed the idle connection before it read the request: send it on another one
		}
		return connectionLost, 0
	}
}

// volumeID formats the name of a volume as the block protocol expects it.
func volumeID(name string) string {
	v, err := strconv.ParseUint(name, 16, 64)
	if err != nil { // a scenario without plans has a single volume
		v = 1
	}
	return fmt.Sprintf("%016x", v)
}

// errNoResponse means that a connection ended before the first byte of a response.
var errNoResponse = errors.New("connection ended before a response")

// exchange sends an encoded request and reads its response.
func (c *conn) exchange(request, id string, deadline time.Time) (outcome, time.Duration, error) {
	_ = c.SetDeadline(deadline)
	if _, err := io.WriteString(c, request); err != nil {
		return connectionLost, 0, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	line, err := c.r.ReadString('\n')
	if err != nil {
		if line == "" {
			err = fmt.Errorf("%w: %w", errNoResponse, err)
		}
		return connectionLost, 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		return refused, time.Duration(ms) * time.Millisecond, nil
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > 1<<20 {
			return connectionLost, 0, fmt.Errorf("invalid response %q", line)
		}
		value := make([]byte, n+2)
		if _, err := io.ReadFull(c.r, value); err != nil {
			return connectionLost, 0, err
		}
		if string(value[:n]) != id {
			return wrongResponse, 0, nil
		}
		return served, 0, nil
	case strings.HasPrefix(line, "-"):
		return failed, 0, nil
	}
	return connectionLost, 0, fmt.Errorf("invalid response %q", line)
}
