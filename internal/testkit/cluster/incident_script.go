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

// Hang makes a node take requests and answer none, until the returned function is called. Requests that came meanwhile
// stay unanswered.
func (s *Stack) Hang(node int) (release func()) {
	s.Stores[node].SetHook(func(redcon.Conn, redcon.Command) bool { return true })
	s.Object[node].SetHook(func(_ http.ResponseWriter, r *http.Request, _ func()) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	return func() {
		s.Stores[node].SetHook(nil)
		s.Object[node].SetHook(nil)
	}
}

const (
	// surgingVolume is the volume of the script's surge; surgeFactor is how much shorter its clients' pauses are.
	surgingVolume     = 0xabcd
	surgingVolumeName = "000000000000abcd"
	surgeFactor       = 20
	surgeUnits        = 4

	restartPoll = 5 * time.Millisecond
)

// incidentScript is a scripted incident while it is played. It records what really happens.
type incidentScript struct {
	ctx     context.Context
	cluster *Stack
	load    *fake.Traffic
	unit    time.Duration
	log     func(string)
	truths  []check.Truth
	gaps    []check.Gap
}

// Play plays a scripted incident with overlapping failures on a running fleet, each part as long as unit says, and
// returns what really happened. A storage node goes silent while brokers die; a node is drained, and discovery goes down
// meanwhile; a volume surges.
func (s *Stack) Play(ctx context.Context, load *fake.Traffic, unit time.Duration, log func(string)) ([]check.Truth, []check.Gap, error) {
	loadCtx, stop := context.WithCancel(ctx)
	var traffic sync.WaitGroup
	traffic.Go(func() { load.Run(loadCtx) })
	defer traffic.Wait()
	defer stop()
	script := &incidentScript{ctx: ctx, cluster: s, load: load, unit: unit, log: log}
	script.pause(3)
	if err := script.killBrokersWhileNodeIsSilent(); err != nil {
		return nil, nil, err
	}
	script.pause(2)
	script.drainNodeWhileDiscoveryIsDown()
	script.pause(1)
	script.surge()
	script.pause(2)
	slices.SortFunc(script.truths, func(a, b check.Truth) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return script.truths, script.gaps, ctx.Err()
}

// now is the wall clock.
func now() clock.Micros { return clock.Micros(time.Now().UnixMicro()) }

// pause waits for a number of units.
func (x *incidentScript) pause(units float64) {
	timer := time.NewTimer(time.Duration(units * float64(x.unit)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
}

// happened records an episode that ends now.
func (x *incidentScript) happened(kind incident.Kind, subject string, begin clock.Micros) {
	x.truths = append(x.truths, check.Truth{Kind: kind, Subject: subject, Begin: begin, End: now()})
}

func (x *incidentScript) killBrokersWhileNodeIsSilent() error {
	x.log("node s-1 goes silent")
	silent := now()
	release := x.cluster.Hang(1)
	x.pause(0.5)
	first, err := x.kill("b1")
	if err != nil {
		return err
	}
	x.pause(0.3)
	second, err := x.kill("o1")
	if err != nil {
		return err
	}
	for _, broker := range []*killedBroker{first, second} {
		if err := x.awaitRestart(broker); err != nil {
			return err
		}
	}
	x.pause(2)
	release()
	x.happened(incident.NodeSilent, "s-1", silent)
	x.log("node s-1 answers again")
	return nil
}

// killedBroker is a broker that was killed and whose agent starts it again.
type killedBroker struct {
	name    string
	process process.Identity
	at      clock.Micros // of the kill
}

func (x *incidentScript) kill(name string) (*killedBroker, error) {
	id, _, err := x.cluster.Broker(x.ctx, name)
	if err != nil {
		return nil, err
	}
	killed := &killedBroker{name: name, process: id, at: now()}
	if err := id.Signal(syscall.SIGKILL); err != nil {
		return nil, err
	}
	x.log(name + " killed")
	return killed, nil
}

// awaitRestart waits for a new process of the broker and records the death.
func (x *incidentScript) awaitRestart(killed *killedBroker) error {
	for x.ctx.Err() == nil {
		if id, _, err := x.cluster.Broker(x.ctx, killed.name); err == nil && id != killed.process {
			break
		}
		time.Sleep(restartPoll)
	}
	x.happened(incident.BrokerDead, killed.name, killed.at)
	x.gaps = append(x.gaps, check.Gap{Broker: killed.name, State: incident.Dead, From: killed.at, To: now()})
	x.log(killed.name + " is back")
	return x.ctx.Err()
}

func (x *incidentScript) drainNodeWhileDiscoveryIsDown() {
	x.log("node s-2 drains, and discovery goes down after it")
	drain := now()
	endpoint := x.cluster.Disc.List(-1).Endpoints[2]
	endpoint.State = "draining"
	x.cluster.Disc.Set(endpoint)
	x.pause(1)
	down := now()
	x.cluster.Disc.SetDown(true)
	x.pause(2)
	x.cluster.Disc.SetDown(false)
	x.happened(incident.DiscoveryDown, "discovery", down)
	x.log("discovery is back")
	x.pause(2)
	endpoint.State = "up"
	x.cluster.Disc.Set(endpoint)
	x.happened(incident.NodeDrain, "s-2", drain)
}

func (x *incidentScript) surge() {
	x.log("a volume surges")
	begin := now()
	extra := &fake.Traffic{
		Blocks:  x.cluster.Block,
		Read:    x.load.Read,
		Write:   x.load.Write,
		Plan:    x.load.Plan,
		Shards:  x.load.Shards,
		Clients: 1,
		Volume:  surgingVolume,
		Pause:   x.load.Pause / surgeFactor,
	}
	ctx, stop := context.WithTimeout(x.ctx, surgeUnits*x.unit)
	extra.Run(ctx)
	stop()
	x.happened(incident.VolumeSurge, surgingVolumeName, begin)
	x.load.Wrong.Add(extra.Wrong.Load())
}
