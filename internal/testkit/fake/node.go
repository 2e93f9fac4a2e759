package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Node is an HTTP server that can be killed and restarted at its address, like a process.
type Node struct {
	Handler http.Handler

	mu   sync.Mutex
	addr string
	ln   *net.TCPListener
	srv  *http.Server
}

// Start starts a node that serves h on a loopback port chosen by the system.
func Start(h http.Handler) (*Node, error) {
	n := &Node{Handler: h, addr: "127.0.0.1:0"}
	return n, n.Restart()
}

// Restart serves at the node's previous address again.
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

// serve starts a server on a listener. The caller holds mu.
func (n *Node) serve(ln *net.TCPListener) {
	n.ln, n.srv = ln, &http.Server{Handler: n.Handler}
	go func() { _ = n.srv.Serve(ln) }()
}

// Addr returns the node's address.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

// Replace replaces the running server with a new one at the same address. Open connections break, but no new connection
// is refused in between, unlike between Kill and Restart, where the port is closed for a time that depends on the
// machine.
func (n *Node) Replace() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	f, err := n.ln.File() // shares the socket, so new connections are queued until the new server accepts
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

// Kill stops the server immediately. Its connections break.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.srv.Close()
}
