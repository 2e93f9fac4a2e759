package block

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

const patience = 30 * time.Second

func testLimits() *limits.Limits {
	const hour = 3_600_000_000
	return &limits.Limits{MaxMessageBytes: 4096, MaxArgs: 8, MaxValueBytes: 2048, MaxPipeline: 8, MaxBodyBytes: 1 << 20, MaxID: 16,
		MaxParams: 200, ClientWriteTimeout: patience.Microseconds(), ClientFirstByteTimeout: hour, ClientStallTimeout: hour, ClientRequestTimeout: hour,
		ClientIdleTimeoutUnderPressure: hour, ClientIdleTimeout: hour, ClientLingerTimeout: 200_000, BusyRetryAfter: 150_000, DrainAnswerTime: hour}
}

func testNames(lim *limits.Limits) *Schema {
	return NewSchema(&decision.Config{Classes: []decision.Class{{Name: "read"}, {Name: "new", Idempotency: decision.NotIdempotent}},
		Plans: []decision.Plan{{Name: "gold"}}, MaxUnits: 8}, 10, lim)
}

// broker answers each request when the test says so; its id is the key.
type broker struct {
	mu      sync.Mutex
	waiting map[string]chan core.Response[[]byte]
	came    chan core.Request[*blockstore.Command]
	left    chan string
}

func (b *broker) ask(id string) chan core.Response[[]byte] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting[id] == nil {
		b.waiting[id] = make(chan core.Response[[]byte], 1)
	}
	return b.waiting[id]
}

func (b *broker) Handle(ctx context.Context, r core.Request[*blockstore.Command]) core.Response[[]byte] {
	id := string(r.Work.RequestID)
	b.came <- r
	select {
	case a := <-b.ask(id):
		return a
	case <-ctx.Done():
		b.left <- id
		return core.Response[[]byte]{Status: core.Failure}
	}
}

type rig struct {
	t      *testing.T
	front  *Server
	broker *broker
	ln     net.Listener
	asks   int
}

func newRig(t *testing.T, lim *limits.Limits, conns int) *rig {
	t.Helper()
	b := &broker{waiting: map[string]chan core.Response[[]byte]{}, came: make(chan core.Request[*blockstore.Command], 64),
		left: make(chan string, 64)}
	f := New(b, testNames(lim), conns, clock.New(), lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(ln)
	return &rig{t, f, b, ln, 0}
}

func (r *rig) dial() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	c, err := net.Dial("tcp", r.ln.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c, bufio.NewReader(c)
}

// until waits for what must come of the front.
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	look := func() bool {
		r.front.mu.Lock()
		defer r.front.mu.Unlock()
		return ok()
	}
	for end := time.Now().Add(patience); !look(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatal("never came: " + what)
		}
	}
}

// quiet waits until the front knows that a client is owed nothing: it counts one as idle, from then on, only after the
// answer is out, which the client may see first. One that comes before that finds another the longest idle, or none.
func (r *rig) quiet(c net.Conn) {
	r.t.Helper()
	r.until("the client is owed nothing", func() bool {
		for cl := range r.front.conns {
			if cl.net.RemoteAddr().String() == c.LocalAddr().String() {
				return cl.owed.Load() == 0
			}
		}
		return true
	})
}

// ping has a client say PING and be idle then.
func (r *rig) ping(c net.Conn, in *bufio.Reader) {
	r.t.Helper()
	io.WriteString(c, words("PING"))
	expectText(r.t, in, "+PONG\r\n")
	r.quiet(c)
}

// ask has one request served.
func (r *rig) ask(c net.Conn, in *bufio.Reader) {
	r.t.Helper()
	r.asks++ // an id is free only once its answer has gone out, which the client may see first
	id := fmt.Sprint("q", r.asks)
	io.WriteString(c, read(id))
	<-r.broker.came
	r.broker.ask(id) <- value("v")
	expectText(r.t, in, "$1\r\nv\r\n")
	r.quiet(c)
}

func words(w ...string) string {
	out := fmt.Sprintf("*%d\r\n", len(w))
	for _, s := range w {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(s), s)
	}
	return out
}

const params = "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3,k=x"

func read(id string) string { return words("BLK.READ", "7f3a9c21e0b4d655", id, params) }

