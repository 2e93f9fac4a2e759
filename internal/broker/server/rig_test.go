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

// limitDescriptors holds a broker process to the descriptors that a test names.
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

// eventually waits until ok.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never happened: " + what)
		}
	}
}

// logBuffer keeps what a process logs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), s)
}

// find is the first group of the first match.
func (l *logBuffer) find(pattern string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := regexp.MustCompile(pattern).FindStringSubmatch(l.text.String()); m != nil {
		return m[1]
	}
	return ""
}

// patience bounds every wait for what must happen; a run that reaches it has failed.
const patience = 30 * time.Second

// TestMain lets the test binary run as a broker process, which a test can kill.
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

// testSettings have long latency objectives, so that a slow machine changes no result.
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

// rig is two object servers and a discovery service, with brokers as a test starts them.
type rig struct {
	t      *testing.T
	stores []*fake.Objects
	nodes  []*fake.Node
	disc   *fake.Discovery
	discN  *fake.Node
	http   *http.Client
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, disc: fake.NewDiscovery()}
	for range 2 {
		s := fake.NewObjects()
		n, err := fake.Start(s)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Kill)
		r.stores, r.nodes = append(r.stores, s), append(r.nodes, n)
	}
	var err error
	if r.discN, err = fake.Start(r.disc); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.discN.Kill)
	r.list(0, 0)
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	r.http = &http.Client{Transport: tr, Timeout: patience}
	return r
}

// list has discovery list both nodes; boot is when each last started, in ms.
func (r *rig) list(boot ...int64) {
	for i, b := range boot {
		r.disc.Set(discovery.Endpoint{ID: fmt.Sprint("s-", i), Addr: r.nodes[i].Addr(), Zone: "room", Shard: i,
			State: "up", StartedAtMS: b})
	}
}

func (r *rig) configText(extra string) []byte {
	return r.configTextFor(r.discN.Addr(), extra)
}

// configTextFor is configText with another address of discovery.
func (r *rig) configTextFor(discoveryAddr, extra string) []byte {
	known, err := json.Marshal(r.disc.List(-1))
	if err != nil {
		r.t.Fatal(err)
	}
	return fmt.Appendf(nil, `{"name":"t1","discovery":%q,"seed":"1f","known":%s,"settings":%s,
	 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
	 "object":{"listen":"127.0.0.1:0","read_class":"object-read","write_class":"object-write",
	  "complete_class":"object-complete","default_plan":"basis"}%s}`, discoveryAddr, known, testSettings, extra)
}

// broker runs a broker in this process and returns the base of its URLs and a function that drains it.
func (r *rig) broker(extra string) (base string, stop func()) {
	r.t.Helper()
	return r.brokerFrom(r.configText(extra))
}

// brokerFrom is broker with a given configuration.
func (r *rig) brokerFrom(text []byte) (base string, stop func()) {
	r.t.Helper()
	cfg, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		r.t.Fatal(err)
	}
	addr, done := make(chan string, 2), make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		done <- Run(ctx, cfg, func(_ context.Context, a string) (net.Listener, error) {
			ln, err := net.Listen("tcp", a)
			if err == nil {
				addr <- ln.Addr().String()
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
		r.http.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			r.t.Error(err)
		}
	}
	r.t.Cleanup(stop)
	select {
	case a := <-addr:
		return "http://" + a, stop
	case err := <-done:
		r.t.Fatal(err)
		return "", nil
	}
}

// child is a broker in a process of its own.
type child struct {
	cmd    *exec.Cmd
	config string // its configuration file
	log    *logBuffer
	killed bool
}

func (c *child) kill() {
	if !c.killed {
		c.killed = true
		_ = c.cmd.Process.Kill() // it may have ended
		_ = c.cmd.Wait()         // it was killed
	}
}

// process starts a broker in a process of its own.
func (r *rig) process(env ...string) (base string, c *child) {
	r.t.Helper()
	return r.start(r.configText(""), env...)
}

// start is process with a given configuration.
func (r *rig) start(text []byte, env ...string) (base string, c *child) {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		r.t.Fatal(err)
	}
	c = &child{cmd: exec.Command(os.Args[0]), config: path, log: &logBuffer{}}
	c.cmd.Env = append(append(os.Environ(), "POPPYARCH_TEST_SERVE=1", "LB_CONFIG="+path), env...)
	c.cmd.Stderr = c.log
	if err := c.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.kill)
	eventually(r.t, "the broker process serves", func() bool {
		base = c.log.find(`msg=serving broker=\S+ addr=(\S+)`)
		return base != ""
	})
	return "http://" + base, c
}

// answer is a response as a client got it.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // of reading the body
}

// do sends one request and returns its response.
func (r *rig) do(method, url string, body []byte, header ...string) answer {
	r.t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := r.http.Do(req)
	if err != nil {
		r.t.Fatalf("%s %s: %v", method, url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, b, err}
}

// home stores an object and returns the number of the store that has it.
func (r *rig) home(base, path string, body []byte) int {
	r.t.Helper()
	if a := r.do("PUT", base+path, body); a.status != 200 {
		r.t.Fatalf("PUT %s: %d %s", path, a.status, a.body)
	}
	for i, s := range r.stores {
		if s.Get(path) != nil {
			return i
		}
	}
	r.t.Fatalf("no store has %s", path)
	return 0
}

// count is how many requests that a store got have the prefix.
func count(s *fake.Objects, prefix string) (n int) {
	for _, line := range s.Requests() {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

// noise is n bytes that differ from place to place.
func noise(n int, salt byte) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>8) ^ byte(i*7) ^ salt
	}
	return b
}

// closeOnCleanup closes c at the end of the test, if it is still open.
func closeOnCleanup(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

// serveBlock runs a block node until the end of the test.
func serveBlock(t *testing.T, b *fake.Block, ln net.Listener) {
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

func setDeadline(t *testing.T, c net.Conn, at time.Time) {
	t.Helper()
	if err := c.SetDeadline(at); err != nil {
		t.Fatal(err)
	}
}

// send writes text to a connection that must be open.
func send(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// signal sends a signal to a process that must be running.
func (c *child) signal(t *testing.T, sig os.Signal) {
	t.Helper()
	if err := c.cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
