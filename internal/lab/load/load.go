// Package load drives brokers on sockets with the very clients of a lab's scenario. It is open-loop: each request has its time, whatever became of
// those before it, and what it took is measured from then on; a client that is late in sending has waited all the same.
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

// Run is a scenario's clients at work.
type Run struct {
	Scenario *model.Scenario
	Seed     uint64
	Blocks   []string // addresses of block fronts, by the scenario's brokers
	Objects  []string // of object fronts; where there are some, requests go there

	clients []*pool
	start   time.Time
	seq     atomic.Uint64
	mu      sync.Mutex
	tally   tally
	web     *web
}

// Report is what clients saw. The figures of nodes and brokers are filled in by whoever has them.
type Report struct {
	*model.Result
	LateP50 float64 `json:"late_p50"` // seconds from a request's time to its sending
	LateP99 float64 `json:"late_p99"`
	Cut     int     `json:"cut"`   // connections that ended without an answer
	Wrong   int     `json:"wrong"` // answers that were not made for the request
}

// batches is how many parts of a run intervals are drawn from, as in the model.
const batches = 20

// tally is what has been counted so far.
type tally struct {
	due, earned             [model.SeriesParts]float64
	dueInside, earnedInside float64
	asked, served, took     *statistics.Batches
	latency, late           sketch.Sketch
	res                     model.Result
	cut, wrong              int
}

// outcome of one try.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	cut   // the connection ended without an answer
	wrong // not the answer of this request
	left  // the client waited no longer
)

// Play has all clients come, and returns when the last has its answer or has given up.
func (r *Run) Play(ctx context.Context) (*Report, error) {
	s := r.Scenario
	all, err := model.Clients(s, r.Seed)
	if err != nil {
		return nil, err
	}
	addrs := r.Blocks
	if len(r.Objects) > 0 {
		addrs = r.Objects
	}
	if len(addrs) != s.Brokers {
		return nil, fmt.Errorf("scenario %s: brokers: %d, but %d addresses are given", s.Name, s.Brokers, len(addrs))
	}
	classes := s.Ways()
	from, to := time.Duration(s.WarmUp).Microseconds(), time.Duration(s.Duration).Microseconds()
	r.tally = tally{asked: statistics.NewBatches(from, to, batches), served: statistics.NewBatches(from, to, batches), took: statistics.NewBatches(from, to, batches)}
	for _, a := range addrs {
		r.clients = append(r.clients, &pool{addr: a})
	}
	defer func() {
		for _, p := range r.clients {
			p.close()
		}
	}()
	if len(r.Objects) > 0 {
		if r.web, err = newWeb(ctx, r.Objects, s.UnitWork(), all, classes); err != nil {
			return nil, err
		}
		defer r.web.close()
	}
	again := rand.New(rand.NewPCG(r.Seed, 7))
	r.start = time.Now()
	var wait sync.WaitGroup
	for i := range all {
		a := &all[i]
		if rest := time.Until(r.at(a.At)); rest > 0 {
			t := time.NewTimer(rest)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
			}
		}
		if ctx.Err() != nil {
			break
		}
		comes := again.Float64() < s.Load.Retry
		wait.Go(func() { r.client(ctx, a, &classes[a.Class], comes) })
	}
	wait.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return r.report(), nil
}

// at is a moment of the scenario.
func (r *Run) at(us int64) time.Time { return r.start.Add(time.Duration(us) * time.Microsecond) }

// client makes a request, and perhaps once more after a refusal or a failure.
func (r *Run) client(ctx context.Context, a *model.Arrival, class *model.Class, again bool) {
	began := r.at(a.At)
	r.asks(a, time.Since(began))
	o, hint := r.try(ctx, a, class, began)
	r.count(o)
	if (o == refused || o == failed) && again {
		t := time.NewTimer(max(hint, 50*time.Millisecond))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		o, _ = r.try(ctx, a, class, time.Now())
		r.count(o)
	}
	if o == served {
		r.earns(a, class, time.Since(began))
	}
}

func (r *Run) try(ctx context.Context, a *model.Arrival, class *model.Class, began time.Time) (outcome, time.Duration) {
	until := began.Add(time.Duration(class.Deadline))
	if r.web != nil {
		return r.web.try(ctx, a, class, until)
	}
	return r.block(ctx, a, class, until)
}

func (r *Run) asks(a *model.Arrival, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tally
	t.asked.Add(a.At, 1)
	t.late.Add(late.Microseconds())
	t.res.Requests++
	if k := r.part(a.At); k >= 0 {
		t.due[k] += a.Worth
	}
	if a.Inside {
		t.dueInside += a.Worth
	}
}

func (r *Run) part(at int64) int {
	per := max(time.Duration(r.Scenario.Duration).Microseconds()/model.SeriesParts, 1)
	if k := int(at / per); k < model.SeriesParts {
		return k
	}
	return -1
}

func (r *Run) count(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch t := &r.tally; o {
	case refused:
		t.res.Refused++
	case failed:
		t.res.Failed++
	case cut:
		t.cut++
	case wrong:
		t.wrong++
	case left:
		t.res.GivenUp++
	}
}

