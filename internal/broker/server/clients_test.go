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

// A client disconnects while its request is at a node, which then closes its connection too. The request is idempotent,
// but it must not be retried, because no client waits for the response. In two of the cases input follows the request
// (QUIT or malformed input), and a plain reader would see this input instead of the end of the connection.
func TestNoRetryForADisconnectedBlockClient(t *testing.T) {
	for name, trailing := range map[string]string{"close": "", "quit": "*1\r\n$4\r\nQUIT\r\n", "garbage": "garbage\r\n"} {
		t.Run(name, func(t *testing.T) {
			received, disconnected := make(chan struct{}, 8), make(chan struct{})
			b, c, in, stop := startBlockBroker(t, func(rc redcon.Conn, cmd redcon.Command) bool {
				if string(cmd.Args[2]) != "abandoned" {
					return false
				}
				received <- struct{}{}
				<-disconnected
				_ = rc.Close() // the broker loses the connection
				return true
			})
			sendAndRead(t, c, in, blockCommand("BLK.READ", "object-read", "first"), 2) // the broker is ready
			send(t, c, blockCommand("BLK.READ", "object-read", "abandoned")+trailing)
			<-received
			_ = c.Close()
			close(disconnected)
			stop() // returns when the broker has finished all accepted requests
			attempts := 0
			for _, s := range b.Commands() {
				if s == "BLK.READ abandoned" {
					attempts++
				}
			}
			if attempts != 1 {
				t.Errorf("%d attempts for a disconnected client, want 1", attempts)
			}
		})
	}
}

// The same for the object frontend: net/http detects a disconnect only after the request body has been read and only if
// no further input follows it.
func TestNoRetryForADisconnectedObjectClient(t *testing.T) {
	for name, request := range map[string]string{
		"close":     "GET /art/x HTTP/1.1\r\nHost: b\r\n\r\n",
		"body":      "GET /art/x HTTP/1.1\r\nHost: b\r\nContent-Length: 5\r\n\r\nhello",
		"pipelined": "GET /art/x HTTP/1.1\r\nHost: b\r\n\r\nGET /art/y HTTP/1.1\r\nHost: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			base, stop := f.startBroker("")
			storeIndex := f.putObject(base, "/art/x", []byte("value"))
			received, disconnected := make(chan struct{}, 8), make(chan struct{})
			f.stores[storeIndex].SetHook(func(w http.ResponseWriter, q *http.Request, next func()) {
				received <- struct{}{}
				<-disconnected
				panic(http.ErrAbortHandler)
			})
			c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			send(t, c, request)
			<-received
			_ = c.Close()
			close(disconnected)
			stop()
			if n := countRequests(f.stores[storeIndex], "GET /art/"); n != 1 {
				t.Errorf("%d attempts for a disconnected client, want 1", n)
			}
		})
	}
}

// With all client connections in use, the object frontend closes idle connections and those that never sent a request,
// so that new clients are served.
func TestIdleObjectClientsAreClosedForNewOnes(t *testing.T) {
	f := newFixture(t)
	base, _ := f.startBroker(`,"tuning":{"client_conns":4,"client_stall":1000}`)
	addr := strings.TrimPrefix(base, "http://")
	for i := range 24 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		closeOnCleanup(t, c)
		setDeadline(t, c, time.Now().Add(testTimeout))
		if i%2 == 0 {
			continue
		}
		send(t, c, "GET /_health HTTP/1.1\r\nHost: b\r\n\r\n")
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "200") {
			t.Fatalf("client %d got %q, error %v", i, line, err)
		}
	}
}

// A request is at a node that never answers, and its deadline is long after the end of the drain. It is answered within
// the drain time.
func TestObjectDrainAnswersWithinDrainTime(t *testing.T) {
	f := newFixture(t)
	base, stop := f.startBroker(`,"tuning":{"drain_answer":100000,"drain_accept":1000}`)
	storeIndex := f.putObject(base, "/art/x", []byte("value"))
	received := make(chan struct{}, 8)
	hung, release := context.WithCancel(context.Background())
	t.Cleanup(release)
	f.stores[storeIndex].SetHook(func(http.ResponseWriter, *http.Request, func()) {
		received <- struct{}{}
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
	<-received
	stop()
	if s := <-status; s != http.StatusGatewayTimeout && s != http.StatusInternalServerError {
		t.Errorf("the request in flight got status %d, want 504 or 500", s)
	}
}
