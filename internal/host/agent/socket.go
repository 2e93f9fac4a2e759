package agent

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// socketMode denies other users access to the agent.
const socketMode = 0o600

// ErrAgentRunning reports that another agent listens on a socket.
var ErrAgentRunning = errors.New("another agent is already running")

// probeTimeout bounds the check whether an agent listens on a socket.
const probeTimeout = time.Second

// Listen opens an agent's socket. It replaces a socket that a killed agent has left behind, and returns ErrAgentRunning
// if an agent listens on the socket.
func Listen(path string) (net.Listener, error) {
	ln, err := net.Listen("unix", path)
	if err != nil {
		if ln, err = replaceSocket(path, err); err != nil {
			return nil, err
		}
	}
	return ln, os.Chmod(path, socketMode)
}

// replaceSocket removes a socket on which no process listens, and listens on its path. listenErr is the error of the
// first attempt to listen; replaceSocket returns it if path is not a socket.
func replaceSocket(path string, listenErr error) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		_ = conn.Close() // nothing was sent on the connection
		return nil, fmt.Errorf("%s: %w", path, ErrAgentRunning)
	}
	if info, err := os.Stat(path); err != nil || info.Mode()&os.ModeSocket == 0 {
		return nil, listenErr
	}
	if err := os.Remove(path); err != nil {
		return nil, err
	}
	return net.Listen("unix", path)
}
