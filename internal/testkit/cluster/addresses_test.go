package cluster

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against servers that cannot start because another process or connection has taken their port between its choice and
// their start, or between two starts.
func TestReservedAddressIsKeptForItsServer(t *testing.T) {
	addrs, release, err := ReserveAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	for _, addr := range addrs {
		for range 2 { // a server that is started again
			expectTaken(t, addr, peer.Addr().String())
			if c, err := net.Dial("tcp", addr); err == nil {
				_ = c.Close()
				t.Errorf("%s accepts connections although no server listens", addr)
			}
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatalf("a server cannot listen at a reserved address: %v", err)
			}
			_ = ln.Close()
		}
	}
	if err := release(); err != nil {
		t.Error(err)
	}
}

// expectTaken fails the test if a connection may use the address as its own.
func expectTaken(t *testing.T, addr, peer string) {
	t.Helper()
	local, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", peer)
	if err == nil {
		_ = c.Close()
	}
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("a connection from %s: %v, want that the address is in use", addr, err)
	}
}
