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
	sleepVariable  = "POPPYARCH_TEST_SLEEP"  // has the test binary sleep until it is killed
	parentVariable = "POPPYARCH_TEST_PARENT" // has it start a sleeper first, and print its pid
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

// startSleeper starts a process that sleeps, and kills it at the end of the test.
func startSleeper(t *testing.T, launchID string) (id Identity, exited <-chan error) {
	t.Helper()
	cmd := sleepCommand()
	id, exited, err := Start(cmd, launchID)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // fails where the test has killed it
	return id, exited
}

func TestProcessIsFoundByItsLaunchID(t *testing.T) {
	id, _ := startSleeper(t, "launch-1")
	if found, ok := FindByLaunchID("launch-1"); !ok || found != id {
		t.Errorf("found %+v %v, is %+v", found, ok, id)
	}
	if _, ok := FindByLaunchID("launch-2"); ok {
		t.Error("found a launch id that no process has")
	}
}

func TestIdentityDiffersFromThatOfAnotherProcessWithThePid(t *testing.T) {
	id, _ := startSleeper(t, "launch-3")
	reusedPID := id
	reusedPID.StartTicks++
	if err := reusedPID.CheckRunning(); !errors.Is(err, ErrExited) {
		t.Errorf("another start time: %v", err)
	}
	rebooted := id
	rebooted.BootID = "another boot"
	if err := rebooted.CheckRunning(); !errors.Is(err, ErrExited) {
		t.Errorf("another boot: %v", err)
	}
}

func TestProcessIsSignalledAndAwaitedUntilItHasEnded(t *testing.T) {
	id, exited := startSleeper(t, "launch-4")
	if err := id.CheckRunning(); err != nil {
		t.Fatal(err)
	}
	expired, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := id.Wait(expired); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("waited for a running process: %v", err)
	}
	waited := make(chan error, 1)
	go func() { waited <- id.Wait(t.Context()) }()
	if err := id.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := <-waited; err != nil {
		t.Errorf("waited for the end: %v", err)
	}
	if err := <-exited; err == nil {
		t.Error("a killed process has no error")
	}
	if err := id.Signal(syscall.SIGKILL); !errors.Is(err, ErrExited) {
		t.Errorf("a signal after the end: %v", err)
	}
	if err := id.CheckRunning(); !errors.Is(err, ErrExited) {
		t.Errorf("a check after the end: %v", err)
	}
	if err := id.Wait(t.Context()); err != nil {
		t.Errorf("waited after the end: %v", err)
	}
}

func TestUptimeOfThisProcess(t *testing.T) {
	id, err := Identify(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if uptime, err := id.Uptime(); err != nil || uptime < 0 || uptime > 24*time.Hour {
		t.Errorf("up for %v, %v", uptime, err)
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
		t.Error("a killed process has no error")
	}
	if _, err := StartBound(exec.Command(filepath.Join(t.TempDir(), "none"))); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a program that does not exist: %v", err)
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
		t.Error("a killed parent has no error")
	}
	if scanErr != nil || err != nil {
		t.Fatalf("the child %d of the parent: %v, %v", pid, scanErr, err)
	}
	patience, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := id.Wait(patience); err != nil {
		t.Errorf("the child still runs: %v; killed: %v", err, id.Signal(syscall.SIGKILL))
	}
}

func TestBrokerCommandUsesItsConfigurationAlone(t *testing.T) {
	for _, key := range overridingVariables {
		t.Setenv(key, "of the parent")
	}
	t.Setenv(configVariable, "of the parent")
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
	if slices.Contains(env, configVariable+"=of the parent") {
		t.Error("the parent's configuration is inherited")
	}
	if content, err := os.ReadFile(configPath); err != nil || string(content) != "{}" {
		t.Errorf("the configuration is %q, %v", content, err)
	}
	if !slices.Equal(cmd.Args, []string{"poppyarch", "serve"}) {
		t.Errorf("the command is %q", cmd.Args)
	}
}
