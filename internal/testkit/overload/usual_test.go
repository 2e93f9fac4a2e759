package overload

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	readClass  = "artwork-read"
	writeClass = "job-new"
	plan       = "basis"

	requestDeadline = 2500 * time.Millisecond // that usual clients give their requests
	answerSlack     = 550 * time.Millisecond  // an answer that comes later than this after the deadline is lost
	usualClients    = 4
	usualPause      = 25 * time.Millisecond // between two requests of a usual client
	usualObject     = "/art/sheet"
)

// usualTraffic counts what became of the requests of usual clients.
type usualTraffic struct {
	served, refused, failed, lost atomic.Int64
	notAccepted                   atomic.Int64 // the connection was not opened, or ended before the request was read

	mu      sync.Mutex
	slowest time.Duration // until the answer to a request
}

// run sends requests until ctx is done and returns when each has been answered or is lost.
func (u *usualTraffic) run(ctx context.Context, x *installation) {
	var clients sync.WaitGroup
	for k := range usualClients {
		clients.Go(func() { u.runClient(ctx, x, k) })
	}
	clients.Wait()
}

// runClient sends one request after the other. Every eighth one comes on a new connection.
func (u *usualTraffic) runClient(ctx context.Context, x *installation, k int) {
	const requestsPerConn = 8
	for i := 0; ctx.Err() == nil; {
		nc, err := net.DialTimeout("tcp", x.addr, requestDeadline)
		if err != nil {
			u.notAccepted.Add(1)
			continue
		}
		in := bufio.NewReader(nc)
		for range requestsPerConn {
			i++
			if !u.request(x, nc, in, fmt.Sprintf("usual-%d-%d", k, i), k) || ctx.Err() != nil {
				break
			}
			time.Sleep(usualPause)
		}
		_ = nc.Close()
	}
}

// request sends one request and counts its answer. It returns false if the connection has ended.
func (u *usualTraffic) request(x *installation, nc net.Conn, in *bufio.Reader, id string, client int) bool {
	sentAt := time.Now()
	_ = nc.SetDeadline(sentAt.Add(requestDeadline + answerSlack)) // fails only on a closed connection
	var answer byte
	var err error
	if x.kind == blockFrontend {
		answer, err = askBlock(nc, in, id, client)
	} else {
		answer, err = askObject(nc, in)
	}
	took := time.Since(sentAt)
	u.mu.Lock()
	u.slowest = max(u.slowest, took)
	u.mu.Unlock()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		u.lost.Add(1)
	case err != nil:
		u.notAccepted.Add(1)
	case answer == '$':
		u.served.Add(1)
	case answer == 'B':
		u.refused.Add(1)
	default:
		u.failed.Add(1)
	}
	return err == nil
}

// askBlock sends a read and returns '$' for a value, 'B' for a refusal and '-' for any other error.
func askBlock(nc net.Conn, in *bufio.Reader, id string, client int) (byte, error) {
	if _, err := io.WriteString(nc, readCommand("7f3a9c21e0b4d655", id, uint64(client), int(requestDeadline.Milliseconds()))); err != nil {
		return 0, err
	}
	return readBlockReply(in)
}

// readBlockReply reads one reply and returns '$' for a value, 'B' for a refusal and '-' for anything else.
func readBlockReply(in *bufio.Reader) (byte, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	switch {
	case line[0] == '$':
		_, err = in.ReadString('\n')
		return '$', err
	case strings.HasPrefix(line, "-BUSY"):
		return 'B', nil
	}
	return '-', nil
}

// askObject is askBlock for the object frontend.
func askObject(nc net.Conn, in *bufio.Reader) (byte, error) {
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: b\r\nX-Timeout-Ms: %d\r\n\r\n", usualObject, requestDeadline.Milliseconds())
	if _, err := io.WriteString(nc, head); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound:
		return '$', nil
	case http.StatusServiceUnavailable:
		return 'B', nil
	}
	return '-', nil
}

// check fails the test if a request got no answer in time, or if fewer than half of them were served.
func (u *usualTraffic) check(t testing.TB) {
	t.Helper()
	served, lost, notAccepted := u.served.Load(), u.lost.Load(), u.notAccepted.Load()
	all := served + u.refused.Load() + u.failed.Load() + lost + notAccepted
	t.Logf("usual requests: %d, served %d, refused %d, failed %d, lost %d, not accepted %d, slowest %v",
		all, served, u.refused.Load(), u.failed.Load(), lost, notAccepted, u.slowest.Round(time.Millisecond))
	if lost > 0 {
		t.Errorf("%d of %d usual requests got no answer within their time", lost, all)
	}
	if served < all/2 {
		t.Errorf("%d of %d usual requests were served, want at least half", served, all)
	}
}

// command returns a command in RESP2.
func command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// readCommand returns a read of a piece. The deadline is in milliseconds.
func readCommand(piece, id string, volume uint64, deadline int) string {
	return command("BLK.READ", piece, id,
		fmt.Sprintf("c=%s,t=%s,d=%d,volume=%016x,units=1,shard=%d,hosts=1", readClass, plan, deadline, volume, volume%shards))
}
