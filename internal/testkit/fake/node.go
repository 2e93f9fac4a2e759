package fake

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// RestartableServer is an HTTP server that can be killed and restarted at its address, like a process.
type RestartableServer struct {
	Handler http.Handler

	mu   sync.Mutex
	addr string
	ln   *net.TCPListener
	srv  *http.Server
}

// StartServer starts a server for h on a loopback port chosen by the system.
func StartServer(h http.Handler) (*RestartableServer, error) {
	n := &RestartableServer{Handler: h, addr: "127.0.0.1:0"}
	return n, n.Restart()
}

// Restart serves at the server's previous address again.
func (n *RestartableServer) Restart() error {
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
func (n *RestartableServer) serve(ln *net.TCPListener) {
	n.ln, n.srv = ln, &http.Server{Handler: n.Handler}
	go func() { _ = n.srv.Serve(ln) }()
}

// Addr returns the server's address.
func (n *RestartableServer) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

// Replace replaces the running server with a new one at the same address. Open connections break, but no new connection
// is refused in between, unlike between Kill and Restart, where the port is closed for a time that depends on the
// machine.
func (n *RestartableServer) Replace() error {
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
func (n *RestartableServer) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.srv.Close()
}
