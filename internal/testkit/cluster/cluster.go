// Package cluster runs a complete installation on loopback for tests, measurements and the tour. The storage nodes and
// the discovery service are fakes in this process. The manager and the agents are separate processes, and the
// agents start the brokers.
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

// Options describes an installation.
type Options struct {
	Dir              string        // an empty folder, which takes all files of the installation
	Program          string        // path of the poppyarch binary
	Env              []string      // added to the environment of every process
	NodeCount        int           // number of storage nodes
	BlockBrokers     int           // number of brokers with a block frontend
	ObjectBrokers    int           // number of brokers with an object frontend
	AgentCount       int           // number of agents
	SoakTime         time.Duration // soak time of a rollout wave; 0 means 500 ms
	LogOutput        io.Writer     // log output of the manager and the agents; nil means a file in Dir for each
	LatencyObjective time.Duration // latency objective of every class; 0 means 20 s, so that a slow machine fails no test
	WriteRecords     bool          // brokers write records to Dir/records
	NodesFromFile    bool          // nodes are listed in Dir/nodes.csv instead of by discovery
}

// Cluster is a running installation.
type Cluster struct {
	options             Options
	ConfigPath          string // path of fleet.toml, which the manager and the command line read
	Client              *api.Client
	Discovery           *fake.Discovery
	BlockServers        []*fake.BlockServer  // the nodes' block servers
	ObjectServers       []*fake.ObjectServer // the nodes' object servers
	BlockFrontendAddrs  []string             // addresses of the brokers' block frontends
	ObjectFrontendAddrs []string             // addresses of the brokers' object frontends
	blockServerAddrs    []string             // addresses of BlockServers
	objectServerAddrs   []string             // addresses of ObjectServers

	stops []func()
	mu    sync.Mutex
	procs map[string]*exec.Cmd
}

// New starts the fakes and writes the configuration files. Start starts the processes.
func New(o Options) (*Cluster, error) {
	s := &Cluster{options: o, procs: map[string]*exec.Cmd{}, Discovery: fake.NewDiscovery(), ConfigPath: filepath.Join(o.Dir, "fleet.toml")}
	serve := func(f func(net.Listener) error) (string, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		go func() { _ = f(ln) }()
		s.stops = append(s.stops, func() { _ = ln.Close() })
		return ln.Addr().String(), nil
	}
	for k := range o.NodeCount {
		blocks, objects := fake.NewBlockServer(), fake.NewObjectServer()
		blockAddr, err := serve(blocks.Serve)
		if err != nil {
			return nil, err
		}
		objectAddr, err := serve((&http.Server{Handler: objects}).Serve)
		if err != nil {
			return nil, err
		}
		s.BlockServers, s.ObjectServers = append(s.BlockServers, blocks), append(s.ObjectServers, objects)
		s.blockServerAddrs, s.objectServerAddrs = append(s.blockServerAddrs, blockAddr), append(s.objectServerAddrs, objectAddr)
		if o.NodesFromFile {
			continue
		}
		s.Discovery.SetEndpoints(discovery.Endpoint{ID: fmt.Sprint("s-", k), Addr: blockAddr, ObjectAddr: objectAddr, Zone: "room", Model: "toy", Shard: k,
			State: "up", Capacity: 1})
	}
	discoveryAddr, err := serve((&http.Server{Handler: s.Discovery}).Serve)
	if err != nil {
		return nil, err
	}
	if o.NodesFromFile {
		if err := s.writeFile("nodes.csv", s.NodeList(nil)); err != nil {
			return nil, err
		}
	}
	if err := s.writeFile("broker.json", s.brokerConfig(discoveryAddr)); err != nil {
		return nil, err
	}
	addrs, release, err := ReserveAddresses(o.BlockBrokers + o.ObjectBrokers + 1)
	if err != nil {
		return nil, err
	}
	s.stops = append(s.stops, func() { _ = release() }) // fails only for sockets that are closed already
	s.BlockFrontendAddrs, s.ObjectFrontendAddrs = addrs[:o.BlockBrokers], addrs[o.BlockBrokers:o.BlockBrokers+o.ObjectBrokers]
	managerAddr := addrs[o.BlockBrokers+o.ObjectBrokers]
	soak := o.SoakTime
	if soak == 0 {
		soak = 500 * time.Millisecond
	}
	s.Client = api.NewClient(managerAddr)
	for k := range o.AgentCount {
		text := fmt.Sprintf("[agent]\nname = \"m%d\"\nmanager = %q\njournal = \"agent%d\"\nrun_dir = \"run%d\"\nlook = \"300ms\"\n",
			k+1, managerAddr, k+1, k+1)
		if err := s.writeFile(fmt.Sprintf("agent%d.toml", k+1), text); err != nil {
			return nil, err
		}
	}
	return s, s.writeFile("fleet.toml", fmt.Sprintf("[manager]\nlisten = %q\njournal = \"manager\"\nsilence = \"3s\"\n[fleet]\nmanager = %q\n"+
		"inventory = \"inventory.yaml\"\n[strategy]\ncanary = 1\nbatch = \"2\"\nmax_unavailable = \"1\"\nsoak = \"%dms\"\ndeadline = \"60s\"\n",
		managerAddr, managerAddr, soak.Milliseconds()))
}