// expectText reads exactly what is expected.
func expectText(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	n, err := io.ReadFull(r, b)
	if string(b[:n]) != want {
		t.Fatalf("got %q (%v), want %q", b[:n], err, want)
	}
}

// expectEnd wants the connection closed with nothing more on it.
func expectEnd(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Fatalf("got %q (%v), want the end", rest, err)
	}
}

func value(s string) core.Response[[]byte] { return core.Response[[]byte]{Value: []byte(s)} }

// Commands written behind each other all start at once; their answers keep the order, whichever is ready first.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	r := newRig(t, testLimits(), 4)
	c, in := r.dial()
	io.WriteString(c, read("a")+words("PING")+read("b")+read("c"))
	for range 3 {
		<-r.broker.came
	}
	r.broker.ask("c") <- core.Response[[]byte]{Status: core.Rejection, RetryAfter: 1500}
	r.broker.ask("b") <- core.Response[[]byte]{Status: core.Failure}
	r.broker.ask("a") <- value("v\r\n1")
	expectText(t, in, "$4\r\nv\r\n1\r\n+PONG\r\n-ERR failed\r\n-BUSY 2\r\n")
}

func TestARequestIsReadAsItIsWritten(t *testing.T) {
	r := newRig(t, testLimits(), 4)
	c, in := r.dial()
	io.WriteString(c, words("blk.write", "7f3a9c21e0b4d655", "id9", strings.Replace(params, "c=read", "c=new", 1), "b\r\ny"))
	q := <-r.broker.came
	left := q.Deadline - r.front.clock.Now()
	if q.Class != 1 || !q.NotIdempotent || q.Plan != 0 || q.Volume != "00000003b4d60021" || q.Key != "7f3a9c21e0b4d655" ||
		q.Units != 2 || q.Shard != 5 || q.Brokers != 3 || left > 480_000 || string(q.Work.Body) != "b\r\ny" ||
		len(q.Work.Params) != 8 || q.Work.Params[7] != (blockstore.Param{Name: "k", Value: "x"}) {
		t.Errorf("%+v, %+v", q.RequestInfo, q.Work)
	}
	r.broker.ask("id9") <- core.Response[[]byte]{Status: core.Rejection}
	expectText(t, in, "-BUSY\r\n")
}

// A client that leaves while its request waits ends it; one that only waits does not.
func TestClientsThatLeaveAreNoticed(t *testing.T) {
	r := newRig(t, testLimits(), 4)
	c, _ := r.dial()
	io.WriteString(c, read("a")+read("b"))
	<-r.broker.came
	<-r.broker.came
	c.Close()
	if ids := <-r.broker.left + <-r.broker.left; ids != "ab" && ids != "ba" {
		t.Errorf("left: %q", ids)
	}
}

func TestMalformedInputGetsAnErrorAndAClose(t *testing.T) {
	for _, x := range []struct{ in, want string }{
		{"GET / HTTP/1.1\r\n", "-ERR Protocol error: expected '*'\r\n"},
		{"*2\r\n:1\r\n", "-ERR Protocol error: expected '$'\r\n"},
		{"*9\r\n", "-ERR Protocol error: length over 8\r\n"},
		{"*0\r\n", "-ERR Protocol error: bad length\r\n"},
		{"*-1\r\n", "-ERR Protocol error: bad length\r\n"},
		{"*1\r\n$99999999999999999999\r\n", "-ERR Protocol error: length over 2048\r\n"},
		{"*1\r\n$1\r\nab", "-ERR Protocol error: bulk string longer than announced\r\n"},
		{"*3\r\n" + strings.Repeat("$2000\r\n"+strings.Repeat("x", 2000)+"\r\n", 3), "-ERR Protocol error: command over 4096 bytes\r\n"},
		// What came whole before it is served, and answered first.
		{words("PING") + "x", "+PONG\r\n-ERR Protocol error: expected '*'\r\n"},
		{words("PING") + words("PING") + "*x\r\n", "+PONG\r\n+PONG\r\n-ERR Protocol error: bad length\r\n"},
	} {
		r := newRig(t, testLimits(), 4)
		c, in := r.dial()
		io.WriteString(c, x.in)
		expectText(t, in, x.want)
		expectEnd(t, in)
	}
}

