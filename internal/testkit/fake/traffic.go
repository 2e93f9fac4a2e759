package fake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic runs clients of the block and object frontends. They check that each request gets the response made for it,
// and only one. A client that loses its broker turns to the next one.
type Traffic struct {
	BlockAddrs     []string // addresses of block frontends
	ObjectAddrs    []string // addresses of object frontends
	ReadClass      string   // class of reads
	WriteClass     string   // class of writes, which must never be executed twice
	Plan           string
	Shards         int           // number of shards
	Volume         uint64        // volume of all block clients; 0 means a volume for each
	Clients        int           // number of clients for each frontend protocol
	Pause          time.Duration // between two requests of a client
	RequestTimeout time.Duration // 0 means 10 s

	Served         atomic.Int64
	Refused        atomic.Int64
	Failed         atomic.Int64 // answered with an error
	Disconnected   atomic.Int64 // the connection ended before the response
	TimedOut       atomic.Int64 // no response within the timeout
	ConnectFailed  atomic.Int64 // a connection could not be opened, so nothing was sent
	WrongResponses atomic.Int64 // a response for another request, or a second response

	mu                   sync.Mutex
	wrongResponseDetails []string // descriptions of the first ten wrong responses
	lastID               atomic.Int64
}

// Sent counts the requests that were written to a connection.
func (t *Traffic) Sent() int64 {
	return t.Served.Load() + t.Refused.Load() + t.Failed.Load() + t.Disconnected.Load() + t.TimedOut.Load() + t.WrongResponses.Load()
}

// String summarizes the outcomes of all requests.
func (t *Traffic) String() string {
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d disconnected, %d timed out, %d with a wrong or second response",
		t.Sent(), t.Served.Load(), t.Refused.Load(), t.Failed.Load(), t.Disconnected.Load(), t.TimedOut.Load(), t.WrongResponses.Load())
}

// WrongResponseDetails describes the first ten wrong responses.
func (t *Traffic) WrongResponseDetails() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.wrongResponseDetails...)
}

func (t *Traffic) reportWrong(format string, args ...any) {
	t.WrongResponses.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.wrongResponseDetails) < 10 {
		t.wrongResponseDetails = append(t.wrongResponseDetails, fmt.Sprintf(format, args...))
	}
}

// Run sends requests until ctx is done, and returns when each has been answered or has timed out.
func (t *Traffic) Run(ctx context.Context) {
	if t.RequestTimeout == 0 {
		t.RequestTimeout = 10 * time.Second
	}
	var clients sync.WaitGroup
	for k := range t.Clients {
		if len(t.BlockAddrs) > 0 {
			clients.Go(func() { t.runBlockClient(ctx, k) })
		}
		if len(t.ObjectAddrs) > 0 {
			clients.Go(func() { t.runObjectClient(ctx, k) })
		}
	}
	clients.Wait()
}

// conn is a client's connection to a block frontend.
type conn struct {
	net.Conn
	r *bufio.Reader
}

// dial returns a connection to a block frontend, or nil if it cannot be opened.
func (t *Traffic) dial(ctx context.Context, addr string) *conn {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil
	}
	return &conn{c, bufio.NewReader(c)}
}

// runBlockClient runs block client k until ctx is done. Every third request is a read.
func (t *Traffic) runBlockClient(ctx context.Context, k int) {
	broker, volume := k, t.Volume
	if volume == 0 {
		volume = uint64(k + 1)
	}
	var c *conn
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if c != nil && c.stale() {
			_ = c.Close()
			c = nil
		}
		if c == nil {
			broker++
			if c = t.dial(ctx, t.BlockAddrs[broker%len(t.BlockAddrs)]); c == nil {
				t.ConnectFailed.Add(1)
				t.pause(ctx)
				continue
			}
		}
		id := strconv.FormatInt(t.lastID.Add(1), 10)
		class, words := t.WriteClass, []string{"BLK.WRITE"}
		if n%3 == 2 {
			class, words = t.ReadClass, []string{"BLK.READ"}
		}
		shard, _ := strconv.Atoi(id)
		shard %= max(t.Shards, 1)
		piece := fmt.Sprintf("%016x", 1<<40+t.lastID.Load()*7919+int64(k))
		want := "v-" + id
		words = append(words, piece, id, fmt.Sprintf("c=%s,t=%s,d=%d,volume=%016x,units=1,shard=%d,hosts=%d", class, t.Plan,
			t.RequestTimeout.Milliseconds()/2, volume, shard, len(t.BlockAddrs)))
		if class == t.WriteClass {
			words = append(words, want)
		} else {
			want = ""
		}
		if !t.roundTrip(c, words, want) {
			_ = c.Close()
			c = nil
		}
		t.pause(ctx)
	}
}