// writeFile replaces a file in the installation's folder atomically.
func (s *Cluster) writeFile(name, text string) error {
	tmp := filepath.Join(s.options.Dir, ".new")
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Join(s.options.Dir, name))
}

// brokerConfig returns the configuration that all brokers share.
func (s *Cluster) brokerConfig(discoveryAddr string) string {
	type m = map[string]any
	aim := s.options.LatencyObjective
	if aim == 0 {
		aim = 20 * time.Second
	}
	class := func(name, repeat string) m {
		return m{"name": name, "aim_ns": aim.Nanoseconds(), "give_up_ns": (5 * aim / 4).Nanoseconds(), "importance": 1, "repeat": repeat}
	}
	doc := m{
		"discovery": discoveryAddr, "known": s.Discovery.List(-1), "limits": m{"cores": 1, "memory_mb": 96, "sockets": 512},
		"settings": m{"balancers": s.options.BlockBrokers + s.options.ObjectBrokers, "discovery": "ask", "zones": []string{"room"},
			"classes": []m{class("artwork-read", "retryable"), class("job-new", "fragile"), class("object-read", "retryable"),
				class("object-write", "retryable"), class("object-complete", "fragile")},
			"policies":  []m{{"name": "basis", "shares": 1, "value_factor": 1, "usual_rate": 5000, "floor_rate": 5000}},
			"contract":  m{"ask_within_ns": 10e9, "cold_from": 0.5, "tip_after_ns": 50e6, "warm_after_ns": 100e6},
			"limits":    m{"send_cap": 3, "connect_timeout_ns": 2e9, "keepalive_ns": 30e9, "retry_after": true, "max_retry_after_ns": 2e9},
			"specifics": m{"mean_units": 1, "max_units": 8, "n_shards": s.options.NodeCount, "cold_bears": 5000, "fair_worth": 0.3}},
		"object": m{"listen": "127.0.0.1:0", "read_class": "object-read", "write_class": "object-write", "complete_class": "object-complete",
			"default_plan": "basis"},
		"tuning": m{"drain_serve": 300000, "drain_accept": 300000, "drain_answer": 2500000, "drain_total": 4000000},
	}
	if s.options.NodesFromFile {
		doc["nodes"] = m{"files": []string{filepath.Join(s.options.Dir, "nodes.csv")}}
	}
	if s.options.WriteRecords {
		doc["record"] = m{"dir": s.RecordsFolder()}
	}
	b, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		panic(err) // plain values always marshal
	}
	return string(b)
}

// WriteInventory writes an inventory with all brokers, which are assigned to the agents in turn. vars are settings of
// every broker.
func (s *Cluster) WriteInventory(vars map[string]string) error {
	var b strings.Builder
	b.WriteString("all:\n  vars:\n    config: broker.json\n")
	for _, key := range []string{"memory_mb", "sockets", "log", "max_open", "config"} {
		if v := vars[key]; v != "" && key != "config" {
			fmt.Fprintf(&b, "    %s: %s\n", key, v)
		}
	}
	b.WriteString("  children:\n    blocks:\n      hosts:\n")
	for k, addr := range s.BlockFrontendAddrs {
		fmt.Fprintf(&b, "        b%d: {listen: %q, agent: m%d}\n", k+1, addr, k%s.options.AgentCount+1)
	}
	b.WriteString("    objects:\n      hosts:\n")
	for k, addr := range s.ObjectFrontendAddrs {
		fmt.Fprintf(&b, "        o%d: {object_listen: %q, agent: m%d}\n", k+1, addr, k%s.options.AgentCount+1)
	}
	return s.writeFile("inventory.yaml", b.String())
}

// RecordsFolder returns the folder that brokers write records to if Options.WriteRecords is set.
func (s *Cluster) RecordsFolder() string { return filepath.Join(s.options.Dir, "records") }

// NodeList returns a node list in CSV with all nodes. edit may replace a node's row, and drops the row if it returns
// "".
func (s *Cluster) NodeList(edit func(node int, row string) string) string {
	var b strings.Builder
	b.WriteString("id,addr,objects,shard,state\n")
	for k := range s.blockServerAddrs {
		row := fmt.Sprintf("s-%d,%s,%s,%d,up", k, s.blockServerAddrs[k], s.objectServerAddrs[k], k)
		if edit != nil {
			row = edit(k, row)
		}
		if row != "" {
			b.WriteString(row + "\n")
		}
	}
	return b.String()
}