func TestMalformedInputWaitsForWhatIsOwed(t *testing.T) {
	r := newRig(t, testLimits(), 4)
	c, in := r.dial()
	io.WriteString(c, read("a")+"garbage")
	<-r.broker.came
	r.broker.ask("a") <- value("v")
	expectText(t, in, "$1\r\nv\r\n-ERR Protocol error: expected '*'\r\n")
	expectEnd(t, in)
}

// Wrong commands in sound form are errors, and the connection goes on.
func TestWrongCommandsKeepTheConnection(t *testing.T) {
	r := newRig(t, testLimits(), 4)
	c, in := r.dial()
	for _, x := range []struct{ in, want string }{
		{words("FLUSHALL"), "-ERR unknown command\r\n"},
		{words("BLK.READ", "x"), "-ERR BLK.READ takes 4 words, got 2\r\n"},
		{words("BLK.READ", "zz", "id", params), "-ERR piece is not 16 hex digits\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", "c=no,"+params[7:]), "-ERR c: cannot be \"no\"\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", strings.Replace(params, "d=480", "d=-1", 1)), "-ERR d: cannot be \"-1\"\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", strings.Replace(params, "units=2", "units=NaN", 1)), "-ERR units: cannot be \"NaN\"\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", strings.Replace(params, "d=480,", "", 1)), "-ERR d is missing\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", params+",c=read"), "-ERR malformed or repeated field \"c=read\"\r\n"},
		{words("PING", "hi"), "$2\r\nhi\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "", params), "-ERR id is not 1 to 16 letters, digits or -_.: characters\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "a b", params), "-ERR id is not 1 to 16 letters, digits or -_.: characters\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "12345678901234567", params), "-ERR id is not 1 to 16 letters, digits or -_.: characters\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", params+strings.Repeat(",", 200)), "-ERR fields over 200 bytes\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", params+",y=\x00"), "-ERR malformed or repeated field \"y=\\x00\"\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", strings.Replace(params, "shard=5", "shard=10", 1)), "-ERR shard: cannot be \"10\"\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", strings.Replace(params, "shard=5", "shard=", 1)), "-ERR shard: cannot be \"\"\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", strings.Replace(params, "units=2", "units=9", 1)), "-ERR units: cannot be \"9\"\r\n"},
		{words("BLK.READ", "7f3a9c21e0b4d655", "id", strings.Replace(params, "d=480", "d=0x1p4", 1)), "-ERR d: cannot be \"0x1p4\"\r\n"},
	} {
		io.WriteString(c, x.in)
		expectText(t, in, x.want)
	}
}

// Beyond the bound on held bytes a request is refused: nothing ran.
func TestHeldBytesAreBounded(t *testing.T) {
	lim := testLimits()
	lim.MaxBodyBytes = int64(len(read("a"))) + 10
	r := newRig(t, lim, 4)
	c, in := r.dial()
	io.WriteString(c, read("a"))
	<-r.broker.came
	other, otherIn := r.dial()
	io.WriteString(other, read("b"))
	expectText(t, otherIn, "-BUSY 150\r\n")
	r.broker.ask("a") <- value("v")
	expectText(t, in, "$1\r\nv\r\n")
	r.until("nothing is held", func() bool { return r.front.held.Load() == 0 })
}

// The id of a request that is open belongs to that one alone; with the answer it is free again.
func TestIDsOfOpenRequests(t *testing.T) {
	r := newRig(t, testLimits(), 4)
	c, in := r.dial()
	io.WriteString(c, read("a"))
	<-r.broker.came
	other, otherIn := r.dial()
	io.WriteString(other, read("a")+read("b"))
	if q := <-r.broker.came; string(q.Work.RequestID) != "b" {
		t.Errorf("the broker got %s", q.Work.RequestID)
	}
	r.broker.ask("b") <- value("w")
	expectText(t, otherIn, "-ERR id: a request of that id is open\r\n$1\r\nw\r\n")
	r.broker.ask("a") <- value("v")
	expectText(t, in, "$1\r\nv\r\n")
	r.until("the id is free", func() bool { return len(r.front.ids) == 0 }) // a client may see its answer sooner
	io.WriteString(other, words("PING")+read("a"))
	<-r.broker.came
	r.broker.ask("a") <- value("x")
	expectText(t, otherIn, "+PONG\r\n$1\r\nx\r\n")
	left, _ := r.dial() // one that leaves frees its id too
	io.WriteString(left, read("c"))
	<-r.broker.came
	left.Close()
	<-r.broker.left
	r.until("no id is open", func() bool { return len(r.front.ids) == 0 })
}

