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
