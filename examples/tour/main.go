// Command tour is a newcomer's first minute: it puts a whole installation on loopback, drives traffic through both
// fronts, rolls a change out, kills a broker in the middle of it, says what happened, and cleans up after itself.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

func main() {
	program := flag.String("program", "", "poppyarch; else beside this program")
	pace := flag.Duration("pace", 700*time.Millisecond, "pause between the steps, for reading along")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, *program, *pace)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tour:", err)
		os.Exit(1)
	}
}

// guide shows each step and its result.
type guide struct {
	cluster *cluster.Stack
	start   time.Time
	pace    time.Duration
}

func (g *guide) say(format string, args ...any) {
	fmt.Printf("%6.2f s  %s\n", time.Since(g.start).Seconds(), fmt.Sprintf(format, args...))
}

func (g *guide) step(title string) {
	time.Sleep(g.pace)
	fmt.Printf("\n== %s\n", title)
}

// show runs a fleet command and prints it with its output.
func (g *guide) show(args ...string) error {
	fmt.Println("$ poppyarch fleet", strings.Join(args, " "))
	out, err := g.cluster.Run(args...)
	for _, l := range strings.Split(strings.TrimRight(out, "\n"), "\n") {
		fmt.Println("    " + l)
	}
	return err
}

// findProgram returns the path of poppyarch, which is beside this program unless it is named.
func findProgram(program string) (string, error) {
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		program = filepath.Join(filepath.Dir(self), "poppyarch")
	}
	if _, err := exec.LookPath(program); err != nil {
		return "", fmt.Errorf("build first, by go build -o bin/ ./cmd/... ./examples/... there: %w", err)
	}
	return program, nil
}

func run(ctx context.Context, program string, pace time.Duration) (err error) {
	program, err = findProgram(program)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "tour")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: program, Nodes: 3, Blocks: 3, Objects: 2, Agents: 2, Soak: 500 * time.Millisecond})
	if err != nil {
		return err
	}
	g := &guide{cluster: s, start: time.Now(), pace: pace}
	defer func() {
		g.step("Cleaning up")
		err = errors.Join(err, s.Close())
		g.say("agents have drained their brokers, everything has ended")
	}()
	if err := g.install(ctx, dir); err != nil {
		return err
	}
	load := &fake.Traffic{
		Blocks:  s.Block,
		Objects: s.Front,
		Read:    "artwork-read",
		Write:   "job-new",
		Plan:    "basis",
		Shards:  3,
		Clients: 2,
		Pause:   5 * time.Millisecond,
	}
	if err := g.operateUnderLoad(ctx, load); err != nil {
		return err
	}
	g.step("What the clients saw of all this")
	g.say("%v", load)
	fmt.Println("          cut off are requests whose connection ended with a killed or drained broker; no answer was wrong or came twice")
	if n := load.Wrong.Load(); n > 0 {
		return fmt.Errorf("%d wrong answers: %v", n, load.Complaints())
	}
	return nil
}

// install starts the installation and rolls the first inventory out.
func (g *guide) install(ctx context.Context, dir string) error {
	fmt.Println("== An installation on loopback: discovery, 3 storage nodes, a manager, 2 agents, and 5 brokers to come")
	if err := g.cluster.Start(ctx); err != nil {
		return err
	}
	g.say("discovery and storage nodes serve; the manager answers; the agents have registered")
	if err := g.cluster.Inventory(map[string]string{"memory_mb": "96"}); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(dir, "inventory.yaml"))
	if err != nil {
		return err
	}
	g.step("The desired state: an inventory")
	fmt.Println("    " + strings.ReplaceAll(strings.TrimRight(string(text), "\n"), "\n", "\n    "))
	g.step("Applying it: a canary first, then waves, each one soaked before the next")
	if err := g.show("apply", "--wait", "--note", "first"); err != nil {
		return err
	}
	if err := g.settled(ctx); err != nil {
		return err
	}
	g.step("The fleet now")
	return g.show("status")
}

// operateUnderLoad changes the fleet while clients send requests.
func (g *guide) operateUnderLoad(ctx context.Context, load *fake.Traffic) error {
	g.step("Traffic through both frontends: blocks over RESP2, objects over HTTP")
	loadCtx, stop := context.WithCancel(ctx)
	var traffic sync.WaitGroup
	traffic.Go(func() { load.Run(loadCtx) })
	defer traffic.Wait()
	defer stop()
	time.Sleep(g.pace)
	g.say("so far %v", load)
	if err := g.killBrokerDuringRollout(ctx); err != nil {
		return err
	}
	g.step("An operator drains a storage node: at every broker at once, without a restart")
	if err := g.show("nodes", "drain", "s-2", "--wait", "--note", "disk swap"); err != nil {
		return err
	}
	if err := g.show("nodes", "clear", "s-2", "--wait"); err != nil {
		return err
	}
	g.step("Back to the first revision")
	if err := g.show("rollout", "rollback", "--to", "1", "--wait"); err != nil {
		return err
	}
	return g.show("history")
}

// killBrokerDuringRollout rolls a change out and kills a broker meanwhile.
func (g *guide) killBrokerDuringRollout(ctx context.Context) error {
	g.step("A change that restarts every broker, and a broker killed in the middle of it")
	if err := g.cluster.Inventory(map[string]string{"memory_mb": "128", "log": "debug"}); err != nil {
		return err
	}
	if err := g.show("plan"); err != nil {
		return err
	}
	if err := g.show("apply", "--note", "more memory"); err != nil {
		return err
	}
	if err := g.follow(ctx, func(r state.RolloutStatus) bool { return r.Wave >= 1 }); err != nil {
		return err
	}
	if err := g.cluster.KillBroker(ctx, "b2"); err != nil {
		g.say("b2 is just being restarted: %v", err)
	} else {
		g.say("b2 killed with SIGKILL")
	}
	if err := g.follow(ctx, func(r state.RolloutStatus) bool { return r.Phase == state.Done }); err != nil {
		return err
	}
	if err := g.settled(ctx); err != nil {
		return err
	}
	return g.show("status")
}

// follow tells a rollout's progress until ok.
func (g *guide) follow(ctx context.Context, ok func(state.RolloutStatus) bool) error {
	last := ""
	for {
		progress, err := g.cluster.Client.Wait(ctx, 0, 50*time.Millisecond)
		if err != nil {
			return err
		}
		if len(progress.Rollouts) > 0 {
			r := progress.Rollouts[0]
			if text := fmt.Sprintf("rollout %d %s: wave %d of %d, %d of %d released, %d as wanted", r.Revision, r.Phase, min(r.Wave+1, r.Waves), r.Waves,
				r.Released, r.Size, r.Current); text != last {
				g.say("%s", text)
				last = text
			}
			if ok(r) {
				return nil
			}
			if r.Phase == state.Paused {
				return fmt.Errorf("rollout %d is paused: %s", r.Revision, r.Reason)
			}
		}
	}
}

func (g *guide) settled(ctx context.Context) error {
	for {
		o, err := g.cluster.Client.Overview(ctx, nil, nil)
		if err != nil {
			return err
		}
		if o.Settled {
			g.say("settled: %s", summary(o))
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func summary(o api.Overview) string {
	return fmt.Sprintf("revision %d, %d of %d instances available, each current by its own word", o.Revision, o.Enabled-o.Unavailable, o.Enabled)
}