// StartManager starts the manager.
func (s *Cluster) StartManager() error {
	return s.startProcess("manager", "fleet", "manager", "-c", s.ConfigPath)
}

// StartAgent starts agent k, counted from 1.
func (s *Cluster) StartAgent(k int) error {
	return s.startProcess(fmt.Sprint("agent", k), "fleet", "agent", "-c", filepath.Join(s.options.Dir, fmt.Sprintf("agent%d.toml", k)), "--drain")
}

// Start starts the manager and all agents, and waits until the manager answers.
func (s *Cluster) Start(ctx context.Context) error {
	if err := s.StartManager(); err != nil {
		return err
	}
	for k := range s.options.AgentCount {
		if err := s.StartAgent(k + 1); err != nil {
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

// StartNew creates and starts an installation in an empty folder, and returns once all brokers run.
func StartNew(ctx context.Context, o Options) (*Cluster, error) {
	s, err := New(o)
	if err != nil {
		return nil, err
	}
	err = s.Start(ctx)
	if err == nil {
		err = s.WriteInventory(map[string]string{"memory_mb": "96"})
	}
	if err == nil {
		var out string
		if out, err = s.RunFleetCommand("apply", "--wait"); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

// startProcess starts a poppyarch process. name is the key for Kill and the base name of the log file.
func (s *Cluster) startProcess(name string, args ...string) error {
	cmd := exec.Command(s.options.Program, args...)
	cmd.Env = append(os.Environ(), s.options.Env...)
	// The process gets a separate process group, so that signals to the group of this process, such as an interrupt from
	// the terminal, do not reach it. Close ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if s.options.LogOutput != nil {
		cmd.Stderr = s.options.LogOutput
	} else {
		f, err := os.OpenFile(filepath.Join(s.options.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// Kill sends SIGKILL to the manager ("manager") or an agent ("agent1") and waits until it has ended.
func (s *Cluster) Kill(name string) {
	s.mu.Lock()
	cmd := s.procs[name]
	delete(s.procs, name)
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// RunFleetCommand runs "poppyarch fleet" with args and returns its output.
func (s *Cluster) RunFleetCommand(args ...string) (string, error) {
	cmd := exec.Command(s.options.Program, append([]string{"fleet", "-c", s.ConfigPath}, args...)...)
	cmd.Env = append(os.Environ(), s.options.Env...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// BrokerProcess returns the process and the incarnation of a broker according to its last report to the manager.
func (s *Cluster) BrokerProcess(ctx context.Context, name string) (process.Identity, string, error) {
	o, err := s.Client.Overview(ctx, []string{name}, nil)
	if err != nil || len(o.Instances) != 1 {
		return process.Identity{}, "", fmt.Errorf("%s: %d instances, %w", name, len(o.Instances), err)
	}
	report := o.Instances[0].Report
	if report.PID == 0 {
		return process.Identity{}, "", fmt.Errorf("broker %s has no process", name)
	}
	id, err := process.Identify(report.PID)
	return id, report.Incarnation, err
}

// KillBroker sends SIGKILL to a broker.
func (s *Cluster) KillBroker(ctx context.Context, name string) error {
	id, _, err := s.BrokerProcess(ctx, name)
	if err != nil {
		return err
	}
	return id.Signal(syscall.SIGKILL)
}

// Close stops the installation. The agents drain their brokers; processes that do not end in time are killed. It
// returns an error if a broker outlived its agent.
func (s *Cluster) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var brokers []process.Identity
	if o, err := s.Client.Overview(ctx, nil, nil); err == nil {
		for _, i := range o.Instances {
			if id, err := process.Identify(i.Report.PID); err == nil && i.Report.PID > 0 {
				brokers = append(brokers, id)
			}
		}
	}
	s.Client.Close()
	s.mu.Lock()
	procs := s.procs
	s.procs = map[string]*exec.Cmd{}
	s.mu.Unlock()
	var ending sync.WaitGroup
	terminate := func(cmd *exec.Cmd, timeout time.Duration) {
		ending.Go(func() {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			timer := time.AfterFunc(timeout, func() { _ = cmd.Process.Kill() })
			_ = cmd.Wait()
			timer.Stop()
		})
	}
	for name, cmd := range procs {
		if name != "manager" {
			terminate(cmd, 30*time.Second)
		}
	}
	ending.Wait()
	if cmd := procs["manager"]; cmd != nil {
		terminate(cmd, 5*time.Second)
	}
	ending.Wait()
	var err error
	for _, id := range brokers {
		if id.Signal(syscall.SIGKILL) == nil {
			err = errors.Join(err, fmt.Errorf("broker with pid %d was still running after its agent ended, killed", id.PID), id.Wait(context.Background()))
		}
	}
	for _, stop := range s.stops {
		stop()
	}
	return err
}
