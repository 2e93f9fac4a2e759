package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"poppyarch/internal/lab/model"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

// Installation is a running deployment of a scenario on loopback: simulated nodes and discovery in this process, and
// real brokers.
type Installation struct {
	Scenario    *model.Scenario
	BlockAddrs  []string // addresses of the brokers' block API
	ObjectAddrs []string // addresses of their object API, if it is used instead

	nodes []*fake.TimedBlockServer
	stops []func() error
}

// Start starts a broker with a configuration file and returns a function that stops it.
type Start func(name, config string) (stop func() error, err error)

// Options configure an installation.
type Options struct {
	Dir          string // folder for the brokers' configuration files
	UseObjectAPI bool   // use the object API (HTTP) instead of the block protocol
	Records      string // folder for the brokers' records; they do not record if it is empty
}

// Install starts the nodes, discovery and brokers of a scenario. Of the scenario's faults it supports pauses and those
// of clients. The others need a lossy network and are rejected with an error that names them.
func Install(s *model.Scenario, o Options, start Start) (in *Installation, err error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	for i, t := range s.Faults {
		switch t.Kind {
		case "pause", "hot", "load", "reconnect":
		default:
			return nil, fmt.Errorf("scenario %s: trouble[%d].kind: %s can only be simulated; sockets support pause, hot, load and reconnect", s.Name, i, t.Kind)
		}
	}
	in = &Installation{Scenario: s}
	defer func() {
		if err != nil {
			err = errors.Join(err, in.Close())
			in = nil
		}
	}()
	discoveryServer := fake.NewDiscovery()
	for _, k := range s.Nodes {
		for range k.Count {
			n := &fake.TimedBlockServer{Cores: k.Cores, Speed: k.Speed, QueueCapacity: k.QueueCapacity, HandshakeWork: time.Duration(s.Service.Handshake)}
			block, err := in.serve(n.Serve)
			if err != nil {
				return in, err
			}
			t := discovery.Endpoint{ID: fmt.Sprintf("s-%04d", len(in.nodes)), Addr: block, Zone: "room", Shard: len(in.nodes), State: "up", Capacity: 1}
			if o.UseObjectAPI {
				objects := fake.NewObjectServer()
				objects.SetHook(func(w http.ResponseWriter, r *http.Request, next func()) {
					done, ok := n.Schedule(ObjectWork(r.URL.Path))
					if !ok {
						w.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					done()
					next()
				})
				if t.ObjectAddr, err = in.serve((&http.Server{Handler: objects}).Serve); err != nil {
					return in, err
				}
			}
			discoveryServer.SetEndpoints(t)
			in.nodes = append(in.nodes, n)
		}
	}
	addr, err := in.serve((&http.Server{Handler: discoveryServer}).Serve)
	if err != nil {
		return in, err
	}
	return in, in.startBrokers(o, addr, discoveryServer.List(-1), start)
}

// serve runs a server on a port that the system chooses, and returns its address.
func (in *Installation) serve(run func(net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = run(ln) }()
	in.stops = append(in.stops, ln.Close)
	return ln.Addr().String(), nil
}

// startBrokers configures and starts the brokers, and waits until they listen.
func (in *Installation) startBrokers(o Options, discoveryAddr string, known discovery.List, start Start) error {
	settings, err := in.Scenario.BrokerSettings()
	if err != nil {
		return err
	}
	addrs, release, err := cluster.ReserveAddresses(in.Scenario.Brokers)
	if err != nil {
		return err
	}
	in.stops = append(in.stops, release)
	type m = map[string]any
	for i, addr := range addrs {
		name := fmt.Sprint("b", i+1)
		doc := m{"name": name, "discovery": discoveryAddr, "known": known, "settings": settings, "limits": m{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"tuning": m{"drain_serve": 1000, "drain_accept": 1000}}
		if o.Records != "" {
			doc["record"] = m{"dir": filepath.Join(o.Records, name)}
		}
		if o.UseObjectAPI {
			object, err := in.objectSettings(addr)
			if err != nil {
				return err
			}
			doc["object"] = object
			in.ObjectAddrs = append(in.ObjectAddrs, addr)
		} else {
			doc["listen"] = addr
			in.BlockAddrs = append(in.BlockAddrs, addr)
		}
		text, err := json.MarshalIndent(doc, "", " ")
		if err != nil {
			return err
		}
		path := filepath.Join(o.Dir, name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		stop, err := start(name, path)
		if err != nil {
			return fmt.Errorf("broker %s: %w", name, err)
		}
		in.stops = append(in.stops, stop)
	}
	for _, addr := range addrs {
		if err := waitListening(addr); err != nil {
			return err
		}
	}
	return nil
}

// objectSettings returns the configuration of the object API. Reads use the first class that reads and always allows
// retries, writes the first class that writes. Every volume is a bucket of its plan.
func (in *Installation) objectSettings(addr string) (map[string]any, error) {
	read, write := "", ""
	for _, c := range in.Scenario.RequestClasses() {
		if c.Writes && write == "" {
			write = c.Name
		} else if !c.Writes && c.Idempotency == "always" && read == "" {
			read = c.Name
		}
	}
	if read == "" || write == "" || len(in.Scenario.Plans) == 0 {
		return nil, fmt.Errorf("scenario %s: the object API needs a class that reads with repeat = \"always\", a class that writes, and at least one plan", in.Scenario.Name)
	}
	buckets := map[string]string{}
	volumes, err := model.VolumePlans(in.Scenario)
	if err != nil {
		return nil, err
	}
	for name, plan := range volumes {
		buckets[Bucket(name)] = in.Scenario.Plans[plan].Name
	}
	return map[string]any{"listen": addr, "read_class": read, "write_class": write, "complete_class": write, "default_plan": in.Scenario.Plans[0].Name,
		"buckets": buckets, "unit_bytes": UnitBytes}, nil
}

// waitListening waits up to 30 s until a broker accepts connections.
func waitListening(addr string) error {
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			return fmt.Errorf("broker at %s does not accept connections: %w", addr, err)
		}
	}
}

// Run sends the requests of the scenario's clients, simulates its pauses of nodes, and returns the measurements of
// clients and nodes.
func (in *Installation) Run(ctx context.Context, seed uint64) (*Report, error) {
	pausing, stop := context.WithCancel(ctx)
	var pauses sync.WaitGroup
	defer pauses.Wait()
	defer stop()
	for i, n := range in.nodes {
		for k := range in.Scenario.Faults {
			if t := &in.Scenario.Faults[k]; t.Kind == "pause" {
				pauses.Go(func() { in.runPauses(pausing, t, n, seed, uint64(k)<<32|uint64(i)) })
			}
		}
	}
	before := in.nodeCounts()
	generator := &Generator{Scenario: in.Scenario, Seed: seed, BlockAddrs: in.BlockAddrs, ObjectAddrs: in.ObjectAddrs}
	rep, err := generator.Run(ctx)
	if err != nil {
		return nil, err
	}
	after := in.nodeCounts()
	rep.Attempts, rep.Handshakes, rep.QueueRejections = after[0]-before[0], after[1]-before[1], after[2]-before[2]
	return rep, nil
}

// nodeCounts returns the attempts, new connections and attempts rejected by a full queue, summed over all nodes.
func (in *Installation) nodeCounts() (c [3]int) {
	for _, n := range in.nodes {
		attempts, conns, rejected := n.Counts()
		c[0], c[1], c[2] = c[0]+attempts, c[1]+conns, c[2]+rejected
	}
	return c
}

// Close stops the brokers, the simulated nodes and discovery.
func (in *Installation) Close() (err error) {
	for i := len(in.stops) - 1; i >= 0; i-- {
		err = errors.Join(err, in.stops[i]())
	}
	in.stops = nil
	return err
}

// runPauses pauses a node as the fault describes: once if the fault has a start time, otherwise repeatedly at random
// times until the context ends.
func (in *Installation) runPauses(ctx context.Context, t *model.Fault, n *fake.TimedBlockServer, seed, stream uint64) {
	random := rand.New(rand.NewPCG(seed, stream))
	if random.Float64() >= t.Probability {
		return
	}
	wait := time.Duration(t.StartsAt) + time.Duration(random.Float64()*float64(t.StartSpread))
	for {
		if t.StartsAt == 0 {
			wait = time.Duration(random.ExpFloat64() * float64(t.MeanInterval-t.Duration))
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		n.Pause(time.Duration(t.Duration))
		if t.StartsAt > 0 {
			return
		}
	}
}
