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

// Installation is a scenario's nodes and discovery as stand-ins in this process, and its brokers, all on loopback.
type Installation struct {
	Scenario *model.Scenario
	Blocks   []string // addresses of the brokers' block fronts
	Objects  []string // or of their object fronts

	nodes []*fake.Timed
	stops []func() error
}

// Start starts a broker with a configuration file and returns how to end it.
type Start func(name, config string) (stop func() error, err error)

// Options say how a scenario is put up.
type Options struct {
	Dir     string // takes the brokers' configurations
	Objects bool   // brokers speak HTTP in place of the platform's protocol
	Records string // folder that brokers record to; "": they do not
}

// Install puts a scenario up. Of the scenario's troubles pauses are played, and those of clients; others need a network that loses, and are refused by name.
func Install(s *model.Scenario, o Options, start Start) (in *Installation, err error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", s.Name, err)
	}
	for i, t := range s.Faults {
		switch t.Kind {
		case "pause", "hot", "load", "reconnect":
		default:
			return nil, fmt.Errorf("scenario %s: trouble[%d].kind: %s is for the model only; on sockets there are pause, hot, load and reconnect", s.Name, i, t.Kind)
		}
	}
	in = &Installation{Scenario: s}
	defer func() {
		if err != nil {
			err = errors.Join(err, in.Close())
			in = nil
		}
	}()
	disc := fake.NewDiscovery()
	for _, k := range s.Nodes {
		for range k.Count {
			n := &fake.Timed{Cores: k.Cores, Speed: k.Speed, Room: k.QueueCapacity, Handshake: time.Duration(s.Service.Handshake)}
			block, err := in.serve(n.Serve)
			if err != nil {
				return in, err
			}
			t := discovery.Endpoint{ID: fmt.Sprintf("s-%04d", len(in.nodes)), Addr: block, Zone: "room", Shard: len(in.nodes), State: "up", Capacity: 1}
			if o.Objects {
				objects := fake.NewObjects()
				objects.SetHook(func(w http.ResponseWriter, r *http.Request, next func()) {
					done, ok := n.Take(Work(r.URL.Path))
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
			disc.Set(t)
			in.nodes = append(in.nodes, n)
		}
	}
	at, err := in.serve((&http.Server{Handler: disc}).Serve)
	if err != nil {
		return in, err
	}
	return in, in.brokers(o, at, disc.List(-1), start)
}

// serve has a stand-in listen on a port that the system chooses.
func (in *Installation) serve(f func(net.Listener) error) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = f(ln) }()
	in.stops = append(in.stops, ln.Close)
	return ln.Addr().String(), nil
}

func (in *Installation) brokers(o Options, disc string, known discovery.List, start Start) error {
	settings, err := in.Scenario.Settings()
	if err != nil {
		return err
	}
	ports, err := cluster.Ports(in.Scenario.Brokers)
	if err != nil {
		return err
	}
	type m = map[string]any
	for i, at := range ports {
		name := fmt.Sprint("b", i+1)
		doc := m{"name": name, "discovery": disc, "known": known, "settings": settings, "limits": m{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"tuning": m{"drain_serve": 1000, "drain_accept": 1000}}
		if o.Records != "" {
			doc["record"] = m{"dir": filepath.Join(o.Records, name)}
		}
		if o.Objects {
			object, err := in.objects(at)
			if err != nil {
				return err
			}
			doc["object"] = object
			in.Objects = append(in.Objects, at)
		} else {
			doc["listen"] = at
			in.Blocks = append(in.Blocks, at)
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
	for _, at := range ports {
		if err := up(at); err != nil {
			return err
		}
	}
	return nil
}

// objects sets up the object front: a class that may be repeated reads, one that writes writes, every volume is a bucket of its plan.
func (in *Installation) objects(at string) (map[string]any, error) {
	read, write := "", ""
	for _, c := range in.Scenario.Ways() {
		if c.Writes && write == "" {
			write = c.Name
		} else if !c.Writes && c.Idempotency == "always" && read == "" {
			read = c.Name
		}
	}
	if read == "" || write == "" || len(in.Scenario.Plans) == 0 {
		return nil, fmt.Errorf("scenario %s: the object front needs a class that reads and may be repeated, one that writes, and plans", in.Scenario.Name)
	}
	buckets := map[string]string{}
	volumes, err := model.Volumes(in.Scenario)
	if err != nil {
		return nil, err
	}
	for name, plan := range volumes {
		buckets[Bucket(name)] = in.Scenario.Plans[plan].Name
	}
	return map[string]any{"listen": at, "read_class": read, "write_class": write, "complete_class": write, "default_plan": in.Scenario.Plans[0].Name,
		"buckets": buckets, "unit_bytes": UnitBytes}, nil
}

// up waits until a broker listens.
func up(addr string) error {
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			return c.Close()
		}
		if time.Now().After(end) {
			return fmt.Errorf("no broker at %s: %w", addr, err)
		}
	}
}

// Play has the scenario's clients come, with its pauses, and returns what clients and nodes saw.
func (in *Installation) Play(ctx context.Context, seed uint64) (*Report, error) {
	on, stop := context.WithCancel(ctx)
	var pauses sync.WaitGroup
	defer pauses.Wait()
	defer stop()
	for i, n := range in.nodes {
		for k := range in.Scenario.Faults {
			if t := &in.Scenario.Faults[k]; t.Kind == "pause" {
				pauses.Go(func() { in.pause(on, t, n, seed, uint64(k)<<32|uint64(i)) })
			}
		}
	}
	before := in.counts()
	r := &Run{Scenario: in.Scenario, Seed: seed, Blocks: in.Blocks, Objects: in.Objects}
	rep, err := r.Play(ctx)
	if err != nil {
		return nil, err
	}
	after := in.counts()
	rep.Attempts, rep.Handshakes, rep.Full = after[0]-before[0], after[1]-before[1], after[2]-before[2]
	return rep, nil
}

func (in *Installation) counts() (c [3]int) {
	for _, n := range in.nodes {
		a, b, t := n.Counts()
		c[0], c[1], c[2] = c[0]+a, c[1]+b, c[2]+t
	}
	return c
}

// Close ends brokers and stand-ins.
func (in *Installation) Close() (err error) {
	for i := len(in.stops) - 1; i >= 0; i-- {
		err = errors.Join(err, in.stops[i]())
	}
	in.stops = nil
	return err
}

// pause has a node stand still as the trouble says: again and again at times of its own, or once.
func (in *Installation) pause(ctx context.Context, t *model.Fault, n *fake.Timed, seed, which uint64) {
	lots := rand.New(rand.NewPCG(seed, which))
	if lots.Float64() >= t.Share {
		return
	}
	wait := time.Duration(t.At) + time.Duration(lots.Float64()*float64(t.Over))
	for {
		if t.At == 0 {
			wait = time.Duration(lots.ExpFloat64() * float64(t.Every-t.Duration))
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		n.Pause(time.Duration(t.Duration))
		if t.At > 0 {
			return
		}
	}
}
