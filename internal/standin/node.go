package standin

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
	n.srv = &http.Server{Handler: n.Handler}
	go n.srv.Serve(ln)
	return nil
}

// Addr is where it listens.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

// Kill ends the process at once: its connections break.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.srv.Close()
}
