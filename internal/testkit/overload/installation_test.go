package overload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	_ "poppyarch/internal/broker/server" // the broker's code, so that a cached result is not used for another broker
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

const (
	shards       = 2
	startTimeout = 10 * time.Second
)

// frontendKind selects the frontend of a broker.
type frontendKind string

const (
	blockFrontend  frontendKind = "block"
	objectFrontend frontendKind = "object"
)

// programPath returns the path of the broker's program. It is built once for all tests.
var programPath = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "poppyarch-overload-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "poppyarch")
	out, err := exec.Command("go", "build", "-o", path, "poppyarch/cmd/poppyarch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := programPath(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path)) // a temporary folder
	}
	os.Exit(code)
}

// limits are the limits of a broker.
type limits struct {
	memoryMB int
	sockets  int
}

// leastMemory pairs the least memory that the platform's pages give a broker with the most descriptors.
var leastMemory = limits{memoryMB: 32, sockets: 1024}

// installation is two storage nodes, a discovery service and one broker with a single frontend.
type installation struct {
	t       testing.TB
	kind    frontendKind
	limits  limits
	blocks  []*fake.BlockServer
	objects []*fake.ObjectServer
	broker  *exec.Cmd
	log     *logBuffer
	addr    string // of the broker's frontend
}

// start starts an installation. The broker ends with the test.
func start(t testing.TB, kind frontendKind, l limits) *installation {
	t.Helper()
	x := &installation{t: t, kind: kind, limits: l, log: &logBuffer{}}
	list := fake.NewDiscovery()
	for shard := range shards {
		blocks, objects := fake.NewBlockServer(), fake.NewObjectServer()
		blocks.Put(largePiece, make([]byte, largeValue))
		objects.Put(largeObject, make([]byte, largeValue))
		x.blocks = append(x.blocks, blocks)
		x.objects = append(x.objects, objects)
		list.SetEndpoints(discovery.Endpoint{
			ID: fmt.Sprint("s-", shard), Addr: x.serve(blocks.Serve), ObjectAddr: x.serve((&http.Server{Handler: objects}).Serve),
			Zone: "room", Shard: shard, State: "up", Capacity: 1,
		})
	}
	x.startBroker(x.serve((&http.Server{Handler: list}).Serve), list)
	return x
}

// serve runs a server on a new address until the end of the test.
func (x *installation) serve(serve func(net.Listener) error) string {
	x.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = serve(ln) }() // it fails when the listener is closed
	return ln.Addr().String()
}

// startBroker starts the broker with its limit of descriptors and waits until it serves.
func (x *installation) startBroker(discoveryAddr string, list *fake.Discovery) {
	x.t.Helper()
	program, err := programPath()
	if err != nil {
		x.t.Fatal(err)
	}
	path := filepath.Join(x.t.TempDir(), "config.json")
	if err := os.WriteFile(path, x.config(discoveryAddr, list), 0o600); err != nil {
		x.t.Fatal(err)
	}
	x.broker = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s serve", x.limits.sockets, program))
	x.broker.Env = append(os.Environ(), "LB_CONFIG="+path)
	x.broker.Stderr = x.log
	if err := x.broker.Start(); err != nil {
		x.t.Fatal(err)
	}
	x.t.Cleanup(func() {
		_ = x.broker.Process.Kill()
		_ = x.broker.Wait()
		if x.t.Failed() {
			x.t.Logf("log of the broker:\n%s", x.log.tail())
		}
	})
	serving := regexp.MustCompile(`msg=serving broker=\S+ addr=(\S+)`)
	for end := time.Now().Add(startTimeout); x.addr == ""; time.Sleep(time.Millisecond) {
		if m := serving.FindStringSubmatch(x.log.String()); m != nil {
			x.addr = m[1]
		}
		if time.Now().After(end) {
			x.t.Fatal("the broker does not serve")
		}
	}
}

// config returns the broker's configuration. Deadlines are those of the deployment olten-prepress.
func (x *installation) config(discoveryAddr string, list *fake.Discovery) []byte {
	type object = map[string]any
	class := func(name, repeat string, objective, deadline time.Duration) object {
		return object{"name": name, "aim_ns": objective, "give_up_ns": deadline, "importance": 2, "repeat": repeat}
	}
	config := object{
		"name": "n1", "discovery": discoveryAddr, "seed": "1f", "known": list.List(-1),
		"limits": object{"cores": 1, "memory_mb": x.limits.memoryMB, "sockets": x.limits.sockets},
		"settings": object{
			"balancers": 1, "discovery": "ask", "zones": []string{"room"},
			"classes": []object{
				class(readClass, "retryable", 400*time.Millisecond, requestDeadline),
				class(writeClass, "fragile", 600*time.Millisecond, 2*requestDeadline),
			},
			"policies":  []object{{"name": plan, "shares": 1, "value_factor": 1, "usual_rate": 100, "floor_rate": 100}},
			"contract":  object{"ask_within_ns": 10 * time.Second, "cold_from": 0.5, "tip_after_ns": 50 * time.Millisecond, "warm_after_ns": 100 * time.Millisecond},
			"limits":    object{"send_cap": 3, "connect_timeout_ns": 250 * time.Millisecond, "keepalive_ns": 30 * time.Second},
			"specifics": object{"mean_units": 1, "max_units": 8, "n_shards": shards, "cold_bears": 1000, "fair_worth": 0.3},
		},
	}
	switch x.kind {
	case blockFrontend:
		config["listen"] = "127.0.0.1:0"
	case objectFrontend:
		config["object"] = object{"listen": "127.0.0.1:0", "read_class": readClass, "write_class": readClass,
			"complete_class": writeClass, "default_plan": plan}
	}
	text, err := json.Marshal(config)
	if err != nil {
		x.t.Fatal(err)
	}
	return text
}

// checkMemory fails the test if the broker has ended or its resident memory has ever been over its limit.
func (x *installation) checkMemory() {
	x.t.Helper()
	peak, err := peakMemory(x.broker.Process.Pid)
	if err != nil {
		x.t.Errorf("the broker has ended: %v", err)
		return
	}
	limit := int64(x.limits.memoryMB) << 20
	x.t.Logf("peak memory %.1f MB of %d", float64(peak)/(1<<20), x.limits.memoryMB)
	if peak > limit {
		x.t.Errorf("peak memory is %.1f MB, the limit is %d MB", float64(peak)/(1<<20), x.limits.memoryMB)
	}
}

// peakMemory returns the highest resident memory of a process so far, in bytes.
func peakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no memory", pid)
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

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// tail returns the last lines of the log.
func (l *logBuffer) tail() string {
	text := l.String()
	const maxBytes = 4000
	return text[max(0, len(text)-maxBytes):]
}
