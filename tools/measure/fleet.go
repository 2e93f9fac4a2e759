package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/testkit/cluster"
	"poppyarch/internal/testkit/fake"
)

// fleetCommand compares a rollout by the fleet's manager and agents with a rolling restart by a single agent without a
// manager, under the same load: the time it takes and the outcomes of the clients' requests.
func fleetCommand() *cobra.Command {
	var runs int
	c := &cobra.Command{Use: "fleet", Short: "compare a rollout by a fleet's manager with one by a single agent",
		RunE: func(*cobra.Command, []string) error { return measureRollouts(runs) }}
	c.Flags().IntVar(&runs, "runs", 3, "runs of each variant")
	return c
}

func measureRollouts(runs int) error {
	fmt.Println("| way | run | start of 8 brokers | rolling change | requests | served a second | not reached | refused | failed | cut off | no answer | wrong |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for run := range runs {
		for _, variant := range []struct {
			name    string
			rollout func(context.Context, *cluster.Cluster, *fake.Traffic, string) (time.Duration, time.Duration, error)
		}{{"fleet", rolloutByManager}, {"fleet, agent killed in it", rolloutByManagerWithCrash}, {"single agent", rolloutBySingleAgent}, {"single agent, killed", rolloutBySingleAgentWithCrash}} {
			if err := measureRollout(variant.name, run+1, variant.rollout); err != nil {
				return fmt.Errorf("%s: %w", variant.name, err)
			}
		}
	}
	return nil
}

// measureRollout runs one variant on a separate installation and prints its row of the table. rollout returns the
// times that the start and the change of all brokers took.
func measureRollout(name string, run int, rollout func(context.Context, *cluster.Cluster, *fake.Traffic, string) (time.Duration, time.Duration, error)) error {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: program, NodeCount: 3, BlockBrokers: 5, ObjectBrokers: 3, AgentCount: 1, SoakTime: 100 * time.Millisecond})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	load := &fake.Traffic{BlockAddrs: s.BlockFrontendAddrs, ObjectAddrs: s.ObjectFrontendAddrs, ReadClass: "artwork-read", WriteClass: "job-new",
		Plan: "basis", Shards: 3, Clients: 4, Pause: 5 * time.Millisecond}
	start, change, err := rollout(ctx, s, load, program)
	if closeErr := s.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	fmt.Printf("| %s | %d | %.2f s | %.2f s | %d | %.0f | %d | %d | %d | %d | %d | %d |\n", name, run, start.Seconds(), change.Seconds(), load.Sent(),
		float64(load.Served.Load())/(change+time.Second).Seconds(), load.ConnectFailed.Load(), load.Refused.Load(), load.Failed.Load(), load.Disconnected.Load(), load.TimedOut.Load(), load.WrongResponses.Load())
	return nil
}

// timeUnderLoad returns how long f takes. The load runs from half a second before f until half a second after it.
func timeUnderLoad(ctx context.Context, load *fake.Traffic, f func() error) (time.Duration, error) {
	loadCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	clients.Go(func() { load.Run(loadCtx) })
	defer clients.Wait()
	defer stop()
	time.Sleep(500 * time.Millisecond)
	start := time.Now()
	err := f()
	duration := time.Since(start)
	time.Sleep(500 * time.Millisecond)
	return duration, err
}

