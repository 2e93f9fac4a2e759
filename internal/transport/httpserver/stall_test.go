package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/timing/clock"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 30 * time.Second

// startServer serves with a handler until the end of the test and returns the address.
func startServer(t *testing.T, handle http.HandlerFunc, o Options) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(&http.Server{Handler: handle}, o, clock.New())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// connect returns a connection that has sent a text.
func connect(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// expectStatus fails the test unless a response with the status and then the end of the connection come.
func expectStatus(t *testing.T, in *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
	if resp.StatusCode != status || !resp.Close {
		t.Errorf("status %d, connection closes %v, want %d and a close", resp.StatusCode, resp.Close, status)
	}
	if _, err := in.ReadByte(); err == nil {
		t.Error("bytes follow the response")
	}
}

// readAll answers with status 200 if the body comes to its end, or else with 408.
func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

const halfRequest = "PUT /a HTTP/1.1\r\nHost: b\r\nContent-Length: 100\r\n\r\nabc"

func TestStalledBodyIsAnsweredAfterTheStallTimeout(t *testing.T) {
	addr := startServer(t, readAll, Options{StallTimeout: 20 * time.Millisecond})
	_, in := connect(t, addr, halfRequest)
	expectStatus(t, in, http.StatusRequestTimeout)
}

func TestSlowBodyThatGoesOnIsReadToItsEnd(t *testing.T) {
	const stallTimeout = 2 * time.Second
	addr := startServer(t, readAll, Options{StallTimeout: stallTimeout})
	c, in := connect(t, addr, halfRequest)
	for range 97 {
		time.Sleep(stallTimeout / 80)
		if _, err := io.WriteString(c, "x"); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	_ = resp.Body.Close()
}

func TestAnswerDoesNotWaitForABodyThatIsNotRead(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) }
	addr := startServer(t, refuse, Options{})
	for _, length := range []int{100, 100_000, 100_000_000} {
		_, in := connect(t, addr, fmt.Sprintf("PUT /a HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\nabc", length))
		expectStatus(t, in, http.StatusForbidden)
	}
}

func TestShortBodyThatIsNotReadLeavesItsConnectionOpen(t *testing.T) {
	addr := startServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, Options{})
	_, in := connect(t, addr, strings.Repeat("GET /a HTTP/1.1\r\nHost: b\r\nContent-Length: 5\r\n\r\nhello", 2))
	for range 2 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.Close {
			t.Fatalf("got %v, %v, want a response and an open connection", resp, err)
		}
		_ = resp.Body.Close()
	}
}

func TestIncompleteHeadEndsItsConnectionAfterTheHeadTimeout(t *testing.T) {
	addr := startServer(t, readAll, Options{HeadTimeout: 20 * time.Millisecond})
	for _, text := range []string{"GE", "GET /a HTTP/1.1\r\nHos", "GET /a HTTP/1.1\r\nHost: b\r\n\r\nGE"} {
		_, in := connect(t, addr, text)
		if _, err := io.Copy(io.Discard, in); err != nil {
			t.Errorf("after %q: %v, want the end of the connection", text, err)
		}
	}
}

func TestHeadOfManyShortFieldsIsRejected(t *testing.T) {
	addr := startServer(t, readAll, Options{MaxHeaderFields: 20})
	_, in := connect(t, addr, "GET /a HTTP/1.1\r\nHost: b\r\n"+strings.Repeat("a:\r\n", 30))
	expectStatus(t, in, http.StatusBadRequest)
	lines := strings.Repeat("\n", 100)
	_, in = connect(t, addr, fmt.Sprintf("PUT /a HTTP/1.1\r\nHost: b\r\nContent-Length: 100\r\n\r\n%s", lines))
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("a body of many lines got %v, %v", resp, err)
	}
	_ = resp.Body.Close()
}

func TestStalledRequestsMakeRoomForAnotherClient(t *testing.T) {
	for name, text := range map[string]string{"body": halfRequest, "head": "PUT /a HTTP/1.1\r\nHos"} {
		t.Run(name, func(t *testing.T) {
			const stallTimeout = 400 * time.Millisecond
			addr := startServer(t, readAll, Options{MaxConns: 2, StallTimeout: stallTimeout, HeadTimeout: time.Hour})
			for range 2 {
				connect(t, addr, text)
			}
			begun := time.Now()
			_, in := connect(t, addr, "GET /a HTTP/1.1\r\nHost: b\r\n\r\n")
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("got %v, %v", resp, err)
			}
			_ = resp.Body.Close()
			t.Logf("served after %v", time.Since(begun))
		})
	}
}

func TestRunningRequestNeverMakesRoom(t *testing.T) {
	begun := make(chan struct{})
	release := make(chan struct{})
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/running" {
			close(begun)
			<-release
		}
		w.WriteHeader(http.StatusOK)
	}, Options{MaxConns: 1, StallTimeout: time.Millisecond, UnusedTimeout: 1})
	_, runningIn := connect(t, addr, "GET /running HTTP/1.1\r\nHost: b\r\n\r\n")
	<-begun
	_, otherIn := connect(t, addr, "GET /other HTTP/1.1\r\nHost: b\r\n\r\n")
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond) // several times the interval of the search
	defer cancel()
	<-ctx.Done()
	close(release)
	for _, in := range []*bufio.Reader{runningIn, otherIn} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("got %v, %v", resp, err)
		}
		_ = resp.Body.Close()
	}
}