// Nobody is waited for without end: who says nothing is closed, who stops within a command gets an error, who has been
// idle for long is closed; who is owed an answer never is.
func TestSilentClients(t *testing.T) {
	const ms = 1000
	for _, x := range []struct {
		name, in, want string
		change         func(*limits.Limits)
	}{
		{"says nothing", "", "", func(l *limits.Limits) { l.ClientFirstByteTimeout = 30 * ms }},
		{"stops at once", "*", "-ERR Protocol error: the command did not come to its end in time\r\n",
			func(l *limits.Limits) { l.ClientStallTimeout = 30 * ms }},
		{"stops in the second command", words("PING") + read("a")[:50],
			"+PONG\r\n-ERR Protocol error: the command did not come to its end in time\r\n", func(l *limits.Limits) { l.ClientStallTimeout = 30 * ms }},
		{"never ends", read("a")[:50], "-ERR Protocol error: the command did not come to its end in time\r\n",
			func(l *limits.Limits) { l.ClientRequestTimeout = 30 * ms }},
		{"is idle", words("PING"), "+PONG\r\n", func(l *limits.Limits) { l.ClientIdleTimeoutUnderPressure, l.ClientIdleTimeout = 20*ms, 40*ms }},
		{"left a large buffer", words("PING", strings.Repeat("x", 5000)), "$5000\r\n" + strings.Repeat("x", 5000) + "\r\n",
			func(l *limits.Limits) {
				l.ClientIdleTimeoutUnderPressure, l.MaxValueBytes, l.MaxMessageBytes = 20*ms, 8192, 8192
			}},
	} {
		t.Run(x.name, func(t *testing.T) {
			lim := testLimits()
			x.change(lim)
			r := newRig(t, lim, 8)
			c, in := r.dial()
			io.WriteString(c, x.in)
			expectText(t, in, x.want)
			expectEnd(t, in)
		})
	}
	lim := testLimits()
	lim.ClientIdleTimeoutUnderPressure, lim.ClientIdleTimeout, lim.ClientStallTimeout, lim.ClientFirstByteTimeout = 5*ms, 5*ms, 5*ms, 5*ms
	r := newRig(t, lim, 2)
	c, in := r.dial()
	io.WriteString(c, read("a"))
	select {
	case <-r.broker.came:
	case <-t.Context().Done():
	}
	time.Sleep(100 * time.Millisecond) // a slow machine makes this longer, never shorter
	r.broker.ask("a") <- value("v")
	expectText(t, in, "$1\r\nv\r\n")
}

// A request that is here and was only not read yet is read, whoever wants its connection closed meanwhile.
func TestWhatHasComeIsReadBeforeAClose(t *testing.T) {
	r := newRig(t, testLimits(), 4)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			io.WriteString(c, read("a"))
			io.Copy(io.Discard, c)
			c.Close()
		}
	}()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for socket.Peek(c) != socket.Readable {
		time.Sleep(time.Millisecond)
	}
	cl := &client{front: r.front, came: -1 << 60} // silent for ages
	cl.net = &guarded{Conn: c, scan: scanner{lim: r.front.lim}, patient: cl, clock: r.front.clock}
	cl.net.wake()
	b := make([]byte, 4096)
	if n, err := cl.net.Read(b); string(b[:n]) != read("a") || err != nil {
		t.Errorf("got %q, %v", b[:n], err)
	}
	cl.net.wake()
	if n, err := cl.net.Read(b); n != 0 || !errors.Is(err, errIdle) {
		t.Errorf("got %q, %v, want the end", b[:n], err)
	}
}

