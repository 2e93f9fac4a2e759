// Package cluster puts a whole installation on loopback, for tests, measurements and the tour: storage nodes and discovery
// as stand-ins in this process, a manager and agents as processes, and the brokers that the agents start.
package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/host/process"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

// Options says what to put up.
type Options struct {
	Dir     string   // an empty folder
	Program string   // poppyarch
	Env     []string // for its processes
	Nodes   int
	Blocks  int // brokers with a block front
	Objects int // and with an object front
	Agents  int
	Soak    time.Duration
	Log     io.Writer     // of manager and agents; nil: files in Dir
	Aim     time.Duration // of all classes; 0: 20 s, so that no slow machine changes a verdict
	Record  bool          // brokers record to Dir/records
	Lists   bool          // nodes stand in Dir/nodes.csv, and discovery knows none
}

// Stack is a running installation.
type Stack struct {
	opt     Options
	Config  string // fleet.toml of the manager and the command line
	Client  *api.Client
	Disc    *fake.Discovery
	Stores  []*fake.Block
	Object  []*fake.Objects
	Block   []string // addresses of the block fronts
	Front   []string // and of the object fronts
	addrs   []string // of the nodes
	objects []string

	stops []func()
	mu    sync.Mutex
	procs map[string]*exec.Cmd
}

// New starts stand-ins and writes the files; Start starts the processes.
func New(o Options) (*Stack, error) {
	s := &Stack{opt: o, procs: map[string]*exec.Cmd{}, Disc: fake.NewDiscovery(), Config: filepath.Join(o.Dir, "fleet.toml")}
	serve := func(f func(net.Listener) error) (string, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		go func() { _ = f(ln) }()
		s.stops = append(s.stops, func() { _ = ln.Close() })
		return ln.Addr().String(), nil
	}
	for k := range o.Nodes {
		b, ob := fake.NewBlock(), fake.NewObjects()
		ba, err := serve(b.Serve)
		if err != nil {
			return nil, err
		}
		oa, err := serve((&http.Server{Handler: ob}).Serve)
		if err != nil {
			return nil, err
		}
		s.Stores, s.Object, s.addrs = append(s.Stores, b), append(s.Object, ob), append(s.addrs, ba)
		s.objects = append(s.objects, oa)
		if o.Lists {
			continue
		}
		s.Disc.Set(discovery.Endpoint{ID: fmt.Sprint("s-", k), Addr: ba, ObjectAddr: oa, Zone: "room", Model: "toy", Shard: k, State: "up",
			Capacity: 1})
	}
	at, err := serve((&http.Server{Handler: s.Disc}).Serve)
	if err != nil {
		return nil, err
	}
	if o.Lists {
		if err := s.write("nodes.csv", s.List(nil)); err != nil {
			return nil, err
		}
	}
	if err := s.write("broker.json", s.broker(at)); err != nil {
		return nil, err
	}
	ports, err := Ports(o.Blocks + o.Objects + 1)
	if err != nil {
		return nil, err
	}
	s.Block, s.Front = ports[:o.Blocks], ports[o.Blocks:o.Blocks+o.Objects]
	listen := ports[o.Blocks+o.Objects]
	soak := o.Soak
	if soak == 0 {
		soak = 500 * time.Millisecond
	}
	s.Client = api.NewClient(listen)
	for k := range o.Agents {
		text := fmt.Sprintf("[agent]\nname = \"m%d\"\nmanager = %q\njournal = \"agent%d\"\nrun_dir = \"run%d\"\nlook = \"300ms\"\n", k+1, listen, k+1, k+1)
		if err := s.write(fmt.Sprintf("agent%d.toml", k+1), text); err != nil {
			return nil, err
		}
	}
	return s, s.write("fleet.toml", fmt.Sprintf("[manager]\nlisten = %q\njournal = \"manager\"\nsilence = \"3s\"\n[fleet]\nmanager = %q\n"+
		"inventory = \"inventory.yaml\"\n[strategy]\ncanary = 1\nbatch = \"2\"\nmax_unavailable = \"1\"\nsoak = \"%dms\"\ndeadline = \"60s\"\n",
		listen, listen, soak.Milliseconds()))
}

