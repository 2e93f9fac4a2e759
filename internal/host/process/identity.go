package process

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ErrExited is the error of a call for a process that has ended, whichever process has its pid now.
var ErrExited = errors.New("process has ended")

// Identity names one process: no other one, on any boot of any machine, has the same.
type Identity struct {
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"start"` // start time in the kernel's ticks since boot
	BootID     string `json:"boot"`  // of the machine
}

// Identify returns the identity of a running process, or ErrExited.
func Identify(pid int) (Identity, error) {
	status, err := readStatus(pid)
	if err != nil {
		return Identity{}, err
	}
	if status.ended() {
		return Identity{}, ErrExited
	}
	bootID, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return Identity{}, err
	}
	return Identity{PID: pid, StartTicks: status.startTicks, BootID: strings.TrimSpace(string(bootID))}, nil
}

// kernelStatus is the part of /proc/PID/stat that identifies a process.
type kernelStatus struct {
	state      byte
	startTicks uint64
}

// ended reports whether the process is dead, and at most not reaped yet.
func (s kernelStatus) ended() bool { return s.state == 'Z' || s.state == 'X' }

// Fields of /proc/PID/stat, counted after the name.
const (
	stateField     = 0
	startTimeField = 19
)

func readStatus(pid int) (kernelStatus, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
		return kernelStatus{}, ErrExited
	}
	if err != nil {
		return kernelStatus{}, err
	}
	// The name is in parentheses and may hold any character, so the fields count from the last ')'.
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+1:]))
	if len(fields) <= startTimeField {
		return kernelStatus{}, fmt.Errorf("%s: %d fields", path, len(fields))
	}
	startTicks, err := strconv.ParseUint(fields[startTimeField], 10, 64)
	if err != nil {
		return kernelStatus{}, fmt.Errorf("%s: start time: %w", path, err)
	}
	return kernelStatus{state: fields[stateField][0], startTicks: startTicks}, nil
}

// ticksPerSecond is USER_HZ, the same on all Linux platforms that Go supports.
const ticksPerSecond = 100

// Uptime returns for how long the process has been running. It is for display only, as it follows the wall clock.
func (i Identity) Uptime() (time.Duration, error) {
	content, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return 0, err
	}
	var machineSeconds float64
	if _, err := fmt.Sscan(string(content), &machineSeconds); err != nil {
		return 0, fmt.Errorf("/proc/uptime: %w", err)
	}
	seconds := machineSeconds - float64(i.StartTicks)/ticksPerSecond
	return time.Duration(seconds * float64(time.Second)), nil
}
