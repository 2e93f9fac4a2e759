package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// sleepVariable makes the test binary sleep until it is killed.
	sleepVariable = "POPPYARCH_TEST_SLEEP"
	// parentVariable makes the test binary start a sleeping child, print the child's pid and sleep.
	parentVariable = "POPPYARCH_TEST_PARENT"
)

func TestMain(m *testing.M) {
	if os.Getenv(sleepVariable) != "" {
		time.Sleep(time.Hour)
	}
	if os.Getenv(parentVariable) != "" {
		cmd := sleepCommand()
		if _, err := StartBound(cmd); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(cmd.Process.Pid)
		time.Sleep(time.Hour)
	}
	os.Exit(m.Run())
}

func sleepCommand() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), sleepVariable+"=1")
	return cmd
}

// startSleeper starts a process that sleeps and is killed at the end of the test.
func startSleeper(t *testing.T, launchID string) (id Identity, exited <-chan error) {
	t.Helper()
	cmd := sleepCommand()
	id, exited, err := Start(cmd, launchID)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // fails if the test has already killed it
	return id, exited
}

func TestProcessIsFoundByItsLaunchID(t *testing.T) {
	id, _ := startSleeper(t, "launch-1")
	if found, ok := FindByLaunchID("launch-1"); !ok || found != id {
		t.Errorf("found %+v, %v; want %+v", found, ok, id)
	}
	if _, ok := FindByLaunchID("launch-2"); ok {
		t.Error("found a launch id that no process has")
	}
}

func TestIdentityDoesNotMatchAnotherProcessWithItsPID(t *testing.T) {
	id, _ := startSleeper(t, "launch-3")
	reusedPID := id
	reusedPID.StartTicks++
	if err := reusedPID.CheckRunning(); !errors.Is(err, ErrExited) {
		t.Errorf("process with another start time: got %v, want %v", err, ErrExited)
	}
	rebooted := id
	rebooted.BootID = "another boot"
	if err := rebooted.CheckRunning(); !errors.Is(err, ErrExited) {
		t.Errorf("process of another boot: got %v, want %v", err, ErrExited)
	}
}

func TestSignalAndWaitUntilProcessHasEnded(t *testing.T) {
	id, exited := startSleeper(t, "launch-4")
	if err := id.CheckRunning(); err != nil {
		t.Fatal(err)
	}
	expired, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := id.Wait(expired); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("Wait for a running process: got %v, want %v", err, context.DeadlineExceeded)
	}
	waited := make(chan error, 1)
	go func() { waited <- id.Wait(t.Context()) }()
	if err := id.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := <-waited; err != nil {
		t.Errorf("Wait for a killed process: %v", err)
	}
	if err := <-exited; err == nil {
		t.Error("the result of a killed process is nil, want an error")
	}
	if err := id.Signal(syscall.SIGKILL); !errors.Is(err, ErrExited) {
		t.Errorf("Signal to a process that has ended: got %v, want %v", err, ErrExited)
	}
	if err := id.CheckRunning(); !errors.Is(err, ErrExited) {
		t.Errorf("CheckRunning of a process that has ended: got %v, want %v", err, ErrExited)
	}
	if err := id.Wait(t.Context()); err != nil {
		t.Errorf("Wait for a process that has ended: %v", err)
	}
}

func TestUptimeOfThisProcess(t *testing.T) {
	id, err := Identify(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if uptime, err := id.Uptime(); err != nil || uptime < 0 || uptime > 24*time.Hour {
		t.Errorf("uptime is %v, %v; want 0 to 24 hours", uptime, err)
	}
}

func TestBoundProcessIsReaped(t *testing.T) {
	cmd := sleepCommand()
	exited, err := StartBound(cmd)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Error(err)
	}
	if err := <-exited; err == nil {
		t.Error("the result of a killed process is nil, want an error")
	}
	if _, err := StartBound(exec.Command(filepath.Join(t.TempDir(), "missing"))); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("start of a program that does not exist: got %v, want %v", err, os.ErrNotExist)
	}
}

func TestBoundProcessEndsWithItsParent(t *testing.T) {
	parent := exec.Command(os.Args[0])
	parent.Env = append(os.Environ(), parentVariable+"=1")
	output, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	var pid int
	_, scanErr := fmt.Fscan(output, &pid)
	id, err := Identify(pid)
	if err := parent.Process.Kill(); err != nil {
		t.Error(err)
	}
	if err := parent.Wait(); err == nil {
		t.Error("the result of a killed parent is nil, want an error")
	}
	if scanErr != nil || err != nil {
		t.Fatalf("child with pid %d: read its pid: %v, identify it: %v", pid, scanErr, err)
	}
	waitCtx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := id.Wait(waitCtx); err != nil {
		t.Errorf("the child is still running: %v; kill it: %v", err, id.Signal(syscall.SIGKILL))
	}
}

func TestBrokerCommandIgnoresParentConfiguration(t *testing.T) {
	for _, key := range overridingVariables {
		t.Setenv(key, "from the parent")
	}
	t.Setenv(configVariable, "from the parent")
	t.Setenv("POPPYARCH_TEST_INHERITED", "1")
	dir := t.TempDir()
	broker := &Broker{Program: "poppyarch", Env: []string{"ADDED=1"}, Dir: dir, Name: "b1", Config: []byte("{}")}
	cmd, release, err := broker.Command()
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	env := cmd.Environ()
	for _, variable := range env {
		if key, _, _ := strings.Cut(variable, "="); slices.Contains(overridingVariables, key) {
			t.Errorf("%s is inherited", variable)
		}
	}
	configPath := filepath.Join(dir, "b1.json")
	for _, variable := range []string{configVariable + "=" + configPath, "POPPYARCH_TEST_INHERITED=1", "ADDED=1"} {
		if !slices.Contains(env, variable) {
			t.Errorf("%s is not in the environment", variable)
		}
	}
	if slices.Contains(env, configVariable+"=from the parent") {
		t.Error("the parent's configuration is inherited")
	}
	if content, err := os.ReadFile(configPath); err != nil || string(content) != "{}" {
		t.Errorf("the configuration file contains %q, %v; want {}", content, err)
	}
	if !slices.Equal(cmd.Args, []string{"poppyarch", "serve"}) {
		t.Errorf("the command is %q, want poppyarch serve", cmd.Args)
	}
}
