package server

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

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
