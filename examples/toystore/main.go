// Command toystore runs a discovery service and a few storage nodes in one process on loopback, to try a broker with.
// All data is kept in memory and lost when the process ends.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/testkit/fake"
)

func main() {
	discoveryAddr := flag.String("discovery", "127.0.0.1:8500", "address of the discovery service")
	nodes := flag.Int("nodes", 2, "number of storage nodes; each holds one shard")
	port := flag.Int("port", 7100, "block port of the first node; the object port is higher by 100")
	flag.Parse()
	if err := run(*discoveryAddr, *nodes, *port); err != nil {
		fmt.Fprintln(os.Stderr, "toystore:", err)
		os.Exit(1)
	}
}

func run(discoveryAddr string, nodes, port int) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	service := fake.NewDiscovery()
	failed := make(chan error, 2*nodes+1) // errors of the listeners
	serve := func(addr string, serve func(net.Listener) error) error {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		go func() { failed <- serve(ln) }()
		return nil
	}
	for i := range nodes {
		block, objects := address(port+i), address(port+100+i)
		if err := serve(block, fake.NewBlockServer().Serve); err != nil {
			return err
		}
		srv := &http.Server{Handler: fake.NewObjectServer()}
		if err := serve(objects, srv.Serve); err != nil {
			return err
		}
		service.SetEndpoints(discovery.Endpoint{ID: fmt.Sprintf("s-toy%d", i), Addr: block, ObjectAddr: objects, Zone: "room",
			Model: "toy", Shard: i, State: "up", Capacity: 1})
		fmt.Printf("node s-toy%d: shard %d, blocks at %s, objects at %s\n", i, i, block, objects)
	}
	srv := &http.Server{Handler: service}
	if err := serve(discoveryAddr, srv.Serve); err != nil {
		return err
	}
	fmt.Printf("discovery at http://%s/catalog/members\n", discoveryAddr)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
