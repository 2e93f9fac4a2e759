package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

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

// blockRig starts one block node, which the endpoint list names, and a broker, and connects to the broker.
func blockRig(t *testing.T, hook func(redcon.Conn, redcon.Command) bool) (*fake.Block, net.Conn, *bufio.Reader, func()) {
	t.Helper()
	r := newRig(t)
	b := fake.NewBlock()
	b.SetHook(hook)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveBlock(t, b, ln)
	r.disc.Set(discovery.Endpoint{ID: "s-0", Addr: ln.Addr().String(), Zone: "room", Shard: 0, State: "up"})
	base, stop := r.broker(`,"listen":"127.0.0.1:0","object":null`)
	c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, c)
	setDeadline(t, c, time.Now().Add(patience))
	return b, c, bufio.NewReader(c), stop
}

func command(name, class, id string, body ...string) string {
	w := append([]string{name, "7f3a9c21e0b4d655", id,
		"c=" + class + ",t=basis,d=20000,volume=00000003b4d60021,units=1,shard=0,hosts=1"}, body...)
	out := fmt.Sprintf("*%d\r\n", len(w))
	for _, s := range w {
		out += fmt.Sprintf("$%d\r\n%s\r\n", len(s), s)
	}
	return out
}

func answerOf(t *testing.T, c net.Conn, in *bufio.Reader, cmd string, lines int) (out string) {
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
	_, c, in, _ := blockRig(t, nil)
	if got := answerOf(t, c, in, command("BLK.WRITE", "object-complete", "w1", "hello"), 2); got != "$5\r\nhello\r\n" {
		t.Errorf("write: %q", got)
	}
	if got := answerOf(t, c, in, command("BLK.READ", "object-read", "r1"), 2); got != "$5\r\nhello\r\n" {
		t.Errorf("read: %q", got)
	}
}

// A node closes the connection after it got a request: only an idempotent request is retried, another one fails.
func TestLostNodeConnectionRetriesOnlyIdempotentRequests(t *testing.T) {
	var broke atomic.Int32
	b, c, in, _ := blockRig(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		if broke.Add(1)%2 == 0 {
			return false
		}
		_ = rc.Close() // the connection is lost
		return true
	})
	if got := answerOf(t, c, in, command("BLK.READ", "object-read", "safe"), 2); got != "$0\r\n\r\n" {
		t.Errorf("safe: %q", got)
	}
	if got := answerOf(t, c, in, command("BLK.WRITE", "object-complete", "unsafe", "x"), 1); got != "-ERR failed\r\n" {
		t.Errorf("unsafe: %q", got)
	}
	seen := map[string]int{}
	for _, s := range b.Seen() {
		seen[s]++
	}
	if seen["BLK.READ safe"] != 2 || seen["BLK.WRITE unsafe"] != 1 {
		t.Errorf("the node saw %v", seen)
	}
}

// A rejected attempt was not executed: it is retried, idempotent or not.
func TestRejectedAttemptIsRetried(t *testing.T) {
	var n atomic.Int32
	_, c, in, _ := blockRig(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		if n.Add(1) > 1 {
			return false
		}
		rc.WriteError("BUSY")
		return true
	})
	if got := answerOf(t, c, in, command("BLK.WRITE", "object-complete", "w", "x"), 2); got != "$1\r\nx\r\n" {
		t.Errorf("got %q", got)
	}
}

func TestDrainAnswersAcceptedRequests(t *testing.T) {
	got, answer := make(chan struct{}), make(chan struct{})
	_, c, in, stop := blockRig(t, func(rc redcon.Conn, cmd redcon.Command) bool {
		close(got)
		<-answer
		return false
	})
	send(t, c, command("BLK.WRITE", "object-complete", "w", "x"))
	<-got
	ended := make(chan struct{})
	go func() {
		stop()
		close(ended)
	}()
	close(answer)
	if got := answerOf(t, c, in, "", 2); got != "$1\r\nx\r\n" {
		t.Errorf("got %q", got)
	}
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("then %q, %v", rest, err)
	}
	<-ended
}
