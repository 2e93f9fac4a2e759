package cluster

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"poppyarch/internal/host/process"
	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/check"
	"poppyarch/internal/testkit/fake"
	"poppyarch/internal/timing/clock"
)

// HangNode makes a node accept requests without answering them until release is called. Requests received in between
// are never answered.
func (s *Cluster) HangNode(node int) (release func()) {
	s.BlockServers[node].SetHook(func(redcon.Conn, redcon.Command) bool { return true })
	s.ObjectServers[node].SetHook(func(_ http.ResponseWriter, r *http.Request, _ func()) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	return func() {
		s.BlockServers[node].SetHook(nil)
		s.ObjectServers[node].SetHook(nil)
	}
}

const (
	surgingVolume     = 0xabcd // the volume whose traffic surges
	surgingVolumeName = "000000000000abcd"
	surgeFactor       = 20 // by which the pause between its requests is divided
	surgeUnits        = 4  // duration of the surge

	restartPoll = 5 * time.Millisecond
)

// incidentScript is the state of a run of RunIncident. It records what actually happens, for comparison with an
// analysis.
type incidentScript struct {
	ctx      context.Context
	cluster  *Cluster
	traffic  *fake.Traffic
	unit     time.Duration // the script's unit of time
	log      func(string)
	episodes []check.ActualEpisode
	gaps     []check.ActualGap
}

// RunIncident runs a scripted incident on a running fleet under the given traffic and returns the episodes and
// recording gaps that it caused. A storage node stops answering while brokers are killed, a node is drained while
// discovery is down, and the traffic of a volume surges. The script's delays are multiples of unit. log receives a line
// for each step.
func (s *Cluster) RunIncident(ctx context.Context, traffic *fake.Traffic, unit time.Duration, log func(string)) ([]check.ActualEpisode, []check.ActualGap, error) {
	loadCtx, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { traffic.Run(loadCtx) })
	defer load.Wait()
	defer stop()
	script := &incidentScript{ctx: ctx, cluster: s, traffic: traffic, unit: unit, log: log}
	script.wait(3)
	if err := script.killBrokersWhileNodeIsSilent(); err != nil {
		return nil, nil, err
	}
	script.wait(2)
	script.drainNodeWhileDiscoveryIsDown()
	script.wait(1)
	script.surgeVolume()
	script.wait(2)
	slices.SortFunc(script.episodes, func(a, b check.ActualEpisode) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return script.episodes, script.gaps, ctx.Err()
}

// now returns the wall clock time.
func now() clock.Micros { return clock.Micros(time.Now().UnixMicro()) }

// wait waits for a number of units.
func (x *incidentScript) wait(units float64) {
	timer := time.NewTimer(time.Duration(units * float64(x.unit)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
}

// recordEpisode records an episode that ends now.
func (x *incidentScript) recordEpisode(kind incident.Kind, subject string, begin clock.Micros) {
	x.episodes = append(x.episodes, check.ActualEpisode{Kind: kind, Subject: subject, Begin: begin, End: now()})
}

func (x *incidentScript) killBrokersWhileNodeIsSilent() error {
	x.log("node s-1 stops answering")
	silentSince := now()
	release := x.cluster.HangNode(1)
	x.wait(0.5)
	first, err := x.killBroker("b1")
	if err != nil {
		return err
	}
	x.wait(0.3)
	second, err := x.killBroker("o1")
	if err != nil {
		return err
	}
	for _, broker := range []*killedBroker{first, second} {
		if err := x.awaitRestart(broker); err != nil {
			return err
		}
	}
	x.wait(2)
	release()
	x.recordEpisode(incident.NodeSilent, "s-1", silentSince)
	x.log("node s-1 answers again")
	return nil
}

// killedBroker is a broker that was killed and that its agent restarts.
type killedBroker struct {
	name     string
	identity process.Identity
	killedAt clock.Micros
}

func (x *incidentScript) killBroker(name string) (*killedBroker, error) {
	id, _, err := x.cluster.BrokerProcess(x.ctx, name)
	if err != nil {
		return nil, err
	}
	killed := &killedBroker{name: name, identity: id, killedAt: now()}
	if err := id.Signal(syscall.SIGKILL); err != nil {
		return nil, err
	}
	x.log(name + " killed")
	return killed, nil
}

// awaitRestart waits for a new process of the broker and records the outage.
func (x *incidentScript) awaitRestart(killed *killedBroker) error {
	for x.ctx.Err() == nil {
		if id, _, err := x.cluster.BrokerProcess(x.ctx, killed.name); err == nil && id != killed.identity {
			break
		}
		time.Sleep(restartPoll)
	}
	x.recordEpisode(incident.BrokerDead, killed.name, killed.killedAt)
	x.gaps = append(x.gaps, check.ActualGap{Broker: killed.name, State: incident.Dead, From: killed.killedAt, To: now()})
	x.log(killed.name + " restarted")
	return x.ctx.Err()
}

func (x *incidentScript) drainNodeWhileDiscoveryIsDown() {
	x.log("node s-2 drains; discovery goes down next")
	drainingSince := now()
	endpoint := x.cluster.Discovery.List(-1).Endpoints[2]
	endpoint.State = "draining"
	x.cluster.Discovery.SetEndpoints(endpoint)
	x.wait(1)
	downSince := now()
	x.cluster.Discovery.SetDown(true)
	x.wait(2)
	x.cluster.Discovery.SetDown(false)
	x.recordEpisode(incident.DiscoveryDown, "discovery", downSince)
	x.log("discovery answers again")
	x.wait(2)
	endpoint.State = "up"
	x.cluster.Discovery.SetEndpoints(endpoint)
	x.recordEpisode(incident.NodeDrain, "s-2", drainingSince)
}

func (x *incidentScript) surgeVolume() {
	x.log("traffic of a volume surges")
	begin := now()
	extra := &fake.Traffic{
		BlockAddrs: x.cluster.BlockFrontendAddrs,
		ReadClass:  x.traffic.ReadClass,
		WriteClass: x.traffic.WriteClass,
		Plan:       x.traffic.Plan,
		Shards:     x.traffic.Shards,
		Clients:    1,
		Volume:     surgingVolume,
		Pause:      x.traffic.Pause / surgeFactor,
	}
	ctx, stop := context.WithTimeout(x.ctx, surgeUnits*x.unit)
	extra.Run(ctx)
	stop()
	x.recordEpisode(incident.VolumeSurge, surgingVolumeName, begin)
	x.traffic.WrongResponses.Add(extra.WrongResponses.Load())
}
