package agent

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// socketMode keeps other users from giving the agent orders.
const socketMode = 0o600

// ErrAgentRunning says that another agent listens on a socket.
var ErrAgentRunning = errors.New("an agent runs already")

// probeTimeout bounds the wait for an agent that may own a socket.
const probeTimeout = time.Second

// Listen opens an agent's socket. It replaces a socket that a killed agent left behind; where an agent listens on it, the
// error is ErrAgentRunning.
func Listen(path string) (net.Listener, error) {
	ln, err := net.Listen("unix", path)
	if err != nil {
		if ln, err = replaceSocket(path, err); err != nil {
			return nil, err
		}
	}
	return ln, os.Chmod(path, socketMode)
}

// replaceSocket listens on path in place of a socket that nobody listens on. listenErr is why a listener could not be
// opened, and the result where path is not a socket.
func replaceSocket(path string, listenErr error) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		_ = conn.Close() // nothing was sent on it
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