// At the bound on connections those make room that have stopped in the middle of a command, then those that have asked
// nothing so far. An honest client does not wait behind either.
func TestSilentClientsMakeRoomFirst(t *testing.T) {
	r := newRig(t, testLimits(), 3)
	used, usedIn := r.dial()
	r.ask(used, usedIn)
	_, silentIn := r.dial()
	r.until("the silent client is there", func() bool { return len(r.front.conns) == 2 })
	if now := r.front.clock.Now(); (&client{front: r.front, net: &guarded{}, came: now - 3_600_000_000}).evictionRank(now) != 0 {
		t.Error("one that has been silent for long does not go first")
	}
	half, halfIn := r.dial()
	io.WriteString(half, "*1\r\n")
	r.until("the half command is read", func() bool {
		for cl := range r.front.conns {
			if cl.mid.Load() {
				cl.last.Add(-1_800_000_000) // as if it had stopped half an hour ago
				return true
			}
		}
		return false
	})
	for _, x := range []struct {
		in   *bufio.Reader
		text string
	}{{halfIn, "-ERR Protocol error: the command did not come to its end in time\r\n"}, {silentIn, ""}} {
		next, nextIn := r.dial()
		io.WriteString(next, read("a"))
		expectText(t, x.in, x.text)
		expectEnd(t, x.in)
		<-r.broker.came
		r.broker.ask("a") <- value("v")
		expectText(t, nextIn, "$1\r\nv\r\n")
		r.quiet(next)
	}
	r.ask(used, usedIn)
}

// Places are cleared before the last is taken, the longest idle one first, so that nobody stands in line for one.
func TestPlacesAreClearedAheadOfNeed(t *testing.T) {
	r := newRig(t, testLimits(), 16)
	var first *bufio.Reader
	for i := range 15 {
		c, in := r.dial()
		r.ping(c, in)
		if i == 0 {
			first = in
		}
	}
	expectEnd(t, first)
}

// Clients may hold only so many connections for their requests: idle ones go well before they use that up, and not one
// for each that comes, but until few enough are left. Those that carry no request count apart.
func TestIdleClientsDoNotUseUpWhatClientsMayHold(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleConns = 2
	r := newRig(t, lim, 100)
	ping, pingIn := r.dial()
	r.ping(ping, pingIn)
	var ins []*bufio.Reader
	for i := range 6 { // all busy at once: none can go
		c, in := r.dial()
		io.WriteString(c, read(fmt.Sprint(i)))
		<-r.broker.came
		ins = append(ins, in)
	}
	for i, in := range ins {
		r.broker.ask(fmt.Sprint(i)) <- value("v")
		expectText(t, in, "$1\r\nv\r\n")
	}
	r.until("as many are left as may stay", func() bool { return r.front.asked == 2 && len(r.front.conns) == 3 })
	r.ping(ping, pingIn)
}

// In a drain idle connections are all that clients have left: none that has asked is ended for a new one, while those
// that have not make room before the places run out.
func TestDrainKeepsIdleClients(t *testing.T) {
	lim := testLimits()
	lim.ClientIdleConns = 2
	r := newRig(t, lim, 8)
	r.front.draining.Store(true)
	first, firstIn := r.dial()
	r.ask(first, firstIn)
	c, in := r.dial()
	r.ask(c, in)
	c, in = r.dial()
	r.ask(c, in)
	var ended *bufio.Reader
	for i := range 5 {
		c, in = r.dial()
		r.ping(c, in)
		if i == 0 {
			ended = in
		}
	}
	expectEnd(t, ended)
	r.ask(first, firstIn)
}

// At the bound on connections the longest idle client makes room; a busy one never does.
func TestIdleClientsMakeRoom(t *testing.T) {
	r := newRig(t, testLimits(), 2)
	busy, busyIn := r.dial()
	io.WriteString(busy, read("a"))
	<-r.broker.came
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	next, nextIn := r.dial()
	r.ping(next, nextIn)
	expectEnd(t, idleIn)
	r.broker.ask("a") <- value("v")
	expectText(t, busyIn, "$1\r\nv\r\n")
}

