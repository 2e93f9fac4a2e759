package cluster

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// ReserveAddresses returns n addresses on loopback at which a server may listen, now and again after it has ended. Until release
// is called, sockets that are bound to them without listening keep the system from giving the ports to connections and to
// listeners that ask for any port. Package net lets a listener share such an address, as it sets SO_REUSEADDR.
func ReserveAddresses(n int) (addrs []string, release func() error, err error) {
	var sockets []int
	release = func() error {
		var failed error
		for _, fd := range sockets {
			failed = errors.Join(failed, unix.Close(fd))
		}
		sockets = nil
		return failed
	}
	for range n {
		fd, addr, err := reserveAddress()
		if err != nil {
			return nil, nil, errors.Join(err, release())
		}
		sockets = append(sockets, fd)
		addrs = append(addrs, addr)
	}
	return addrs, release, nil
}

// reserveAddress returns a socket that is bound to an address on loopback, and the address.
func reserveAddress() (fd int, addr string, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", os.NewSyscallError("socket", err)
	}
	addr, err = bindToLoopback(fd)
	if err != nil {
		return 0, "", errors.Join(err, unix.Close(fd))
	}
	return fd, addr, nil
}

func bindToLoopback(fd int) (addr string, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	inet, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("a socket of IPv4 is bound to %T", bound)
	}
	return fmt.Sprintf("127.0.0.1:%d", inet.Port), nil
}
