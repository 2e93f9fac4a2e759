package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

// limitDescriptors holds a broker process to the descriptors that a test names.
func limitDescriptors() error {
	v := os.Getenv("POPPYARCH_TEST_DESCRIPTORS")
	if v == "" {
		return nil
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		return err
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
}

// A client disconnects while its request is at a node, which then closes its connection too. The request is idempotent, but
// nobody waits for a retry. QUIT or malformed input before the end of the connection hides it from a plain reader.
func TestNoRetryForADisconnectedBlockClient(t *testing.T) {
	for name, behind := range map[string]string{"close": "", "quit": "*1\r\n$4\r\nQUIT\r\n", "garbage": "garbage\r\n"} {
		t.Run(name, func(t *testing.T) {
			came, gone := make(chan struct{}, 8), make(chan struct{})
			b, c, in, stop := blockRig(t, func(rc redcon.Conn, cmd redcon.Command) bool {
				if string(cmd.Args[2]) != "left" {
					return false
				}
				came <- struct{}{}
				<-gone
				_ = rc.Close() // the connection is lost
				return true
			})
			answerOf(t, c, in, command("BLK.READ", "object-read", "first"), 2) // the broker serves
			send(t, c, command("BLK.READ", "object-read", "left")+behind)
			<-came
			_ = c.Close()
			close(gone)
			stop() // returns when the broker is through with all that it took
			seen := 0
			for _, s := range b.Seen() {
				if s == "BLK.READ left" {
					seen++
				}
			}
			if seen != 1 {
				t.Errorf("%d attempts for a disconnected client, want 1", seen)
			}
		})
	}
}

// The same at the object frontend, where net/http notices a disconnect only once the body is read and nothing follows it.
func TestNoRetryForADisconnectedObjectClient(t *testing.T) {
	for name, request := range map[string]string{
		"close":     "GET /art/x HTTP/1.1\r\nHost: b\r\n\r\n",
		"body":      "GET /art/x HTTP/1.1\r\nHost: b\r\nContent-Length: 5\r\n\r\nhello",
		"pipelined": "GET /art/x HTTP/1.1\r\nHost: b\r\n\r\nGET /art/y HTTP/1.1\r\nHost: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			base, stop := r.broker("")
			home := r.home(base, "/art/x", []byte("value"))
			came, gone := make(chan struct{}, 8), make(chan struct{})
			r.stores[home].SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
				came <- struct{}{}
				<-gone
				panic(http.ErrAbortHandler)
			})
			c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			send(t, c, request)
			<-came
			_ = c.Close()
			close(gone)
			stop()
			if n := count(r.stores[home], "GET /art/"); n != 1 {
				t.Errorf("%d attempts for a disconnected client, want 1", n)
			}
		})
	}
}

// Idle clients hold every descriptor that clients may have while discovery is down. Once it is up its list is read all
// the same, the node that it now names is reached, and a new client is served.
func TestDiscoveryRecoversWhileIdleClientsHoldDescriptors(t *testing.T) {
	const descriptors = 64
	r := newRig(t)
	block := fake.NewBlock()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveBlock(t, block, ln)
	r.disc.SetDown(true)
	text := bytes.Replace(r.configText(`,"listen":"127.0.0.1:0","object":null`), []byte(`"sockets":1024`),
		fmt.Appendf(nil, `"sockets":%d`, descriptors), 1)
	base, p := r.start(text, fmt.Sprint("POPPYARCH_TEST_DESCRIPTORS=", descriptors))
	addr := strings.TrimPrefix(base, "http://")
	for i := range 3 * descriptors {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		closeOnCleanup(t, c)
		if i%2 == 0 { // the others send nothing
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n") // the broker may have closed it
		}
	}
	eventually(t, "failed calls", func() bool { return len(r.disc.Calls()) > 2 })
	r.disc.Set(discovery.Endpoint{ID: "s-0", Addr: ln.Addr().String(), Zone: "room", Shard: 0, State: "up"})
	r.disc.SetDown(false)
	eventually(t, "a reply from the node that the new list names", func() bool {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		setDeadline(t, c, time.Now().Add(patience/4))
		_, _ = io.WriteString(c, command("BLK.READ", "object-read", fmt.Sprint("r", time.Now().UnixNano())))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == "$0\r\n"
	})
	if n := p.log.count("too many open files"); n > 0 {
		t.Errorf("%d times out of descriptors", n)
	}
}

// A broker that was killed and starts again with a long list is ready at once, whether discovery accepts calls and answers
// none or refuses them, with lists that are polled or pushed.
func TestRestartedBrokerIsReadyWithoutDiscovery(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, silent)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	for _, ln := range []net.Listener{silent, closed} {
		for _, how := range []string{"ask", "push"} {
			r := newRig(t)
			for i := range 300 {
				r.disc.Set(discovery.Endpoint{ID: fmt.Sprint("n-", i), Addr: "127.0.0.1:1", Zone: "room", Shard: i % 2, State: "up"})
			}
			text := r.configText(`,"listen":"127.0.0.1:0","object":null`)
			text = bytes.Replace(text, []byte(r.discN.Addr()), []byte(ln.Addr().String()), 1)
			text = bytes.Replace(text, []byte(`"discovery":"ask"`), fmt.Appendf(nil, `"discovery":%q`, how), 1)
			for range 2 {
				began := time.Now()
				base, p := r.start(text)
				c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				setDeadline(t, c, began.Add(10*time.Second))
				if got := answerOf(t, c, bufio.NewReader(c), "*1\r\n$4\r\nPING\r\n", 1); got != "+PONG\r\n" {
					t.Errorf("got %q", got)
				}
				_ = c.Close()
				p.kill()
			}
		}
	}
}

