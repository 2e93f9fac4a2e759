package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

// While discovery is down, idle clients hold all descriptors that clients may use. When discovery is up again, the
// broker still has descriptors to read its list, connect to the node in it and serve a new client.
func TestDiscoveryRecoversWhileIdleClientsHoldDescriptors(t *testing.T) {
	const descriptors = 64
	f := newFixture(t)
	block := fake.NewBlockServer()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveBlock(t, block, ln)
	f.discovery.SetDown(true)
	text := bytes.Replace(f.configText(`,"listen":"127.0.0.1:0","object":null`), []byte(`"sockets":1024`),
		fmt.Appendf(nil, `"sockets":%d`, descriptors), 1)
	base, process := f.startProcessWith(text, fmt.Sprint("POPPYARCH_TEST_DESCRIPTORS=", descriptors))
	addr := strings.TrimPrefix(base, "http://")
	for i := range 3 * descriptors {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		closeOnCleanup(t, c)
		if i%2 == 0 { // the other clients send nothing
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n") // the broker may have closed the connection
		}
	}
	eventually(t, "failed calls to discovery", func() bool { return len(f.discovery.CallTimes()) > 2 })
	f.discovery.SetEndpoints(discovery.Endpoint{ID: "s-0", Addr: ln.Addr().String(), Zone: "room", Shard: 0, State: "up"})
	f.discovery.SetDown(false)
	eventually(t, "a reply from the node that the new list names", func() bool {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		setDeadline(t, c, time.Now().Add(testTimeout/4))
		_, _ = io.WriteString(c, blockCommand("BLK.READ", "object-read", fmt.Sprint("r", time.Now().UnixNano())))
		line, _ := bufio.NewReader(c).ReadString('\n')
		return line == "$0\r\n"
	})
	if n := process.log.count("too many open files"); n > 0 {
		t.Errorf("the broker ran out of descriptors %d times", n)
	}
}

// A killed broker that restarts with a list of 300 nodes serves within 10 s without discovery: whether discovery
// accepts connections and never answers or refuses connections, and whether lists are polled or pushed.
func TestRestartedBrokerIsReadyWithoutDiscovery(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, unresponsive)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	for _, ln := range []net.Listener{unresponsive, closed} {
		for _, mode := range []string{"ask", "push"} {
			f := newFixture(t)
			for i := range 300 {
				f.discovery.SetEndpoints(discovery.Endpoint{ID: fmt.Sprint("n-", i), Addr: "127.0.0.1:1", Zone: "room", Shard: i % 2, State: "up"})
			}
			text := f.configText(`,"listen":"127.0.0.1:0","object":null`)
			text = bytes.Replace(text, []byte(f.discoveryServer.Addr()), []byte(ln.Addr().String()), 1)
			text = bytes.Replace(text, []byte(`"discovery":"ask"`), fmt.Appendf(nil, `"discovery":%q`, mode), 1)
			for range 2 {
				startedAt := time.Now()
				base, process := f.startProcessWith(text)
				c, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				setDeadline(t, c, startedAt.Add(10*time.Second))
				if got := sendAndRead(t, c, bufio.NewReader(c), "*1\r\n$4\r\nPING\r\n", 1); got != "+PONG\r\n" {
					t.Errorf("PING got %q", got)
				}
				_ = c.Close()
				process.kill()
			}
		}
	}
}

// With discovery set to push, the broker still watches the list. Without a watch it would keep sending requests to
// nodes that drain.
func TestPushedListsAreWatched(t *testing.T) {
	f := newFixture(t)
	text := bytes.Replace(f.configText(""), []byte(`"discovery":"ask"`), []byte(`"discovery":"push"`), 1)
	base, _ := f.startProcessWith(text)
	eventually(t, "a watch at discovery", func() bool { return len(f.discovery.CallTimes()) > 1 })
	for i := range 2 {
		f.discovery.SetEndpoints(discovery.Endpoint{ID: fmt.Sprint("s-", i), Addr: f.nodes[i].Addr(), Zone: "room", Shard: i, State: "draining"})
	}
	eventually(t, "requests are rejected when all nodes drain", func() bool {
		return f.do("PUT", base+"/b/k", []byte("x")).status == http.StatusServiceUnavailable
	})
}
