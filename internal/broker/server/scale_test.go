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

// listThousandNodes returns 1,024 nodes with one shard each, distributed over the given addresses.
func listThousandNodes(addrs []string, state func(i int) string) (out []discovery.Endpoint) {
	for i := range 1024 {
		out = append(out, discovery.Endpoint{ID: fmt.Sprintf("s-%04d", i), Addr: addrs[i%len(addrs)], Zone: "room", Shard: i, State: state(i)})
	}
	return out
}

// readShards sends one read for each shard, without waiting for responses, and counts the responses by their first
// byte.
func readShards(t *testing.T, addr, id string, shards []int) map[byte]int {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	closeOnCleanup(t, c)
	setDeadline(t, c, time.Now().Add(testTimeout))
	in, counts := bufio.NewReader(c), map[byte]int{}
	var out strings.Builder
	for i, shard := range shards {
		words := []string{"BLK.READ", "7f3a9c21e0b4d655", fmt.Sprint(id, i),
			fmt.Sprintf("c=object-read,t=basis,d=20000,volume=%016x,units=1,shard=%d,hosts=1024", i, shard)}
		fmt.Fprintf(&out, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(w), w)
		}
	}
	go func() { _, _ = io.WriteString(c, out.String()) }() // after an error, responses are missing
	for range shards {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatalf("error %[2]v after responses %[1]v", counts, err)
		}
		if line[0] == '$' {
			if _, err := in.ReadString('\n'); err != nil {
				t.Fatalf("error %[2]v after responses %[1]v", counts, err)
			}
		}
		counts[line[0]]++
	}
	return counts
}

// With 1,024 nodes at 64 addresses, a fleet of 1,024 brokers, little memory and a tenth of the descriptors that
// connections to all nodes would take, the full list takes effect from the configuration, after a change and after a
// SIGHUP. Every request gets exactly one response, even if no descriptor is left for another connection. The process
// stays within its descriptors and drains.
func TestThousandNodesUnderSmallLimits(t *testing.T) {
	const sockets = 96
	f := newFixture(t)
	block := fake.NewBlockServer()
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
	firstDiscovery, secondDiscovery := fake.NewDiscovery(), fake.NewDiscovery()
	firstDiscovery.SetEndpoints(listThousandNodes(addrs, up)...)
	secondDiscovery.SetEndpoints(listThousandNodes(addrs, up)...)
	firstServer, secondServer := httptest.NewServer(firstDiscovery), httptest.NewServer(secondDiscovery)
	t.Cleanup(firstServer.Close)
	t.Cleanup(secondServer.Close)
	known, err := json.Marshal(firstDiscovery.List(-1))
	if err != nil {
		t.Fatal(err)
	}
	settings := strings.Replace(strings.Replace(testSettings, `"balancers":1`, `"balancers":1024`, 1), `"n_shards":2`, `"n_shards":1024`, 1)
	configText := func(server *httptest.Server) []byte {
		return fmt.Appendf(nil, `{"name":"t1","listen":"127.0.0.1:0","discovery":%q,"seed":"1f","known":%s,"settings":%s,
		 "limits":{"cores":0.25,"memory_mb":32,"sockets":%d}}`, strings.TrimPrefix(server.URL, "http://"), known, settings, sockets)
	}
	base, process := f.startProcessWith(configText(firstServer))
	addr := strings.TrimPrefix(base, "http://")
	all, odd := make([]int, 0, 1024), []int{}
	for i := range 1024 {
		if all = append(all, i); i%2 == 1 {
			odd = append(odd, i)
		}
	}
	checkServed := func(what string, counts map[byte]int, want int) {
		t.Helper()
		if counts['$'] < want*95/100 {
			t.Errorf("%s: served %d of %d, responses by first byte: %v", what, counts['$'], want, counts)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.cmd.Process.Pid))
		if err != nil || len(fds) > sockets {
			t.Errorf("%s: %d descriptors open, limit %d, error %v", what, len(fds), sockets, err)
		}
	}
	checkServed("from the configuration", readShards(t, addr, "a", all), len(all))
	firstDiscovery.SetEndpoints(listThousandNodes(addrs, func(i int) string { return []string{"up", "draining"}[i%2] })...)
	eventually(t, "the change is in force", func() bool { return readShards(t, addr, fmt.Sprint("b", time.Now().UnixNano()), odd[:1])['-'] == 1 })
	if got := readShards(t, addr, "c", odd); got['-'] != len(odd) {
		t.Errorf("requests to draining nodes got %v, want %d errors", got, len(odd))
	}
	if err := os.WriteFile(process.config, configText(secondServer), 0o600); err != nil {
		t.Fatal(err)
	}
	process.signal(t, syscall.SIGHUP)
	eventually(t, "the list from the new address is in force", func() bool {
		return readShards(t, addr, fmt.Sprint("d", time.Now().UnixNano()), odd[:1])['$'] == 1
	})
	checkServed("after SIGHUP", readShards(t, addr, "e", all), len(all))
	process.signal(t, syscall.SIGTERM)
	if err := process.cmd.Wait(); err != nil {
		t.Errorf("the process ended with error %v\n%s", err, process.log.text.String())
	}
	process.killed = true
}
