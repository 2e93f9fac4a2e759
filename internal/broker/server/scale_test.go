package server

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

// thousandNodes lists 1,024 nodes, each with a shard of its own, over the given addresses.
func thousandNodes(addrs []string, state func(i int) string) (out []discovery.Endpoint) {
	for i := range 1024 {
		out = append(out, discovery.Endpoint{ID: fmt.Sprintf("s-%04d", i), Addr: addrs[i%len(addrs)], Zone: "room", Shard: i, State: state(i)})
	}
	return out
}

// readShards sends a read for each shard, all at once, and counts the replies by their first byte.
func readShards(t *testing.T, addr, id string, shards []int) map[byte]int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, c)
	setDeadline(t, c, time.Now().Add(patience))
	in, got := bufio.NewReader(c), map[byte]int{}
	var out strings.Builder
	for i, shard := range shards {
		words := []string{"BLK.READ", "7f3a9c21e0b4d655", fmt.Sprint(id, i),
			fmt.Sprintf("c=object-read,t=basis,d=20000,volume=%016x,units=1,shard=%d,hosts=1024", i, shard)}
		fmt.Fprintf(&out, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(w), w)
		}
	}
	go func() { _, _ = io.WriteString(c, out.String()) }() // an error shows as missing replies
	for range shards {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatalf("after %v: %v", got, err)
		}
		if line[0] == '$' {
			if _, err := in.ReadString('\n'); err != nil {
				t.Fatalf("after %v: %v", got, err)
			}
		}
		got[line[0]]++
	}
	return got
}

// With 1,024 nodes at 64 addresses, 1,024 brokers, little memory and a tenth of the descriptors that the nodes would
// take, the whole list comes into force from the configuration, by a change and after a SIGHUP. Every request gets one
// reply, also without a descriptor for another connection, and the process stays within its descriptors and drains.
func TestThousandNodesUnderSmallLimits(t *testing.T) {
	const sockets = 96
	r := newRig(t)
	block := fake.NewBlock()
	var addrs []string
	for range 64 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		serveBlock(t, block, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	up := func(int) string { return "up" }
	first, other := fake.NewDiscovery(), fake.NewDiscovery()
	first.Set(thousandNodes(addrs, up)...)
	other.Set(thousandNodes(addrs, up)...)
	one, two := httptest.NewServer(first), httptest.NewServer(other)
	t.Cleanup(one.Close)
	t.Cleanup(two.Close)
	known, err := json.Marshal(first.List(-1))
	if err != nil {
		t.Fatal(err)
	}
	set := strings.Replace(strings.Replace(testSettings, `"balancers":1`, `"balancers":1024`, 1), `"n_shards":2`, `"n_shards":1024`, 1)
	at := func(url string) string { return strings.TrimPrefix(url, "http://") }
	text := func(disc string) []byte {
		return fmt.Appendf(nil, `{"name":"t1","listen":"127.0.0.1:0","discovery":%q,"seed":"1f","known":%s,"settings":%s,
		 "limits":{"cores":0.25,"memory_mb":32,"sockets":%d}}`, disc, known, set, sockets)
	}
	base, c := r.start(text(at(one.URL)))
	addr := strings.TrimPrefix(base, "http://")
	all, odd := make([]int, 0, 1024), []int{}
	for i := range 1024 {
		if all = append(all, i); i%2 == 1 {
			odd = append(odd, i)
		}
	}
	served := func(what string, got map[byte]int, want int) {
		t.Helper()
		if got['$'] < want*95/100 {
			t.Errorf("%s: served %d of %d: %v", what, got['$'], want, got)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
		if err != nil || len(fds) > sockets {
			t.Errorf("%s: %d descriptors of %d, %v", what, len(fds), sockets, err)
		}
	}
	served("from the configuration", readShards(t, addr, "a", all), len(all))
	first.Set(thousandNodes(addrs, func(i int) string { return []string{"up", "draining"}[i%2] })...)
	eventually(t, "the change is known", func() bool { return readShards(t, addr, fmt.Sprint("b", time.Now().UnixNano()), odd[:1])['-'] == 1 })
	if got := readShards(t, addr, "c", odd); got['-'] != len(odd) {
		t.Errorf("draining nodes: %v", got)
	}
	if err := os.WriteFile(c.config, text(at(two.URL)), 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(t, syscall.SIGHUP)
	eventually(t, "the list of the new address is known", func() bool {
		return readShards(t, addr, fmt.Sprint("d", time.Now().UnixNano()), odd[:1])['$'] == 1
	})
	served("after SIGHUP", readShards(t, addr, "e", all), len(all))
	c.signal(t, syscall.SIGTERM)
	if err := c.cmd.Wait(); err != nil {
		t.Errorf("drain: %v\n%s", err, c.log.text.String())
	}
	c.killed = true
}
