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
	maxSocketPathBytes = 100 // the kernel allows 107
	socketMode         = 0o600
	probeTimeout       = time.Second // for an answer of the process that may own a socket
)

// The reasons of an AddressError.
var (
	ErrSocketPath  = errors.New("a socket's path has 1 to 100 bytes")
	ErrAddressForm = errors.New("neither unix:PATH nor HOST:PORT")
	ErrNotLoopback = errors.New("not on loopback: whoever reaches it may change the broker")
)

// ErrSocketInUse says that another process listens on a socket.
var ErrSocketInUse = errors.New("another process listens there")

// AddressError says why an address cannot be a control address.
type AddressError struct {
	Addr   string
	Reason error // ErrSocketPath, ErrAddressForm or ErrNotLoopback
}

func (e *AddressError) Error() string { return fmt.Sprintf("%q: %v", e.Addr, e.Reason) }

// Unwrap returns the reason.
func (e *AddressError) Unwrap() error { return e.Reason }

// ParseAddress splits a control address, unix:PATH or HOST:PORT on loopback, into the arguments of net.Listen. Its errors
// are AddressErrors.
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

// Listen opens a control address. It replaces a socket that a dead process left behind; where the process lives, the
// error is ErrSocketInUse.
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
	_ = os.Remove(path) // most often there is none; what cannot be removed fails the next step
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	return ln, nil
}
