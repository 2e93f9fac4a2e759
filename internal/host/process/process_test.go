package process

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// A test binary started with this set sleeps until it is killed.
func TestMain(m *testing.M) {
	if os.Getenv("POPPYARCH_TEST_SLEEP") != "" {
		time.Sleep(time.Hour)
	}
	os.Exit(m.Run())
}

func TestIdentityOutlivesThePid(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "POPPYARCH_TEST_SLEEP=1")
	id, exited, err := Start(cmd, "mark-1")
	if err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	if found, ok := FindByLaunchID("mark-1"); !ok || found != id {
		t.Errorf("found %+v %v, is %+v", found, ok, id)
	}
	if _, ok := FindByLaunchID("mark-2"); ok {
		t.Error("found a mark that nobody has")
	}
	// The same pid, but another process: the kernel has given the pid away again.
	reused := id
	reused.StartTicks++
	if _, err := Open(reused); !errors.Is(err, ErrExited) {
		t.Errorf("another start time: %v", err)
	}
	rebooted := id
	rebooted.BootID = "another boot"
	if _, err := Open(rebooted); !errors.Is(err, ErrExited) {
		t.Errorf("another boot: %v", err)
	}
	h, err := Open(id)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-h.Done():
		t.Fatal("done while it runs")
	default:
	}
	if err := h.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-h.Done()
	<-exited
	if err := h.Signal(syscall.SIGKILL); !errors.Is(err, ErrExited) {
		t.Errorf("a signal to one that has ended: %v", err)
	}
	if _, err := Open(id); !errors.Is(err, ErrExited) {
		t.Errorf("open after the end: %v", err)
	}
	if me, err := Identify(os.Getpid()); err != nil {
		t.Error(err)
	} else if up, err := me.Uptime(); err != nil || up < 0 || up > 24*time.Hour {
		t.Errorf("up for %v, %v", up, err)
	}
}
