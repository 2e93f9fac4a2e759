// Case 1: during a planned restart the object frontend reads requests and closes their connections without an answer.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"poppyarch-review/kit"
)

// Times after SIGTERM.
const (
	firstConnect = 200 * time.Millisecond // new connections keep coming for 0.2 to 0.4 s
	lastConnect  = 380 * time.Millisecond
	killAfter    = 4 * time.Second        // SIGKILL comes no sooner than 3 s (the longest deadline counts as 3 s) and 0.7 s
	excusedUntil = 700 * time.Millisecond // what came earlier and SIGKILL finds unanswered is not lost
)

// client is a client that connects, and later sends one request on this connection.
type client struct {
	name    string
	connect time.Duration // after SIGTERM; negative: before it
	send    time.Duration // after SIGTERM
	request string
}

func main() { kit.Main(run) }

func run(c *kit.Case) int {
	var targets []kit.Target
	for shard := range 2 {
		n := c.StartObjectNode(fmt.Sprintf("node %d", shard))
		targets = append(targets, kit.Target{UID: fmt.Sprintf("s-%d", shard), Endpoint: n.Addr, AZ: "room", Model: "m1",
			PodGroup: shard, State: "up", CapacityHint: 1})
	}
	_, discovery := c.StartDiscovery(targets...)
	broker, addr := c.StartObjectBroker(discovery, false)
	if status, _, _, err := c.Do("PUT", addr, "/artwork/sheet", []byte("first version")); err != nil || status != 200 {
		kit.Fail("PUT: status %d, %v", status, err)
	}

	clients := []client{
		{"A", -500 * time.Millisecond, 100 * time.Millisecond, get()},
		{"B", -500 * time.Millisecond, 900 * time.Millisecond, put("B")},
		{"C", -500 * time.Millisecond, 1800 * time.Millisecond, get()},
		{"D", firstConnect, 300 * time.Millisecond, put("D")},
		{"E", firstConnect, 700 * time.Millisecond, put("E")},
		{"F", lastConnect, 800 * time.Millisecond, get()},
		{"G", lastConnect, 1200 * time.Millisecond, put("G")},
		{"H", lastConnect, 2500 * time.Millisecond, get()},
	}
	sigterm := time.Now().Add(time.Second)
	var running sync.WaitGroup
	results := make([]string, len(clients))
	for i := range clients {
		running.Go(func() { results[i] = clients[i].run(c, addr, sigterm) })
	}
	time.Sleep(time.Until(sigterm))
	if c.Trouble {
		broker.Signal(syscall.SIGTERM)
		c.Logf("broker: SIGTERM")
	}
	time.Sleep(time.Until(sigterm.Add(killAfter)))
	if c.Trouble && !broker.Exited() {
		broker.Signal(syscall.SIGKILL)
		c.Logf("broker: SIGKILL")
	}
	running.Wait()
	for _, line := range strings.Split(strings.TrimSpace(broker.Log()), "\n") {
		c.Logf("broker log: %s", line)
	}
	lost := 0
	for i, r := range results {
		c.Logf("client %s: %s", clients[i].name, r)
		if strings.HasPrefix(r, "LOST") {
			lost++
		}
	}
	if lost > 0 {
		c.Logf("result: rule broken: %d of %d requests were read and never answered", lost, len(clients))
		return kit.Broken
	}
	c.Logf("result: rule held")
	return kit.Held
}

func get() string { return "GET /artwork/sheet HTTP/1.1\r\nHost: objects\r\n\r\n" }

func put(name string) string {
	body := "version of " + name
	return fmt.Sprintf("PUT /artwork/sheet-%s HTTP/1.1\r\nHost: objects\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
}

// run returns what became of the request. A request counts as lost if the broker's machine had accepted the connection,
// the broker had not closed it when the request's last byte was written, and the broker then ended it in order (a close
// over unread bytes would have reset it) without one byte of an answer.
func (k *client) run(c *kit.Case, addr string, sigterm time.Time) string {
	time.Sleep(time.Until(sigterm.Add(k.connect)))
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "not accepted: " + err.Error()
	}
	defer func() { _ = conn.Close() }()
	c.Logf("client %s: connected", k.name)
	time.Sleep(time.Until(sigterm.Add(k.send)))
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		return "closed by the broker before the request was sent"
	}
	if _, err := io.WriteString(conn, k.request); err != nil {
		return "closed by the broker before the request was written"
	}
	sent := time.Now()
	line, _, _ := strings.Cut(k.request, "\r\n")
	c.Logf("client %s: sent %s, %.0f ms after SIGTERM", k.name, line, sent.Sub(sigterm).Seconds()*1000)
	_ = conn.SetReadDeadline(sent.Add(20 * time.Second)) // the class's deadline
	reader := bufio.NewReader(conn)
	if _, err = reader.Peek(1); err == nil {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "LOST: no whole answer: " + err.Error()
		}
		_, err = io.ReadAll(resp.Body)
		return fmt.Sprintf("answered: %s (body: %v)", resp.Status, err)
	}
	after := time.Since(sent).Seconds() * 1000
	if time.Since(sigterm) >= killAfter && k.send <= excusedUntil {
		return fmt.Sprintf("not counted: found unanswered by SIGKILL, sent at most 0.7 s after SIGTERM: %v", err)
	}
	if errors.Is(err, io.EOF) {
		return fmt.Sprintf("LOST: the broker read the request and closed the connection without an answer after %.1f ms", after)
	}
	return fmt.Sprintf("not counted: %v after %.1f ms", err, after)
}
