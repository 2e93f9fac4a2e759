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

// ErrExited reports that a process has ended, even if another process has its pid now.
var ErrExited = errors.New("process has ended")

// Identity identifies a process uniquely, across reuse of its pid, reboots and machines.
type Identity struct {
	PID        int    `json:"pid"`
	StartTicks uint64 `json:"start"` // start time in clock ticks since the machine's boot
	BootID     string `json:"boot"`  // id of the boot of the machine that the process belongs to
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

// kernelStatus holds the fields of /proc/PID/stat that this package uses.
type kernelStatus struct {
	state      byte
	startTicks uint64
}

// ended reports whether the process is dead, including a zombie that has not been reaped yet.
func (s kernelStatus) ended() bool { return s.state == 'Z' || s.state == 'X' }

// Indices of fields in /proc/PID/stat, counted from the first field after the process name.
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
	// The name is in parentheses and may contain any character, so fields are counted from the last ')'.
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+1:]))
	if len(fields) <= startTimeField {
		return kernelStatus{}, fmt.Errorf("%s: got %d fields after the process name, want more than %d", path, len(fields), startTimeField)
	}
	startTicks, err := strconv.ParseUint(fields[startTimeField], 10, 64)
	if err != nil {
		return kernelStatus{}, fmt.Errorf("%s: invalid start time: %w", path, err)
	}
	return kernelStatus{state: fields[stateField][0], startTicks: startTicks}, nil
}

// ticksPerSecond is USER_HZ, the same on all Linux platforms that Go supports.
const ticksPerSecond = 100

// Uptime returns how long the process has been running. Use it for display only: it follows the wall clock.
func (i Identity) Uptime() (time.Duration, error) {
	content, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return 0, err
	}
	var machineUptime float64 // in seconds
	if _, err := fmt.Sscan(string(content), &machineUptime); err != nil {
		return 0, fmt.Errorf("/proc/uptime: %w", err)
	}
	seconds := machineUptime - float64(i.StartTicks)/ticksPerSecond
	return time.Duration(seconds * float64(time.Second)), nil
}