func (t *Traffic) pause(ctx context.Context) {
	p := time.NewTimer(t.Pause)
	defer p.Stop()
	select {
	case <-p.C:
	case <-ctx.Done():
	}
}

// stale reports whether the broker has closed the idle connection or has sent something without a request.
func (c *conn) stale() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	var ne net.Error
	return !errors.As(err, &ne) || !ne.Timeout()
}

// roundTrip sends a command, reads the reply and counts the outcome. It reports whether the connection can be reused.
// want is the expected value; "" accepts any.
func (t *Traffic) roundTrip(c *conn, words []string, want string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	_ = c.SetDeadline(time.Now().Add(t.RequestTimeout))
	if _, err := c.Write(b.Bytes()); err != nil {
		t.Disconnected.Add(1)
		return false
	}
	got, replyType, err := readReply(c.r)
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		t.TimedOut.Add(1)
	case err != nil:
		t.Disconnected.Add(1)
	case replyType == '-' && strings.HasPrefix(got, "BUSY"):
		t.Refused.Add(1)
		return true
	case replyType == '-':
		t.Failed.Add(1)
		return true
	case got != want && want != "":
		t.reportWrong("%v: got %q, want %q", words[:3], got, want)
	default:
		t.Served.Add(1)
		return true
	}
	return false
}

// readReply reads a RESP reply and returns its text, which for an array is that of the first element, and its type
// byte.
func readReply(r *bufio.Reader) (text string, replyType byte, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", 0, errors.New("RESP reply begins with an empty line")
	}
	switch replyType = line[0]; replyType {
	case '-', '+', ':':
		return line[1:], replyType, nil
	case '$':
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 {
			return "", replyType, err
		}
		b := make([]byte, n+2)
		_, err = io.ReadFull(r, b)
		return string(b[:n]), replyType, err
	case '*':
		n, err := strconv.Atoi(line[1:])
		if err != nil {
			return "", replyType, err
		}
		for k := range n {
			s, _, err := readReply(r)
			if err != nil {
				return "", replyType, err
			}
			if k == 0 {
				text = s
			}
		}
		return text, replyType, nil
	}
	return "", replyType, fmt.Errorf("RESP reply of unknown type: %q", line)
}

// runObjectClient runs object client k until ctx is done. It writes objects and reads each back.
func (t *Traffic) runObjectClient(ctx context.Context, k int) {
	tr := &http.Transport{MaxIdleConnsPerHost: 1}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: t.RequestTimeout}
	broker := k
	do := func(method, url, body string) (int, string, error) {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return 0, "", err
		}
		resp, err := client.Do(req)
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), err
	}
	for ctx.Err() == nil {
		id := t.lastID.Add(1)
		url := fmt.Sprintf("http://%s/load/k%d", t.ObjectAddrs[broker%len(t.ObjectAddrs)], id)
		value := fmt.Sprint("v-", id)
		for _, method := range []string{http.MethodPut, http.MethodGet} {
			body := ""
			if method == http.MethodPut {
				body = value
			}
			status, got, err := do(method, url, body)
			var op *net.OpError
			if err != nil {
				broker++
				switch {
				case errors.As(err, &op) && op.Op == "dial":
					t.ConnectFailed.Add(1)
					t.pause(ctx)
				case strings.Contains(err.Error(), "Client.Timeout"):
					t.TimedOut.Add(1)
				default:
					t.Disconnected.Add(1)
				}
				break
			}
			switch {
			case status == http.StatusServiceUnavailable:
				t.Refused.Add(1)
			case status != http.StatusOK:
				t.Failed.Add(1)
			case method == http.MethodGet && got != value:
				t.reportWrong("GET %s: got %q, want %q", url, got, value)
			default:
				t.Served.Add(1)
			}
			if status != http.StatusOK {
				break
			}
		}
		t.pause(ctx)
	}
}

// RepeatedWrites returns the writes that occur more than once in the results of BlockServer.Commands of several
// servers.
func RepeatedWrites(commandLists ...[]string) (repeated []string) {
	count := map[string]int{}
	for _, commands := range commandLists {
		for _, command := range commands {
			if strings.HasPrefix(command, "BLK.WRITE ") {
				count[command]++
				if count[command] == 2 {
					repeated = append(repeated, command)
				}
			}
		}
	}
	return repeated
}