// Ports finds free addresses on loopback. The system does not give the same one again soon.
func Ports(n int) (out []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

func (s *Stack) write(name, text string) error {
	tmp := filepath.Join(s.opt.Dir, ".new")
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Join(s.opt.Dir, name))
}

// broker is the configuration that all brokers start from. Aims are long, so that no slow machine changes a verdict.
func (s *Stack) broker(disc string) string {
	type m = map[string]any
	aim := s.opt.Aim
	if aim == 0 {
		aim = 20 * time.Second
	}
	class := func(name, repeat string) m {
		return m{"name": name, "aim_ns": aim.Nanoseconds(), "give_up_ns": (5 * aim / 4).Nanoseconds(), "importance": 1, "repeat": repeat}
	}
	doc := m{
		"discovery": disc, "known": s.Disc.List(-1), "limits": m{"cores": 1, "memory_mb": 96, "sockets": 512},
		"settings": m{"balancers": s.opt.Blocks + s.opt.Objects, "discovery": "ask", "zones": []string{"room"},
			"classes": []m{class("artwork-read", "retryable"), class("job-new", "fragile"), class("object-read", "retryable"),
				class("object-write", "retryable"), class("object-complete", "fragile")},
			"policies":  []m{{"name": "basis", "shares": 1, "value_factor": 1, "usual_rate": 5000, "floor_rate": 5000}},
			"contract":  m{"ask_within_ns": 10e9, "cold_from": 0.5, "tip_after_ns": 50e6, "warm_after_ns": 100e6},
			"limits":    m{"send_cap": 3, "connect_timeout_ns": 2e9, "keepalive_ns": 30e9, "retry_after": true, "max_retry_after_ns": 2e9},
			"specifics": m{"mean_units": 1, "max_units": 8, "n_shards": s.opt.Nodes, "cold_bears": 5000, "fair_worth": 0.3}},
		"object": m{"listen": "127.0.0.1:0", "read_class": "object-read", "write_class": "object-write", "complete_class": "object-complete",
			"default_plan": "basis"},
		"tuning": m{"drain_serve": 300000, "drain_accept": 300000, "drain_answer": 2500000, "drain_total": 4000000},
	}
	if s.opt.Lists {
		doc["nodes"] = m{"files": []string{filepath.Join(s.opt.Dir, "nodes.csv")}}
	}
	if s.opt.Record {
		doc["record"] = m{"dir": s.Records()}
	}
	b, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		panic(err) // plain values always marshal
	}
	return string(b)
}

// Inventory writes the inventory: every broker, with these settings for all. Brokers go by turns to the agents.
func (s *Stack) Inventory(vars map[string]string) error {
	var b strings.Builder
	b.WriteString("all:\n  vars:\n    config: broker.json\n")
	for _, key := range []string{"memory_mb", "sockets", "log", "max_open", "config"} {
		if v := vars[key]; v != "" && key != "config" {
			fmt.Fprintf(&b, "    %s: %s\n", key, v)
		}
	}
	b.WriteString("  children:\n    blocks:\n      hosts:\n")
	for k, at := range s.Block {
		fmt.Fprintf(&b, "        b%d: {listen: %q, agent: m%d}\n", k+1, at, k%s.opt.Agents+1)
	}
	b.WriteString("    objects:\n      hosts:\n")
	for k, at := range s.Front {
		fmt.Fprintf(&b, "        o%d: {object_listen: %q, agent: m%d}\n", k+1, at, k%s.opt.Agents+1)
	}
	return s.write("inventory.yaml", b.String())
}

// Records is where brokers record, if they do.
func (s *Stack) Records() string { return filepath.Join(s.opt.Dir, "records") }

// List is the text of a list with all nodes. edit may change a node's row; an empty one is left out.
func (s *Stack) List(edit func(node int, row string) string) string {
	var b strings.Builder
	b.WriteString("id,addr,objects,shard,state\n")
	for k := range s.addrs {
		row := fmt.Sprintf("s-%d,%s,%s,%d,up", k, s.addrs[k], s.objects[k], k)
		if edit != nil {
			row = edit(k, row)
		}
		if row != "" {
			b.WriteString(row + "\n")
		}
	}
	return b.String()
}

// Manager starts the manager.
func (s *Stack) Manager() error { return s.start("manager", "fleet", "manager", "-c", s.Config) }

