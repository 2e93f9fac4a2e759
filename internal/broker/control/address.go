package control

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

const (
	maxSocketPathBytes = 100 // Linux accepts up to 107
	socketMode         = 0o600
	probeTimeout       = time.Second // for connecting to a process that may still listen on the socket
)

// Reasons of an AddressError.
var (
	ErrSocketPath  = errors.New("a socket path must have 1 to 100 bytes")
	ErrAddressForm = errors.New("neither unix:PATH nor HOST:PORT")
	ErrNotLoopback = errors.New("not a loopback IP address: anyone who can reach the endpoint can reconfigure the broker")
)

// ErrSocketInUse reports a socket on which another process listens.
var ErrSocketInUse = errors.New("another process is listening on this socket")

// AddressError reports an invalid address of a control endpoint.
type AddressError struct {
	Addr   string
	Reason error // ErrSocketPath, ErrAddressForm or ErrNotLoopback
}

func (e *AddressError) Error() string { return fmt.Sprintf("%q: %v", e.Addr, e.Reason) }

func (e *AddressError) Unwrap() error { return e.Reason }

// ParseAddress converts the address of a control endpoint, unix:PATH or HOST:PORT on loopback, to the arguments of
// net.Listen. Its errors are AddressErrors.
func ParseAddress(addr string) (network, address string, err error) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		if path == "" || len(path) > maxSocketPathBytes {
			return "", "", &AddressError{Addr: addr, Reason: ErrSocketPath}
		}
		return "unix", path, nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return "", "", &AddressError{Addr: addr, Reason: ErrAddressForm}
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", "", &AddressError{Addr: addr, Reason: ErrNotLoopback}
	}
	return "tcp", addr, nil
}

// Listen listens on the address of a control endpoint. It replaces a socket file left behind by a process that has
// exited. If a process still listens on the socket, the error is ErrSocketInUse.
func Listen(addr string) (net.Listener, error) {
	network, address, err := ParseAddress(addr)
	if err != nil {
		return nil, err
	}
	if network == "unix" {
		return listenUnix(address)
	}
	return net.Listen(network, address)
}

func listenUnix(path string) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, probeTimeout); err == nil {
		_ = conn.Close() // nothing was sent on it
		return nil, fmt.Errorf("%s: %w", path, ErrSocketInUse)
	}
	_ = os.Remove(path) // usually there is none; a file that cannot be removed makes net.Listen fail
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return ln, nil
}
