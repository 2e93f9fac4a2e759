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

// Traffic is clients of both fronts that check every answer: it must be the one made for their request, and no more
// than one. A client whose broker goes away turns to the next.
type Traffic struct {
	Blocks   []string // block fronts
	Objects  []string // object fronts
	Read     string   // class of reads
	Write    string   // class that never runs twice
	Plan     string
	Shards   int
	Volume   uint64        // of the block clients; 0: one each
	Clients  int           // of each kind
	Pause    time.Duration // between two requests of a client
	Patience time.Duration // how long an answer is waited for

	Served    atomic.Int64
	Refused   atomic.Int64
	Failed    atomic.Int64 // answered so
	Broken    atomic.Int64 // the connection ended without an answer
	Silent    atomic.Int64 // no answer in time
	Unreached atomic.Int64 // connections that no broker took; nothing was sent
	Wrong     atomic.Int64 // an answer that was not made for the request, or a second one

	mu   sync.Mutex
	what []string // the first few that were wrong
	seq  atomic.Int64
}

// Sent counts the requests that were written to a connection.
func (t *Traffic) Sent() int64 {
	return t.Served.Load() + t.Refused.Load() + t.Failed.Load() + t.Broken.Load() + t.Silent.Load() + t.Wrong.Load()
}

// String sums it up.
func (t *Traffic) String() string {
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d cut off, %d without an answer, %d with a wrong or second one",
		t.Sent(), t.Served.Load(), t.Refused.Load(), t.Failed.Load(), t.Broken.Load(), t.Silent.Load(), t.Wrong.Load())
}

// Complaints lists the first few wrong answers.
func (t *Traffic) Complaints() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.what...)
}

func (t *Traffic) wrong(format string, args ...any) {
	t.Wrong.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.what) < 10 {
		t.what = append(t.what, fmt.Sprintf(format, args...))
	}
}

// Run drives traffic until ctx is done, and returns when every answer that is owed has come or is overdue.
func (t *Traffic) Run(ctx context.Context) {
	if t.Patience == 0 {
		t.Patience = 10 * time.Second
	}
	var all sync.WaitGroup
	for k := range t.Clients {
		if len(t.Blocks) > 0 {
			all.Go(func() { t.blocks(ctx, k) })
		}
		if len(t.Objects) > 0 {
			all.Go(func() { t.objects(ctx, k) })
		}
	}
	all.Wait()
}

// conn is a client's connection to a block front.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func (t *Traffic) dial(ctx context.Context, addr string) *conn {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil
	}
	return &conn{c, bufio.NewReader(c)}
}

func (t *Traffic) blocks(ctx context.Context, k int) {
	at, volume := k, t.Volume
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
			at++
			if c = t.dial(ctx, t.Blocks[at%len(t.Blocks)]); c == nil {
				t.Unreached.Add(1)
				t.rest(ctx)
				continue
			}
		}
		id := strconv.FormatInt(t.seq.Add(1), 10)
		class, words := t.Write, []string{"BLK.WRITE"}
		if n%3 == 2 {
			class, words = t.Read, []string{"BLK.READ"}
		}
		shard, _ := strconv.Atoi(id)
		shard %= max(t.Shards, 1)
		piece := fmt.Sprintf("%016x", 1<<40+t.seq.Load()*7919+int64(k))
		want := "v-" + id
		words = append(words, piece, id, fmt.Sprintf("c=%s,t=%s,d=%d,volume=%016x,units=1,shard=%d,hosts=%d", class, t.Plan,
			t.Patience.Milliseconds()/2, volume, shard, len(t.Blocks)))
		if class == t.Write {
			words = append(words, want)
		} else {
			want = ""
		}
		if !t.ask(c, words, want) {
			_ = c.Close()
			c = nil
		}
		t.rest(ctx)
	}
}

func (t *Traffic) rest(ctx context.Context) {
	p := time.NewTimer(t.Pause)
	defer p.Stop()
	select {
	case <-p.C:
	case <-ctx.Done():
	}
}

// stale reports whether the broker has closed an idle connection, or has sent what nobody asked for.
func (c *conn) stale() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	var ne net.Error
	return !errors.As(err, &ne) || !ne.Timeout()
}

// ask sends one command and reads its answer. It reports whether the connection can go on.
func (t *Traffic) ask(c *conn, words []string, want string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	_ = c.SetDeadline(time.Now().Add(t.Patience))
	if _, err := c.Write(b.Bytes()); err != nil {
		t.Broken.Add(1)
		return false
	}
	got, kind, err := answer(c.r)
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		t.Silent.Add(1)
	case err != nil:
		t.Broken.Add(1)
	case kind == '-' && strings.HasPrefix(got, "BUSY"):
		t.Refused.Add(1)
		return true
	case kind == '-':
		t.Failed.Add(1)
		return true
	case got != want && want != "":
		t.wrong("%v: %q", words[:3], got)
	default:
		t.Served.Add(1)
		return true
	}
	return false
}

// answer reads one reply and returns its first string.
func answer(r *bufio.Reader) (text string, kind byte, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" {
		return "", 0, errors.New("empty line")
	}
	switch kind = line[0]; kind {
	case '-', '+', ':':
		return line[1:], kind, nil
	case '$':
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 {
			return "", kind, err
		}
		b := make([]byte, n+2)
		_, err = io.ReadFull(r, b)
		return string(b[:n]), kind, err
	case '*':
		n, err := strconv.Atoi(line[1:])
		if err != nil {
			return "", kind, err
		}
		for k := range n {
			s, _, err := answer(r)
			if err != nil {
				return "", kind, err
			}
			if k == 0 {
				text = s
			}
		}
		return text, kind, nil
	}
	return "", kind, fmt.Errorf("reply %q", line)
}

func (t *Traffic) objects(ctx context.Context, k int) {
	tr := &http.Transport{MaxIdleConnsPerHost: 1}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: t.Patience}
	at := k
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
		id := t.seq.Add(1)
		url := fmt.Sprintf("http://%s/load/k%d", t.Objects[at%len(t.Objects)], id)
		value := fmt.Sprint("v-", id)
		for _, method := range []string{http.MethodPut, http.MethodGet} {
			body := ""
			if method == http.MethodPut {
				body = value
			}
			status, got, err := do(method, url, body)
			var op *net.OpError
			if err != nil {
				at++
				switch {
				case errors.As(err, &op) && op.Op == "dial":
					t.Unreached.Add(1)
					t.rest(ctx)
				case strings.Contains(err.Error(), "Client.Timeout"):
					t.Silent.Add(1)
				default:
					t.Broken.Add(1)
				}
				break
			}
			switch {
			case status == http.StatusServiceUnavailable:
				t.Refused.Add(1)
			case status != http.StatusOK:
				t.Failed.Add(1)
			case method == http.MethodGet && got != value:
				t.wrong("GET %s: %q", url, got)
			default:
				t.Served.Add(1)
			}
			if status != http.StatusOK {
				break
			}
		}
		t.rest(ctx)
	}
}

// Twice lists the ids among a node's commands that came more than once with a class that must not.
func Twice(seen ...[]string) (out []string) {
	n := map[string]int{}
	for _, list := range seen {
		for _, s := range list {
			if strings.HasPrefix(s, "BLK.WRITE ") {
				n[s]++
				if n[s] == 2 {
					out = append(out, s)
				}
			}
		}
	}
	return out
}
