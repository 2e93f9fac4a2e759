package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Node is a process that can be killed and started again at its address.
type Node struct {
	Handler http.Handler

	mu   sync.Mutex
	addr string
	ln   *net.TCPListener
	srv  *http.Server
}

// Start serves h on a loopback port that the system chooses.
func Start(h http.Handler) (*Node, error) {
	n := &Node{Handler: h, addr: "127.0.0.1:0"}
	return n, n.Restart()
}

// Restart serves at the old address.
func (n *Node) Restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	lc := net.ListenConfig{}
	ln, err := lc.Listen(context.Background(), "tcp", n.addr)
	if err != nil {
		return err
	}
	n.addr = ln.Addr().String()
	n.serve(ln.(*net.TCPListener))
	return nil
}

// serve starts a process on a listener. The caller holds mu.
func (n *Node) serve(ln *net.TCPListener) {
	n.ln, n.srv = ln, &http.Server{Handler: n.Handler}
	go func() { _ = n.srv.Serve(ln) }()
}

// Addr is where it listens.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

// Replace ends the process and has the next one up at its address in the same moment: connections break, and none is
// refused meanwhile. How long a port stays closed between Kill and Restart is up to the machine.
func (n *Node) Replace() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, err := n.ln.File() // the same socket: what comes before the next process accepts waits there
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	next, err := net.FileListener(f)
	if err != nil {
		return err
	}
	_ = n.srv.Close()
	n.serve(next.(*net.TCPListener))
	return nil
}

// Kill ends the process at once: its connections break.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.srv.Close()
}
