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

// fleetCommand holds a rolling change of the fleet's manager and agents against one of the single agent, on loopback, under
// the same load: how long it takes, and what clients see.
func fleetCommand() *cobra.Command {
	var runs int
	c := &cobra.Command{Use: "fleet", Short: "compare a rolling change of a fleet with one of a single agent",
		RunE: func(*cobra.Command, []string) error { return measureRollouts(runs) }}
	c.Flags().IntVar(&runs, "runs", 3, "repeats of each")
	return c
}

func measureRollouts(runs int) error {
	fmt.Println("| way | run | start of 8 brokers | rolling change | requests | served a second | not reached | refused | failed | cut off | no answer | wrong |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for n := range runs {
		for _, x := range []struct {
			name string
			f    func(context.Context, *cluster.Stack, *fake.Traffic, string) (time.Duration, time.Duration, error)
		}{{"fleet", fleet}, {"fleet, agent killed in it", fleetKilled}, {"single agent", single}, {"single agent, killed", singleKilled}} {
			if err := rolloutOnce(x.name, n+1, x.f); err != nil {
				return fmt.Errorf("%s: %w", x.name, err)
			}
		}
	}
	return nil
}

func rolloutOnce(name string, n int, f func(context.Context, *cluster.Stack, *fake.Traffic, string) (time.Duration, time.Duration, error)) error {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := cluster.New(cluster.Options{Dir: dir, Program: program, Nodes: 3, Blocks: 5, Objects: 3, Agents: 1, Soak: 100 * time.Millisecond})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	load := &fake.Traffic{Blocks: s.Block, Objects: s.Front, Read: "artwork-read", Write: "job-new", Plan: "basis", Shards: 3, Clients: 4,
		Pause: 5 * time.Millisecond}
	start, change, err := f(ctx, s, load, program)
	if e := s.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	fmt.Printf("| %s | %d | %.2f s | %.2f s | %d | %.0f | %d | %d | %d | %d | %d | %d |\n", name, n, start.Seconds(), change.Seconds(), load.Sent(),
		float64(load.Served.Load())/(change+time.Second).Seconds(), load.ConnectFailed.Load(), load.Refused.Load(), load.Failed.Load(), load.Disconnected.Load(), load.Silent.Load(), load.Wrong.Load())
	return nil
}

// under drives load while f runs, and half a second before and after.
func under(ctx context.Context, load *fake.Traffic, f func() error) (time.Duration, error) {
	on, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	all.Go(func() { load.Run(on) })
	defer all.Wait()
	defer stop()
	time.Sleep(500 * time.Millisecond)
	at := time.Now()
	err := f()
	took := time.Since(at)
	time.Sleep(500 * time.Millisecond)
	return took, err
}

func settle(ctx context.Context, s *cluster.Stack) error {
	for ctx.Err() == nil {
		if o, err := s.Client.Overview(ctx, nil, nil); err == nil && o.Settled && o.Revision > 0 {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ctx.Err()
}

func begin(ctx context.Context, s *cluster.Stack) (time.Duration, error) {
	if err := s.Start(ctx); err != nil {
		return 0, err
	}
	if err := s.Inventory(map[string]string{"memory_mb": "96"}); err != nil {
		return 0, err
	}
	at := time.Now()
	if out, err := s.Run("apply"); err != nil {
		return 0, fmt.Errorf("%w: %s", err, out)
	}
	return time.Since(at), settle(ctx, s)
}

func fleet(ctx context.Context, s *cluster.Stack, load *fake.Traffic, _ string) (start, change time.Duration, err error) {
	return managed(ctx, s, load, false)
}

func fleetKilled(ctx context.Context, s *cluster.Stack, load *fake.Traffic, _ string) (start, change time.Duration, err error) {
	return managed(ctx, s, load, true)
}

// managed changes all brokers by the fleet's manager; with kill its agent is killed in the middle of it.
func managed(ctx context.Context, s *cluster.Stack, load *fake.Traffic, kill bool) (start, change time.Duration, err error) {
	at := time.Now()
	if _, err = begin(ctx, s); err != nil {
		return
	}
	start = time.Since(at)
	change, err = under(ctx, load, func() error {
		if err := s.Inventory(map[string]string{"memory_mb": "128"}); err != nil {
			return err
		}
		if out, err := s.Run("apply"); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		if kill {
			time.Sleep(time.Second)
			s.Kill("agent1")
			time.Sleep(time.Second)
			if err := s.Agent(1); err != nil {
				return err
			}
		}
		return settle(ctx, s)
	})
	return
}

// agent starts the single agent and waits until all its instances run.
func agent(s *cluster.Stack, program, dir string) (*exec.Cmd, error) {
	cmd := exec.Command(program, "agent", "--inventory", filepath.Join(filepath.Dir(s.Config), "inventory.yaml"), "--run-dir", dir)
	cmd.Stderr, _ = os.Create(filepath.Join(dir, "agent.log"))
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		if out, err := exec.Command(program, "status", "--run-dir", dir).CombinedOutput(); err == nil {
			return cmd, nil
		} else if time.Now().After(end) {
			return cmd, fmt.Errorf("%w: %s", err, out)
		}
	}
}

func single(ctx context.Context, s *cluster.Stack, load *fake.Traffic, program string) (start, change time.Duration, err error) {
	return alone(ctx, s, load, program, false)
}

func singleKilled(ctx context.Context, s *cluster.Stack, load *fake.Traffic, program string) (start, change time.Duration, err error) {
	return alone(ctx, s, load, program, true)
}

var agentKey = regexp.MustCompile(`, agent: m\d+`)

func alone(ctx context.Context, s *cluster.Stack, load *fake.Traffic, program string, kill bool) (start, change time.Duration, err error) {
	dir := filepath.Join(filepath.Dir(s.Config), "single")
	if err := os.Mkdir(dir, 0o700); err != nil {
		return 0, 0, err
	}
	write := func(memory string) error {
		if err := s.Inventory(map[string]string{"memory_mb": memory}); err != nil {
			return err
		}
		path := filepath.Join(filepath.Dir(s.Config), "inventory.yaml")
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(path, agentKey.ReplaceAll(b, nil), 0o600) // an earlier agent does not know the key
	}
	if err := write("96"); err != nil {
		return 0, 0, err
	}
	at := time.Now()
	cmd, err := agent(s, program, dir)
	if err != nil {
		return 0, 0, err
	}
	start = time.Since(at)
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	}()
	change, err = under(ctx, load, func() error {
		if err := write("128"); err != nil {
			return err
		}
		done := make(chan error, 1)
		go func() {
			out, err := exec.Command(program, "reload", "--run-dir", dir).CombinedOutput()
			if err != nil {
				err = fmt.Errorf("%w: %s", err, out)
			}
			done <- err
		}()
		if !kill {
			return <-done
		}
		time.Sleep(time.Second)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		err := <-done
		_ = err // it was killed
		time.Sleep(time.Second)
		cmd, err = agent(s, program, dir)
		return err
	})
	return start, change, err
}