// Agent starts the k-th agent, from 1.
func (s *Stack) Agent(k int) error {
	return s.start(fmt.Sprint("agent", k), "fleet", "agent", "-c", filepath.Join(s.opt.Dir, fmt.Sprintf("agent%d.toml", k)), "--drain")
}

// Start starts the manager and all agents, and waits until the manager answers.
func (s *Stack) Start(ctx context.Context) error {
	if err := s.Manager(); err != nil {
		return err
	}
	for k := range s.opt.Agents {
		if err := s.Agent(k + 1); err != nil {
			return err
		}
	}
	for {
		_, err := s.Client.Overview(ctx, nil, nil)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Up puts a stack up in an empty folder, with all its brokers settled.
func Up(ctx context.Context, o Options) (*Stack, error) {
	s, err := New(o)
	if err != nil {
		return nil, err
	}
	err = s.Start(ctx)
	if err == nil {
		err = s.Inventory(map[string]string{"memory_mb": "96"})
	}
	if err == nil {
		var out string
		if out, err = s.Run("apply", "--wait"); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Stack) start(name string, args ...string) error {
	cmd := exec.Command(s.opt.Program, args...)
	cmd.Env = append(os.Environ(), s.opt.Env...)
	// Of one tree: should this process be killed, so are manager and agents.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if s.opt.Log != nil {
		cmd.Stderr = s.opt.Log
	} else {
		f, err := os.OpenFile(filepath.Join(s.opt.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		cmd.Stderr = f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.procs[name] = cmd
	s.mu.Unlock()
	return nil
}

// Kill kills the manager or an agent ("agent1") at once.
func (s *Stack) Kill(name string) {
	s.mu.Lock()
	cmd := s.procs[name]
	delete(s.procs, name)
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// Run runs a command line against the manager and returns its output.
func (s *Stack) Run(args ...string) (string, error) {
	cmd := exec.Command(s.opt.Program, append([]string{"fleet", "-c", s.Config}, args...)...)
	cmd.Env = append(os.Environ(), s.opt.Env...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Broker identifies the process of a broker, as the manager last heard.
func (s *Stack) Broker(ctx context.Context, name string) (process.Identity, string, error) {
	o, err := s.Client.Overview(ctx, []string{name}, nil)
	if err != nil || len(o.Instances) != 1 {
		return process.Identity{}, "", fmt.Errorf("%s: %d instances, %w", name, len(o.Instances), err)
	}
	i := o.Instances[0]
	if i.Report.PID == 0 {
		return process.Identity{}, "", fmt.Errorf("%s: no process", name)
	}
	id, err := process.Identify(i.Report.PID)
	return id, i.Report.Incarnation, err
}

// KillBroker kills a broker at once.
func (s *Stack) KillBroker(ctx context.Context, name string) error {
	id, _, err := s.Broker(ctx, name)
	if err != nil {
		return err
	}
	return id.Signal(syscall.SIGKILL)
}

// Close ends everything: agents drain their brokers, what is left after a while is killed.
func (s *Stack) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var left []process.Identity
	if o, err := s.Client.Overview(ctx, nil, nil); err == nil {
		for _, i := range o.Instances {
			if id, err := process.Identify(i.Report.PID); err == nil && i.Report.PID > 0 {
				left = append(left, id)
			}
		}
	}
	s.Client.Close()
	s.mu.Lock()
	procs := s.procs
	s.procs = map[string]*exec.Cmd{}
	s.mu.Unlock()
	var all sync.WaitGroup
	end := func(cmd *exec.Cmd, wait time.Duration) {
		all.Go(func() {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			t := time.AfterFunc(wait, func() { _ = cmd.Process.Kill() })
			_ = cmd.Wait()
			t.Stop()
		})
	}
	for name, cmd := range procs {
		if name != "manager" {
			end(cmd, 30*time.Second)
		}
	}
	all.Wait()
	if cmd := procs["manager"]; cmd != nil {
		end(cmd, 5*time.Second)
	}
	all.Wait()
	var err error
	for _, id := range left {
		if id.Signal(syscall.SIGKILL) == nil {
			err = errors.Join(err, fmt.Errorf("broker with pid %d had to be killed", id.PID), id.Wait(context.Background()))
		}
	}
	for _, stop := range s.stops {
		stop()
	}
	return err
}
