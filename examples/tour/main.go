// Command tour demonstrates a complete installation in about a minute. It starts one on loopback, sends traffic through
// both frontends, rolls out a change, kills a broker during the rollout, prints what happened, and cleans up.
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
	program := flag.String("program", "", "path of poppyarch; by default in the folder of this program")
	pace := flag.Duration("pace", 700*time.Millisecond, "pause between the steps, to follow the output")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, *program, *pace)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tour:", err)
		os.Exit(1)
	}
}

// guide runs the steps of the tour and prints their results.
type guide struct {
	cluster *cluster.Cluster
	start   time.Time
	pace    time.Duration
}

// logf prints a line with the time since the start.
func (g *guide) logf(format string, args ...any) {
	fmt.Printf("%6.2f s  %s\n", time.Since(g.start).Seconds(), fmt.Sprintf(format, args...))
}

// heading pauses and prints the title of the next step.
func (g *guide) heading(title string) {
	time.Sleep(g.pace)
	fmt.Printf("\n== %s\n", title)
}

// runFleet runs a fleet command and prints it with its output.
func (g *guide) runFleet(args ...string) error {
	fmt.Println("$ poppyarch fleet", strings.Join(args, " "))
	out, err := g.cluster.RunFleetCommand(args...)
	for _, line := range strings.Split(strings.TrimRight(out, "\n"), "\n") {
		fmt.Println("    " + line)
	}
	return err
}

// findProgram returns the path of poppyarch. If program is empty, it is the one in the folder of this program.
func findProgram(program string) (string, error) {
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		program = filepath.Join(filepath.Dir(self), "poppyarch")
	}
	if _, err := exec.LookPath(program); err != nil {
		return "", fmt.Errorf("cannot run poppyarch, build it with: go build -o bin/ ./cmd/... ./examples/...: %w", err)
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
	s, err := cluster.New(cluster.Options{Dir: dir, Program: program, NodeCount: 3, BlockBrokers: 3, ObjectBrokers: 2, AgentCount: 2, SoakTime: 500 * time.Millisecond})
	if err != nil {
		return err
	}
	g := &guide{cluster: s, start: time.Now(), pace: pace}
	defer func() {
		g.heading("Cleaning up")
		err = errors.Join(err, s.Close())
		g.logf("the agents have drained their brokers; all processes have ended")
	}()
	if err := g.install(ctx, dir); err != nil {
		return err
	}
	load := &fake.Traffic{
		BlockAddrs:  s.BlockFrontendAddrs,
		ObjectAddrs: s.ObjectFrontendAddrs,
		ReadClass:   "artwork-read",
		WriteClass:  "job-new",
		Plan:        "basis",
		Shards:      3,
		Clients:     2,
		Pause:       5 * time.Millisecond,
	}
	if err := g.operateUnderLoad(ctx, load); err != nil {
		return err
	}
	g.heading("Outcomes of the clients' requests")
	g.logf("%v", load)
	fmt.Println("          disconnected are requests whose connection ended with a killed or drained broker; a wrong or second response would be an error")
	if n := load.WrongResponses.Load(); n > 0 {
		return fmt.Errorf("%d wrong responses: %v", n, load.WrongResponseDetails())
	}
	return nil
}

// install starts the installation and rolls out the first inventory.
func (g *guide) install(ctx context.Context, dir string) error {
	fmt.Println("== An installation on loopback: discovery, 3 storage nodes, a manager and 2 agents, which will start 5 brokers")
	if err := g.cluster.Start(ctx); err != nil {
		return err
	}
	g.logf("discovery and the storage nodes serve; the manager answers; the agents have registered")
	if err := g.cluster.WriteInventory(map[string]string{"memory_mb": "96"}); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(dir, "inventory.yaml"))
	if err != nil {
		return err
	}
	g.heading("The desired state: an inventory")
	fmt.Println("    " + strings.ReplaceAll(strings.TrimRight(string(text), "\n"), "\n", "\n    "))
	g.heading("Applying it: a canary first, then in waves, with a soak time after each")
	if err := g.runFleet("apply", "--wait", "--note", "first"); err != nil {
		return err
	}
	if err := g.awaitSettled(ctx); err != nil {
		return err
	}
	g.heading("Status of the fleet")
	return g.runFleet("status")
}

// operateUnderLoad changes the fleet while clients send requests.
func (g *guide) operateUnderLoad(ctx context.Context, load *fake.Traffic) error {
	g.heading("Traffic through both frontends: blocks over RESP2, objects over HTTP")
	loadCtx, stop := context.WithCancel(ctx)
	var traffic sync.WaitGroup
	traffic.Go(func() { load.Run(loadCtx) })
	defer traffic.Wait()
	defer stop()
	time.Sleep(g.pace)
	g.logf("so far: %v", load)
	if err := g.killBrokerDuringRollout(ctx); err != nil {
		return err
	}
	g.heading("An operator drains a storage node, at all brokers and without a restart")
	if err := g.runFleet("nodes", "drain", "s-2", "--wait", "--note", "disk swap"); err != nil {
		return err
	}
	if err := g.runFleet("nodes", "clear", "s-2", "--wait"); err != nil {
		return err
	}
	g.heading("Rolling back to the first revision")
	if err := g.runFleet("rollout", "rollback", "--to", "1", "--wait"); err != nil {
		return err
	}
	return g.runFleet("history")
}

// killBrokerDuringRollout rolls out a change and kills a broker before it is complete.
func (g *guide) killBrokerDuringRollout(ctx context.Context) error {
	g.heading("A change that restarts every broker, and a broker killed during the rollout")
	if err := g.cluster.WriteInventory(map[string]string{"memory_mb": "128", "log": "debug"}); err != nil {
		return err
	}
	if err := g.runFleet("plan"); err != nil {
		return err
	}
	if err := g.runFleet("apply", "--note", "more memory"); err != nil {
		return err
	}
	if err := g.followRollout(ctx, func(r state.RolloutStatus) bool { return r.Wave >= 1 }); err != nil {
		return err
	}
	if err := g.cluster.KillBroker(ctx, "b2"); err != nil {
		g.logf("b2 not killed, it is being restarted: %v", err)
	} else {
		g.logf("b2 killed with SIGKILL")
	}
	if err := g.followRollout(ctx, func(r state.RolloutStatus) bool { return r.Phase == state.Done }); err != nil {
		return err
	}
	if err := g.awaitSettled(ctx); err != nil {
		return err
	}
	return g.runFleet("status")
}

// followRollout prints the progress of the newest rollout until done returns true. It fails if the rollout is paused.
func (g *guide) followRollout(ctx context.Context, done func(state.RolloutStatus) bool) error {
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
				g.logf("%s", text)
				last = text
			}
			if done(r) {
				return nil
			}
			if r.Phase == state.Paused {
				return fmt.Errorf("rollout %d is paused: %s", r.Revision, r.Reason)
			}
		}
	}
}

// awaitSettled waits until all instances run as specified.
func (g *guide) awaitSettled(ctx context.Context) error {
	for {
		o, err := g.cluster.Client.Overview(ctx, nil, nil)
		if err != nil {
			return err
		}
		if o.Settled {
			g.logf("settled: %s", fleetSummary(o))
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func fleetSummary(o api.Overview) string {
	return fmt.Sprintf("revision %d, %d of %d instances available, each of which reports that it is current", o.Revision, o.Enabled-o.Unavailable, o.Enabled)
}