// earns counts an answer as the model does.
func (r *Run) earns(a *model.Arrival, class *model.Class, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tally
	t.served.Add(time.Since(r.start).Microseconds(), 1)
	if a.At >= time.Duration(r.Scenario.WarmUp).Microseconds() {
		t.took.Add(a.At, took.Seconds())
		t.latency.Add(took.Microseconds())
	}
	worth := a.Worth
	if took > time.Duration(class.LatencyObjective) {
		worth *= class.LateValue
		t.res.Late++
	} else if a.Inside {
		t.earnedInside += worth
	}
	if k := r.part(a.At); k >= 0 {
		t.earned[k] += worth
	}
}

func (r *Run) report() *Report {
	t := &r.tally
	res := t.res
	res.Scenario, res.Design, res.Seed = r.Scenario.Name, "sockets", r.Seed
	res.Asked, res.Served, res.Time = t.asked.Rate(), t.served.Rate(), t.took.Mean()
	res.Median, res.P99 = float64(t.latency.Quantile(0.5))/1e6, float64(t.latency.Quantile(0.99))/1e6
	for _, at := range model.Quantiles {
		res.Quantiles = append(res.Quantiles, float64(t.latency.Quantile(at))/1e6)
	}
	due, earned := 0.0, 0.0
	for k := range t.due {
		part := 0.0
		if t.due[k] > 0 {
			part = math.Round(1e4*t.earned[k]/t.due[k]) / 1e4
		}
		due, earned, res.Series = due+t.due[k], earned+t.earned[k], append(res.Series, part)
	}
	if due > 0 {
		res.Service = earned / due
	}
	if t.dueInside > 0 {
		res.Reserved = t.earnedInside / t.dueInside
	}
	return &Report{Result: &res, LateP50: float64(t.late.Quantile(0.5)) / 1e6, LateP99: float64(t.late.Quantile(0.99)) / 1e6, Cut: t.cut, Wrong: t.wrong}
}

// pool is clients' connections to one broker.
type pool struct {
	addr string
	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

func (p *pool) get(ctx context.Context, until time.Time) (*conn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	return p.dial(ctx, until)
}

func (p *pool) dial(ctx context.Context, until time.Time) (*conn, error) {
	d := net.Dialer{Deadline: until}
	c, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReader(c)}, nil
}

func (p *pool) put(c *conn) {
	c.used = true
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

// block makes one try over the platform's protocol.
func (r *Run) block(ctx context.Context, a *model.Arrival, class *model.Class, until time.Time) (outcome, time.Duration) {
	p := r.clients[a.Broker]
	id := strconv.FormatUint(r.seq.Add(1), 10)
	name, words := "BLK.READ", 4
	if class.Writes {
		name, words = "BLK.WRITE", 5
	}
	plan := "all"
	if a.Plan < len(r.Scenario.Plans) {
		plan = r.Scenario.Plans[a.Plan].Name
	}
	list := fmt.Sprintf("c=%s,t=%s,d=%d,volume=%s,units=%g,shard=%d,hosts=%d", class.Name, plan, max(time.Until(until).Milliseconds(), 1), volume(a.Volume),
		a.Units, a.Shard, a.Hosts)
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", words)
	for _, w := range []string{name, fake.Piece(a.Key, int64(a.Work)), id, list, "x"}[:words] {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	for {
		c, err := p.get(ctx, until)
		if err != nil {
			return cut, 0
		}
		o, hint, err := c.ask(b.String(), id, until)
		if err == nil {
			p.put(c)
			return o, hint
		}
		_ = c.Close()
		var ne net.Error
		switch {
		case errors.As(err, &ne) && ne.Timeout():
			return left, 0
		case c.used && errors.Is(err, errBefore) && time.Now().Before(until):
			continue // the broker closed an idle connection: what crossed that was not read, and is sent once more
		}
		return cut, 0
	}
}

// volume is the platform's form of a volume's name.
func volume(name string) string {
	v, err := strconv.ParseUint(name, 16, 64)
	if err != nil { // the scenario has no plans, and so one volume
		v = 1
	}
	return fmt.Sprintf("%016x", v)
}

// errBefore says that a connection ended before the first byte of an answer.
var errBefore = errors.New("ended before an answer")

func (c *conn) ask(text, id string, until time.Time) (outcome, time.Duration, error) {
	_ = c.SetDeadline(until)
	if _, err := io.WriteString(c, text); err != nil {
		return cut, 0, fmt.Errorf("%w: %w", errBefore, err)
	}
	line, err := c.r.ReadString('\n')
	if err != nil {
		if line == "" {
			err = fmt.Errorf("%w: %w", errBefore, err)
		}
		return cut, 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		return refused, time.Duration(ms) * time.Millisecond, nil
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > 1<<20 {
			return cut, 0, fmt.Errorf("answer %q", line)
		}
		value := make([]byte, n+2)
		if _, err := io.ReadFull(c.r, value); err != nil {
			return cut, 0, err
		}
		if string(value[:n]) != id {
			return wrong, 0, nil
		}
		return served, 0, nil
	case strings.HasPrefix(line, "-"):
		return failed, 0, nil
	}
	return cut, 0, fmt.Errorf("answer %q", line)
}
