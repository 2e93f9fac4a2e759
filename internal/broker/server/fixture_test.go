package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

// limitDescriptors sets the descriptor limit of a broker process to the number that the test gives in the environment.
func limitDescriptors() error {
	v := os.Getenv("POPPYARCH_TEST_DESCRIPTORS")
	if v == "" {
		return nil
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		return err
	}
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
}

// eventually waits until ok returns true and fails the test if that takes longer than testTimeout.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("time-out after %v while waiting for: %s", testTimeout, what)
		}
	}
}

// logBuffer collects the log of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// count returns how often s occurs in the log.
func (l *logBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// find returns the first group of the first match in the log, or "".
func (l *logBuffer) find(pattern string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := regexp.MustCompile(pattern).FindStringSubmatch(l.text.String()); m != nil {
		return m[1]
	}
	return ""
}

// testTimeout bounds each wait for an event that must happen. A test that reaches it fails.
const testTimeout = 30 * time.Second

// TestMain runs the test binary as a broker process if POPPYARCH_TEST_SERVE is set. Tests start such a process to kill
// it or send signals to it.
func TestMain(m *testing.M) {
	if os.Getenv("POPPYARCH_TEST_SERVE") != "" {
		if err := limitDescriptors(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		if err := RunProcess(context.Background(), os.Getenv, listenTCP, os.Stderr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func listenTCP(_ context.Context, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// testSettings have long latency objectives, so that results do not depend on the speed of the machine.
const testSettings = `{"balancers":1,"discovery":"ask","zones":["room"],
 "classes":[
  {"name":"object-read","aim_ns":20000000000,"give_up_ns":25000000000,"importance":1,"repeat":"retryable"},
  {"name":"object-write","aim_ns":20000000000,"give_up_ns":25000000000,"importance":1,"repeat":"retryable"},
  {"name":"object-complete","aim_ns":20000000000,"give_up_ns":25000000000,"importance":1,"repeat":"fragile"}],
 "policies":[{"name":"basis","shares":1,"value_factor":1,"usual_rate":1000,"floor_rate":1000}],
 "contract":{"ask_within_ns":10000000000,"cold_from":0.5,"tip_after_ns":50000000,"warm_after_ns":100000000},
 "limits":{"send_cap":3,"connect_timeout_ns":2000000000,"keepalive_ns":30000000000,"retry_after":true,
  "max_retry_after_ns":2000000000},
 "specifics":{"mean_units":1,"max_units":8,"n_shards":2,"cold_bears":1000,"fair_worth":0.3}}`

// fixture is two object stores and a discovery service, with the brokers that a test starts.
type fixture struct {
	t               testing.TB
	stores          []*fake.ObjectServer
	nodes           []*fake.RestartableServer // the servers of stores, by index
	discovery       *fake.Discovery
	discoveryServer *fake.RestartableServer // the server of discovery
	http            *http.Client
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{t: t, discovery: fake.NewDiscovery()}
	for range 2 {
		s := fake.NewObjectServer()
		n, err := fake.StartServer(s)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Kill)
		f.stores, f.nodes = append(f.stores, s), append(f.nodes, n)
	}
	var err error
	if f.discoveryServer, err = fake.StartServer(f.discovery); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.discoveryServer.Kill)
	f.listNodes(0, 0)
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	f.http = &http.Client{Transport: tr, Timeout: testTimeout}
	return f
}

// listNodes makes discovery list the nodes as up, with their last start times in milliseconds.
func (f *fixture) listNodes(startedAtMS ...int64) {
	for i, started := range startedAtMS {
		f.discovery.SetEndpoints(discovery.Endpoint{ID: fmt.Sprint("s-", i), Addr: f.nodes[i].Addr(), Zone: "room", Shard: i,
			State: "up", StartedAtMS: started})
	}
}

// configText returns a configuration with the object frontend on, the current list of discovery and further JSON keys.
// extra is empty or starts with a comma.
func (f *fixture) configText(extra string) []byte {
	return f.configTextFor(f.discoveryServer.Addr(), extra)
}

// configTextFor is configText with the given address of discovery.
func (f *fixture) configTextFor(discoveryAddr, extra string) []byte {
	known, err := json.Marshal(f.discovery.List(-1))
	if err != nil {
		f.t.Fatal(err)
	}
	return fmt.Appendf(nil, `{"name":"t1","discovery":%q,"seed":"1f","known":%s,"settings":%s,
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
	 "object":{"listen":"127.0.0.1:0","read_class":"object-read","write_class":"object-write",
	  "complete_class":"object-complete","default_plan":"basis"}%s}`, discoveryAddr, known, testSettings, extra)
}

// startBroker runs a broker in this process. It returns the base of its URLs and a function that drains it.
func (f *fixture) startBroker(extra string) (base string, stop func()) {
	f.t.Helper()
	return f.startBrokerWith(f.configText(extra))
}

// startBrokerWith is startBroker with a given configuration.
func (f *fixture) startBrokerWith(text []byte) (base string, stop func()) {
	f.t.Helper()
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		f.t.Fatal(err)
	}
	addrs, done := make(chan string, 2), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		done <- Run(ctx, cfg, func(_ context.Context, addr string) (net.Listener, error) {
			ln, err := net.Listen("tcp", addr)
			if err == nil {
				addrs <- ln.Addr().String()
			}
			return ln, err
		}, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		f.http.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	}
	f.t.Cleanup(stop)
	select {
	case addr := <-addrs:
		return "http://" + addr, stop
	case err := <-done:
		f.t.Fatal(err)
		return "", nil
	}
}

// brokerProcess is a broker that runs in a separate process.
type brokerProcess struct {
	cmd    *exec.Cmd
	config string // its configuration file
	log    *logBuffer
	killed bool // the process has been killed, or has ended and been waited for
}

func (p *brokerProcess) kill() {
	if !p.killed {
		p.killed = true
		_ = p.cmd.Process.Kill() // fails if the process has already ended
		_ = p.cmd.Wait()         // an error is expected after Kill
	}
}

// startProcess starts a broker in a separate process, with additional environment variables.
func (f *fixture) startProcess(env ...string) (base string, p *brokerProcess) {
	f.t.Helper()
	return f.startProcessWith(f.configText(""), env...)
}

// startProcessWith is startProcess with a given configuration.
func (f *fixture) startProcessWith(text []byte, env ...string) (base string, p *brokerProcess) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	p = &brokerProcess{cmd: exec.Command(os.Args[0]), config: path, log: &logBuffer{}}
	p.cmd.Env = append(append(os.Environ(), "POPPYARCH_TEST_SERVE=1", "LB_CONFIG="+path), env...)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(p.kill)
	eventually(f.t, "the broker process serves", func() bool {
		base = p.log.find(`msg=serving broker=\S+ addr=(\S+)`)
		return base != ""
	})
	return "http://" + base, p
}

// response is an HTTP response as a client receives it.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error // from reading the body
}

// do sends a request and returns its response. header alternates names and values.
func (f *fixture) do(method, url string, body []byte, header ...string) response {
	f.t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.http.Do(req)
	if err != nil {
		f.t.Fatalf("%s %s: %v", method, url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, b, err}
}

// putObject stores an object and returns the index of the store that has it.
func (f *fixture) putObject(base, path string, body []byte) int {
	f.t.Helper()
	if resp := f.do("PUT", base+path, body); resp.status != 200 {
		f.t.Fatalf("PUT %s: status %d, %s", path, resp.status, resp.body)
	}
	for i, s := range f.stores {
		if s.Get(path) != nil {
			return i
		}
	}
	f.t.Fatalf("no store has %s after PUT", path)
	return 0
}

// countRequests returns how many of the requests that a store received have the prefix.
func countRequests(s *fake.ObjectServer, prefix string) (n int) {
	for _, line := range s.Requests() {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

// testBytes returns n bytes that vary with position and salt.
func testBytes(n int, salt byte) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>8) ^ byte(i*7) ^ salt
	}
	return b
}

// closeOnCleanup closes c at the end of the test; c may be closed before.
func closeOnCleanup(t testing.TB, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// serveBlock runs a block node on a listener until the end of the test.
func serveBlock(t testing.TB, b *fake.BlockServer, ln net.Listener) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.Serve(ln) // ends when the listener is closed
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
	})
}

func setDeadline(t testing.TB, c net.Conn, at time.Time) {
	t.Helper()
	if err := c.SetDeadline(at); err != nil {
		t.Fatal(err)
	}
}

// send writes text to a connection and fails the test if that fails.
func send(t testing.TB, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// signal sends a signal to the process and fails the test if it is not running.
func (p *brokerProcess) signal(t testing.TB, sig os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
