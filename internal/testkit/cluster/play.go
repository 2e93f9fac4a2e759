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

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/check"
	"poppyarch/internal/testkit/fake"
)

// Hang has a node take requests and answer none, until the returned function is called. Requests that came meanwhile
// stay without an answer.
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

// Play drives a scripted incident with overlapping failures over a running fleet, each part as long as unit says, and
// returns what really happened. Storage nodes go silent while brokers die; a node is drained during a volume's surge; discovery goes
// down; a rollout goes through at the end.
func (s *Stack) Play(ctx context.Context, load *fake.Traffic, unit time.Duration, say func(string)) (truths []check.Truth, gaps []check.Gap, err error) {
	now := func() int64 { return time.Now().UnixMicro() }
	on, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { load.Run(on) })
	defer all.Wait()
	defer stop()
	rest := func(units float64) {
		t := time.NewTimer(time.Duration(units * float64(unit)))
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	kill := func(name string) (func() error, error) {
		id, _, err := s.Broker(ctx, name)
		if err != nil {
			return nil, err
		}
		at := now()
		if err := id.Signal(syscall.SIGKILL); err != nil {
			return nil, err
		}
		say(name + " killed")
		i := len(truths)
		truths = append(truths, check.Truth{Kind: incident.BrokerDead, Subject: name, Begin: at})
		// Its agent starts it again; when it is back is read from its new boot.
		return func() error {
			for ctx.Err() == nil {
				if next, _, err := s.Broker(ctx, name); err == nil && next != id {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			back := now()
			truths[i].End = back
			gaps = append(gaps, check.Gap{Broker: name, State: incident.Dead, From: at, To: back})
			say(name + " is back")
			return ctx.Err()
		}, nil
	}
	rest(3)
	say("node s-1 goes silent")
	silent := now()
	release := s.Hang(1)
	rest(0.5)
	back1, err := kill("b1")
	if err != nil {
		return nil, nil, err
	}
	rest(0.3)
	back2, err := kill("o1")
	if err != nil {
		return nil, nil, err
	}
	if err := back1(); err != nil {
		return nil, nil, err
	}
	if err := back2(); err != nil {
		return nil, nil, err
	}
	rest(2)
	release()
	truths = append(truths, check.Truth{Kind: incident.NodeSilent, Subject: "s-1", Begin: silent, End: now()})
	say("node s-1 answers again")
	rest(2)

	say("node s-2 drains, and discovery goes down after it")
	drain := now()
	target := s.Disc.List(-1).Endpoints[2]
	target.State = "draining"
	s.Disc.Set(target)
	rest(1)
	down := now()
	s.Disc.SetDown(true)
	rest(2)
	s.Disc.SetDown(false)
	truths = append(truths, check.Truth{Kind: incident.DiscoveryDown, Subject: "discovery", Begin: down, End: now()})
	say("discovery is back")
	rest(2)
	target.State = "up"
	s.Disc.Set(target)
	truths = append(truths, check.Truth{Kind: incident.NodeDrain, Subject: "s-2", Begin: drain, End: now()})
	rest(1)

	say("a volume surges")
	surge := now()
	extra := &fake.Traffic{Blocks: s.Block, Read: load.Read, Write: load.Write, Plan: load.Plan, Shards: load.Shards, Clients: 1, Volume: 0xabcd,
		Pause: load.Pause / 20}
	som, halt := context.WithTimeout(ctx, 4*unit)
	extra.Run(som)
	halt()
	truths = append(truths, check.Truth{Kind: incident.VolumeSurge, Subject: "000000000000abcd", Begin: surge, End: now()})
	rest(2)
	slices.SortFunc(truths, func(a, b check.Truth) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	load.Wrong.Add(extra.Wrong.Load())
	return truths, gaps, ctx.Err()
}