// waitUntilSettled waits until the manager reports that all instances run as specified.
func waitUntilSettled(ctx context.Context, s *cluster.Cluster) error {
	for ctx.Err() == nil {
		if o, err := s.Client.Overview(ctx, nil, nil); err == nil && o.Settled && o.Revision > 0 {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

// startFleet starts the manager, the agents and all brokers. It returns how long the apply command took.
func startFleet(ctx context.Context, s *cluster.Cluster) (time.Duration, error) {
	if err := s.Start(ctx); err != nil {
		return 0, err
	}
	if err := s.WriteInventory(map[string]string{"memory_mb": "96"}); err != nil {
		return 0, err
	}
	begin := time.Now()
	if out, err := s.RunFleetCommand("apply"); err != nil {
		return 0, fmt.Errorf("%w: %s", err, out)
	}
	return time.Since(begin), waitUntilSettled(ctx, s)
}

func rolloutByManager(ctx context.Context, s *cluster.Cluster, load *fake.Traffic, _ string) (start, change time.Duration, err error) {
	return changeByManager(ctx, s, load, false)
}

func rolloutByManagerWithCrash(ctx context.Context, s *cluster.Cluster, load *fake.Traffic, _ string) (start, change time.Duration, err error) {
	return changeByManager(ctx, s, load, true)
}

// changeByManager starts the brokers and changes all of them through the fleet's manager. With kill, the agent is
// killed during the change and restarted a second later.
func changeByManager(ctx context.Context, s *cluster.Cluster, load *fake.Traffic, kill bool) (start, change time.Duration, err error) {
	begin := time.Now()
	if _, err = startFleet(ctx, s); err != nil {
		return
	}
	start = time.Since(begin)
	change, err = timeUnderLoad(ctx, load, func() error {
		if err := s.WriteInventory(map[string]string{"memory_mb": "128"}); err != nil {
			return err
		}
		if out, err := s.RunFleetCommand("apply"); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		if kill {
			time.Sleep(time.Second)
			s.Kill("agent1")
			time.Sleep(time.Second)
			if err := s.StartAgent(1); err != nil {
				return err
			}
		}
		return waitUntilSettled(ctx, s)
	})
	return
}

// startSingleAgent starts an agent that has no manager and waits until all its instances run.
func startSingleAgent(s *cluster.Cluster, program, dir string) (*exec.Cmd, error) {
	cmd := exec.Command(program, "agent", "--inventory", filepath.Join(filepath.Dir(s.ConfigPath), "inventory.yaml"), "--run-dir", dir)
	cmd.Stderr, _ = os.Create(filepath.Join(dir, "agent.log"))
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if out, err := exec.Command(program, "status", "--run-dir", dir).CombinedOutput(); err == nil {
			return cmd, nil
		} else if time.Now().After(deadline) {
			return cmd, fmt.Errorf("%w: %s", err, out)
		}
	}
}

func rolloutBySingleAgent(ctx context.Context, s *cluster.Cluster, load *fake.Traffic, program string) (start, change time.Duration, err error) {
	return changeBySingleAgent(ctx, s, load, program, false)
}

func rolloutBySingleAgentWithCrash(ctx context.Context, s *cluster.Cluster, load *fake.Traffic, program string) (start, change time.Duration, err error) {
	return changeBySingleAgent(ctx, s, load, program, true)
}

var inventoryAgentKey = regexp.MustCompile(`, agent: m\d+`)

// changeBySingleAgent starts the brokers and changes all of them through a single agent without a manager. With kill,
// the agent is killed during the change and restarted a second later.
func changeBySingleAgent(ctx context.Context, s *cluster.Cluster, load *fake.Traffic, program string, kill bool) (start, change time.Duration, err error) {
	dir := filepath.Join(filepath.Dir(s.ConfigPath), "single")
	if err := os.Mkdir(dir, 0o700); err != nil {
		return 0, 0, err
	}
	writeInventory := func(memory string) error {
		if err := s.WriteInventory(map[string]string{"memory_mb": memory}); err != nil {
			return err
		}
		path := filepath.Join(filepath.Dir(s.ConfigPath), "inventory.yaml")
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, inventoryAgentKey.ReplaceAll(b, nil), 0o600) // agents of earlier versions reject the key
	}
	if err := writeInventory("96"); err != nil {
		return 0, 0, err
	}
	begin := time.Now()
	cmd, err := startSingleAgent(s, program, dir)
	if err != nil {
		return 0, 0, err
	}
	start = time.Since(begin)
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	}()
	change, err = timeUnderLoad(ctx, load, func() error {
		if err := writeInventory("128"); err != nil {
			return err
		}
		reloaded := make(chan error, 1)
		go func() {
			out, err := exec.Command(program, "reload", "--run-dir", dir).CombinedOutput()
			if err != nil {
				err = fmt.Errorf("%w: %s", err, out)
			}
			reloaded <- err
		}()
		if !kill {
			return <-reloaded
		}
		time.Sleep(time.Second)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		err := <-reloaded
		_ = err // the reload command may fail because the agent was killed
		time.Sleep(time.Second)
		cmd, err = startSingleAgent(s, program, dir)
		return err
	})
	return start, change, err
}