// A reload that moves discovery is followed at once by a drain, with a request at a node: the request is answered.
func TestDrainRightAfterReloadAnswersOpenRequests(t *testing.T) {
	r := newRig(t)
	base, p := r.process()
	home := r.home(base, "/b/k", []byte("x"))
	got, answer := make(chan struct{}), make(chan struct{})
	r.stores[home].SetHook(func(_ http.ResponseWriter, _ *http.Request, next func()) {
		close(got)
		<-answer
		next()
	})
	done := make(chan int, 1)
	go func() { done <- r.do("GET", base+"/b/k", nil).status }()
	<-got
	moved := bytes.Replace(r.configText(""), []byte(r.discN.Addr()), []byte("127.0.0.1:1"), 1)
	tmp := filepath.Join(filepath.Dir(p.config), "new")
	if err := os.WriteFile(tmp, moved, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tmp, p.config); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	p.signal(t, syscall.SIGTERM)
	eventually(t, "a drain", func() bool { return p.log.count("draining") > 0 })
	close(answer)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the open request got %d", status)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// Pushed lists come by a watch as well. Without one a broker would go on sending to draining nodes.
func TestPushedListsAreWatched(t *testing.T) {
	r := newRig(t)
	text := bytes.Replace(r.configText(""), []byte(`"discovery":"ask"`), []byte(`"discovery":"push"`), 1)
	base, _ := r.start(text)
	eventually(t, "a watch", func() bool { return len(r.disc.Calls()) > 1 })
	for i := range 2 {
		r.disc.Set(discovery.Endpoint{ID: fmt.Sprint("s-", i), Addr: r.nodes[i].Addr(), Zone: "room", Shard: i, State: "draining"})
	}
	eventually(t, "nothing goes to nodes that drain", func() bool {
		return r.do("PUT", base+"/b/k", []byte("x")).status == http.StatusServiceUnavailable
	})
}

// Idle clients of the object frontend, and those that send nothing, are closed in favour of new ones.
func TestIdleObjectClientsAreClosedForNewOnes(t *testing.T) {
	r := newRig(t)
	base, _ := r.broker(`,"tuning":{"client_conns":4,"client_stall":1000}`)
	addr := strings.TrimPrefix(base, "http://")
	for i := range 24 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		closeOnCleanup(t, c)
		setDeadline(t, c, time.Now().Add(patience))
		if i%2 == 0 {
			continue
		}
		send(t, c, "GET /_health HTTP/1.1\r\nHost: b\r\n\r\n")
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "200") {
			t.Fatalf("client %d: %q, %v", i, line, err)
		}
	}
}

// A request at a node that never answers, with a deadline far beyond the drain, is answered within the drain time.
func TestObjectDrainAnswersWithinDrainTime(t *testing.T) {
	r := newRig(t)
	base, stop := r.broker(`,"tuning":{"drain_answer":100000,"drain_accept":1000}`)
	home := r.home(base, "/art/x", []byte("value"))
	got := make(chan struct{}, 8)
	hung, release := context.WithCancel(context.Background())
	t.Cleanup(release)
	r.stores[home].SetHook(func(http.ResponseWriter, *http.Request, func()) {
		got <- struct{}{}
		<-hung.Done()
	})
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get(base + "/art/x")
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-got
	stop()
	if s := <-status; s != http.StatusGatewayTimeout && s != http.StatusInternalServerError {
		t.Errorf("the open request got %d", s)
	}
}

// A duplicate of a response may come some milliseconds after it, here as soon as the next request on the same connection.
// It must not be taken for the response to that request.
func TestLateDuplicateResponseIsNotUsedForTheNextRequest(t *testing.T) {
	const late = 10 * time.Millisecond
	var last struct {
		sync.Mutex
		conn redcon.Conn
		id   string
		at   time.Time
	}
	answer := func(rc redcon.Conn, id string) {
		rc.WriteArray(3)
		rc.WriteBulkString(id)
		rc.WriteNull()
		rc.WriteNull()
	}
	_, c, in, _ := blockRig(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		id := string(cmd.Args[2])
		last.Lock()
		defer last.Unlock()
		if rc == last.conn && time.Since(last.at) < late {
			answer(rc, last.id)
		}
		answer(rc, id)
		last.conn, last.id, last.at = rc, id, time.Now() // requests come one after the other
		return true
	})
	for i := range 40 {
		id := fmt.Sprint("id", i)
		if got, want := answerOf(t, c, in, command("BLK.READ", "object-read", id), 2), fmt.Sprintf("$%d\r\n%s\r\n", len(id), id); got != want {
			t.Fatalf("request %s got %q", id, got)
		}
		time.Sleep(late / 2) // a slower machine tests less and fails no more
	}
}
