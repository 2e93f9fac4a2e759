package overload

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

const (
	// disconnectGrace is how long after a client's close an attempt for it may still begin.
	disconnectGrace = 100 * time.Millisecond
	// writeTime is how long a client writes before it leaves. The storage nodes answer nothing before that: an answer that
	// the client leaves unread would reset the connection, which tells the broker at once.
	writeTime = 60 * time.Millisecond
	// lateDelay is how long the storage nodes take for a request, so that what follows it comes too late for the client.
	lateDelay = writeTime + disconnectGrace + 60*time.Millisecond
	// observedTime is how long attempts are counted after a client has left. It is longer than all deadlines of reads.
	observedTime = requestDeadline + answerSlack
)

// attemptLog records the attempts that begin at the storage nodes, as the times of their beginning by request.
type attemptLog struct {
	mu    sync.Mutex
	begun map[string][]time.Time
}

func (a *attemptLog) record(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.begun == nil {
		a.begun = map[string][]time.Time{}
	}
	a.begun[request] = append(a.begun[request], time.Now())
}

// after returns how many attempts have begun after a time, and how many in all.
func (a *attemptLog) after(t time.Time) (late, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, times := range a.begun {
		for _, begun := range times {
			all++
			if begun.After(t) {
				late++
			}
		}
	}
	return late, all
}

// count returns the number of attempts of a request.
func (a *attemptLog) count(request string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.begun[request])
}

// await waits for the first attempt of a request.
func (a *attemptLog) await(t testing.TB, request string) {
	t.Helper()
	for end := time.Now().Add(startTimeout); a.count(request) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no attempt of %s has begun", request)
		}
	}
}

// nodeBehaviour makes the storage nodes of a test slow or faulty.
type nodeBehaviour struct {
	name       string
	firstDelay time.Duration // until the answer to the first request
	delay      time.Duration // until the answers to the others
	fails      bool          // the connection ends in place of an answer
}

// observe makes the storage nodes behave so and records their attempts.
func (b nodeBehaviour) observe(x *installation) *attemptLog {
	a := &attemptLog{}
	wait := func(request string) {
		a.record(request)
		if strings.HasSuffix(request, "-0") {
			time.Sleep(b.firstDelay)
		} else {
			time.Sleep(b.delay)
		}
	}
	for _, n := range x.blocks {
		n.SetHook(func(c redcon.Conn, cmd redcon.Command) bool {
			wait(string(cmd.Args[2]))
			if b.fails {
				_ = c.Close() // its end is the answer
			}
			return b.fails
		})
	}
	for _, n := range x.objects {
		n.SetHook(func(_ http.ResponseWriter, r *http.Request, next func()) {
			wait(r.URL.Path)
			if b.fails {
				panic(http.ErrAbortHandler)
			}
			next()
		})
	}
	return a
}

// leavingRequests returns the text of many requests, with bodies of the given size. The first one goes to another storage
// node than the others.
func leavingRequests(kind frontendKind, count, bodyBytes int) string {
	var b strings.Builder
	for i := range count {
		id := fmt.Sprint("left-", i)
		volume := uint64(min(i, 1))
		switch {
		case kind == blockFrontend && bodyBytes == 0:
			b.WriteString(readCommand("7f3a9c21e0b4d655", id, volume, int(requestDeadline.Milliseconds())))
		case kind == blockFrontend:
			b.WriteString(writeCommand(id, volume, bodyBytes))
		case bodyBytes == 0:
			fmt.Fprintf(&b, "GET /art/%s HTTP/1.1\r\nHost: b\r\n\r\n", id)
		default:
			fmt.Fprintf(&b, "PUT /art/%s HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%s", id, bodyBytes, strings.Repeat("x", bodyBytes))
		}
	}
	return b.String()
}

func TestNoAttemptBeginsForAClientThatHasLeft(t *testing.T) {
	for _, kind := range []frontendKind{blockFrontend, objectFrontend} {
		for _, b := range []nodeBehaviour{
			{name: "first request hangs", firstDelay: observedTime, delay: lateDelay},
			{name: "nodes fail", firstDelay: lateDelay, delay: lateDelay, fails: true},
		} {
			for _, size := range []struct{ count, bodyBytes int }{{100, 0}, {60_000, 0}, {12, 60_000}, {100, 60_000}} {
				t.Run(fmt.Sprintf("%s/%s/%d of %d bytes", kind, b.name, size.count, size.bodyBytes), func(t *testing.T) {
					t.Parallel()
					x := start(t, kind, leastMemory)
					attempts := b.observe(x)
					leave(t, x, leavingRequests(kind, size.count, size.bodyBytes))
					closedAt := time.Now()
					time.Sleep(observedTime)
					if late, all := attempts.after(closedAt.Add(disconnectGrace)); late > 0 {
						t.Errorf("%d of %d attempts began more than %v after the client had left", late, all, disconnectGrace)
					}
				})
			}
		}
	}
}

// leave sends as much of a text as the buffers take, and closes the connection when writeTime is over.
func leave(t *testing.T, x *installation, text string) {
	t.Helper()
	nc, err := net.Dial("tcp", x.addr)
	if err != nil {
		t.Fatal(err)
	}
	end := time.Now().Add(writeTime)
	_ = nc.SetWriteDeadline(end) // fails only on a closed connection
	written, _ := io.WriteString(nc, text)
	time.Sleep(time.Until(end))
	_ = nc.Close()
	t.Logf("%d of %d bytes written", written, len(text))
}

func TestRequestIDThatComesAgainAfterItsClientHasLeftRunsOnce(t *testing.T) {
	x := start(t, blockFrontend, leastMemory)
	attempts := nodeBehaviour{delay: lateDelay}.observe(x)
	text := writeCommand("again", 1, 10)
	first, err := net.Dial("tcp", x.addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(first, text); err != nil {
		t.Fatal(err)
	}
	attempts.await(t, "again")
	_ = first.Close()
	time.Sleep(disconnectGrace) // so that the broker has noticed
	second, err := net.Dial("tcp", x.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = second.Close() })
	_ = second.SetReadDeadline(time.Now().Add(startTimeout))
	if _, err := io.WriteString(second, text); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(second).ReadString('\n')
	if err != nil || line[0] != '-' {
		t.Errorf("the request that came again got %q, %v, want an error", line, err)
	}
	if n := attempts.count("again"); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}
