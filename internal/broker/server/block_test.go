package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

// A node sends a duplicate of a response on the same connection when it gets the next request within 10 ms. The broker
// must not take it for the response to that request.
func TestLateDuplicateResponseIsNotUsedForTheNextRequest(t *testing.T) {
	const maxDuplicateDelay = 10 * time.Millisecond
	var previous struct {
		sync.Mutex
		conn redcon.Conn
		id   string
		at   time.Time
	}
	reply := func(rc redcon.Conn, id string) {
		rc.WriteArray(3)
		rc.WriteBulkString(id)
		rc.WriteNull()
		rc.WriteNull()
	}
	_, c, in, _ := startBlockBroker(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		id := string(cmd.Args[2])
		previous.Lock()
		defer previous.Unlock()
		if rc == previous.conn && time.Since(previous.at) < maxDuplicateDelay {
			reply(rc, previous.id)
		}
		reply(rc, id)
		previous.conn, previous.id, previous.at = rc, id, time.Now() // requests come one after the other
		return true
	})
	for i := range 40 {
		id := fmt.Sprint("id", i)
		if got, want := sendAndRead(t, c, in, blockCommand("BLK.READ", "object-read", id), 2), fmt.Sprintf("$%d\r\n%s\r\n", len(id), id); got != want {
			t.Fatalf("request %s got %q, want %q", id, got, want)
		}
		time.Sleep(maxDuplicateDelay / 2) // on a slow machine fewer duplicates are sent, but the test does not fail
	}
}

// startBlockBroker starts a block node, a broker whose endpoint list names it, and a client connection to the broker.
// hook may be nil.
func startBlockBroker(t testing.TB, hook func(redcon.Conn, redcon.Command) bool) (*fake.BlockServer, net.Conn, *bufio.Reader, func()) {
	t.Helper()
	return startBlockBrokerWith(t, hook, func(text string) string { return text })
}

// startBlockBrokerWith is startBlockBroker with a configuration that edit has changed.
func startBlockBrokerWith(t testing.TB, hook func(redcon.Conn, redcon.Command) bool, edit func(config string) string) (
	*fake.BlockServer, net.Conn, *bufio.Reader, func()) {
	t.Helper()
	f := newFixture(t)
	b := fake.NewBlockServer()
	b.SetHook(hook)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveBlock(t, b, ln)
	f.discovery.SetEndpoints(discovery.Endpoint{ID: "s-0", Addr: ln.Addr().String(), Zone: "room", Shard: 0, State: "up"})
	base, stop := f.startBrokerWith([]byte(edit(string(f.configText(`,"listen":"127.0.0.1:0","object":null`)))))
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, c)
	setDeadline(t, c, time.Now().Add(testTimeout))
	return b, c, bufio.NewReader(c), stop
}

// blockCommand returns a command of the block protocol with the given request ID.
func blockCommand(name, class, id string, body ...string) string {
	w := append([]string{name, "7f3a9c21e0b4d655", id,
		"c=" + class + ",t=basis,d=20000,volume=00000003b4d60021,units=1,shard=0,hosts=1"}, body...)
	out := fmt.Sprintf("*%d\r\n", len(w))
	for _, s := range w {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(s), s)
	}
	return out
}

// sendAndRead sends a command and returns the given number of response lines.
func sendAndRead(t testing.TB, c net.Conn, in *bufio.Reader, cmd string, lines int) (out string) {
	t.Helper()
	send(t, c, cmd)
	for range lines {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatalf("got %q: %v", out+line, err)
		}
		out += line
	}
	return out
}

func TestBlockReadReturnsWhatWasWritten(t *testing.T) {
	_, c, in, _ := startBlockBroker(t, nil)
	if got := sendAndRead(t, c, in, blockCommand("BLK.WRITE", "object-complete", "w1", "hello"), 2); got != "$5\r\nhello\r\n" {
		t.Errorf("write got %q", got)
	}
	if got := sendAndRead(t, c, in, blockCommand("BLK.READ", "object-read", "r1"), 2); got != "$5\r\nhello\r\n" {
		t.Errorf("read got %q", got)
	}
}

// A node closes the connection after it has received a request. The broker retries the request only if it is
// idempotent; otherwise the request fails.
func TestLostNodeConnectionRetriesOnlyIdempotentRequests(t *testing.T) {
	var requests atomic.Int32
	b, c, in, _ := startBlockBroker(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		if requests.Add(1)%2 == 0 {
			return false
		}
		_ = rc.Close() // the broker loses the connection
		return true
	})
	if got := sendAndRead(t, c, in, blockCommand("BLK.READ", "object-read", "idempotent"), 2); got != "$0\r\n\r\n" {
		t.Errorf("idempotent request got %q", got)
	}
	if got := sendAndRead(t, c, in, blockCommand("BLK.WRITE", "object-complete", "not-idempotent", "x"), 1); got != "-ERR failed\r\n" {
		t.Errorf("request that is not idempotent got %q", got)
	}
	received := map[string]int{}
	for _, s := range b.Commands() {
		received[s]++
	}
	if received["BLK.READ idempotent"] != 2 || received["BLK.WRITE not-idempotent"] != 1 {
		t.Errorf("the node received %v, want two attempts of the idempotent request and one of the other", received)
	}
}

// An attempt that the node rejects was not executed, so it is retried even if the request is not idempotent.
func TestRejectedAttemptIsRetried(t *testing.T) {
	var attempts atomic.Int32
	_, c, in, _ := startBlockBroker(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		if attempts.Add(1) > 1 {
			return false
		}
		rc.WriteError("BUSY")
		return true
	})
	if got := sendAndRead(t, c, in, blockCommand("BLK.WRITE", "object-complete", "w", "x"), 2); got != "$1\r\nx\r\n" {
		t.Errorf("got %q", got)
	}
}

// Guards against a lost update: writes to one key of an ordered class that a client sends together are executed in the
// order in which it has sent them.
func TestOrderedWritesSentTogetherAreExecutedInOrder(t *testing.T) {
	const rounds, writes = 10, 8
	node, c, in, _ := startBlockBrokerWith(t, nil, func(config string) string {
		return strings.NewReplacer(`{"name":"object-write",`, `{"name":"object-write","by_arrival":true,`,
			`"contract":{`, `"contract":{"key_quiet_ns":200000000,`).Replace(config)
	})
	for round := range rounds {
		var commands, want string
		var order []string
		for i := range writes {
			id := fmt.Sprintf("round%d-%d", round, i)
			commands += blockCommand("BLK.WRITE", "object-write", id, id)
			want += fmt.Sprintf("$%d\r\n%s\r\n", len(id), id)
			order = append(order, "BLK.WRITE "+id)
		}
		if got := sendAndRead(t, c, in, commands, 2*writes); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		executed := node.Commands()
		if got := executed[len(executed)-writes:]; !slices.Equal(got, order) {
			t.Errorf("executed in the order %v", got)
		}
	}
}

// A request that is at a node when the drain starts is answered. Then the broker closes the client connection.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	_, c, in, stop := startBlockBroker(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		close(received)
		<-release
		return false
	})
	send(t, c, blockCommand("BLK.WRITE", "object-complete", "w", "x"))
	<-received
	stopped := make(chan struct{})
	go func() {
		stop()
		close(stopped)
	}()
	close(release)
	if got := sendAndRead(t, c, in, "", 2); got != "$1\r\nx\r\n" {
		t.Errorf("got %q", got)
	}
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("after the response: read %q, error %v, want the end of the connection", rest, err)
	}
	<-stopped
}