// A drain goes on serving, new clients too, for as long as it may; then it closes the listener, ends clients that are
// owed nothing, and answers what was taken. Requests that come meanwhile are due before the process may be killed.
func TestDrain(t *testing.T) {
	lim := testLimits()
	lim.DrainServeTime, lim.DrainAnswerTime = 3_600_000_000, 100_000
	r := newRig(t, lim, 8)
	busy, busyIn := r.dial()
	io.WriteString(busy, read("a"))
	if q := <-r.broker.came; q.Deadline-r.front.clock.Now() <= lim.DrainAnswerTime {
		t.Error("its time is cut before the drain")
	}
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	done := make(chan error, 1)
	go func() { done <- r.front.Drain(t.Context()) }()
	r.until("it drains", r.front.draining.Load)
	late, lateIn := r.dial()
	io.WriteString(late, read("b"))
	if q := <-r.broker.came; q.Deadline != r.front.until.Load() {
		t.Errorf("due at %d, want %d", q.Deadline, r.front.until.Load())
	}
	r.broker.ask("b") <- value("w")
	expectText(t, lateIn, "$1\r\nw\r\n")
	r.ping(idle, idleIn)
	r.ln.Close() // as Drain does by itself after DrainServe
	expectEnd(t, idleIn)
	expectEnd(t, lateIn)
	if c, err := net.Dial("tcp", r.ln.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
	select {
	case err := <-done:
		t.Fatalf("the drain is over with a request open: %v", err)
	default:
	}
	r.broker.ask("a") <- value("v")
	expectText(t, busyIn, "$1\r\nv\r\n")
	expectEnd(t, busyIn)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// When its time is over a drain closes the listener by itself, and the clients that are owed nothing.
func TestDrainEndsByItself(t *testing.T) {
	lim := testLimits()
	lim.DrainServeTime = 1000
	r := newRig(t, lim, 8)
	idle, idleIn := r.dial()
	r.ping(idle, idleIn)
	if err := r.front.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	expectEnd(t, idleIn)
}

// Without clients nothing is waited for.
func TestDrainWithoutClients(t *testing.T) {
	r := newRig(t, testLimits(), 8)
	r.front.lim.DrainServeTime = 3_600_000_000
	r.until("it serves", func() bool { return r.front.ln != nil })
	if err := r.front.Drain(t.Context()); err != nil {
		t.Error(err)
	}
}

// FuzzScanner: however input is cut, the same bytes are sound; what passes is whole commands that redcon takes.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(read("a")+words("PING")), uint8(1))
	f.Add([]byte(words("BLK.WRITE", "7f3a9c21e0b4d655", "i", params, "")+"garbage"), uint8(5))
	f.Add([]byte("*1\r\n$-1\r\n"), uint8(2))
	f.Add([]byte("*1\r\n$4\r\nPI"), uint8(3))
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		one, two := scanner{lim: testLimits()}, scanner{lim: testLimits()}
		_, whole, err := one.scan(b)
		cut, err2 := 0, error(nil)
		for at := 0; at < len(b) && err2 == nil; {
			end := min(at+int(step%9)+1, len(b))
			var w int
			if _, w, err2 = two.scan(b[at:end]); w > 0 {
				cut = at + w
			}
			at = end
		}
		if cut != whole || (err == nil) != (err2 == nil) {
			t.Fatalf("whole: %d %v; in cuts: %d %v", whole, err, cut, err2)
		}
		commands(t, b[:whole])
	})
}

// FuzzCommand: no words make the parser panic, and what it takes is in bounds.
func FuzzCommand(f *testing.F) {
	f.Add("BLK.READ", "7f3a9c21e0b4d655", "id", params)
	f.Add("BLK.WRITE", "7f3a9c21e0b4d655", "", "c=new,,=,d=1e99")
	f.Add("BLK.READ", "7f3a9c21e0b4d655", "id", "c=read,t=gold,d=,volume=00000003b4d60021,units=,shard=,hosts=")
	lim := testLimits()
	names := testNames(lim)
	f.Fuzz(func(t *testing.T, name, piece, id, list string) {
		q, err := parse([][]byte{[]byte(name), []byte(piece), []byte(id), []byte(list)}, names, 1000)
		if err == nil && (q.Deadline <= 1000 || q.Units <= 0 || q.Units > 8 || q.Class < 0 || q.Class > 1 || q.Shard < -1 ||
			q.Shard > 9 || id == "" || len(id) > lim.MaxID || len(list) > lim.MaxParams) {
			t.Errorf("%+v", q.RequestInfo)
		}
	})
}
