// Command toystore is a toy to try a broker with: discovery and a few storage nodes in one process, on loopback.
// It keeps everything in memory and is no storage.
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
	at := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	nodes := flag.Int("nodes", 2, "storage nodes; each holds one shard")
	port := flag.Int("port", 7100, "the first node's port; objects are served a hundred ports above")
	flag.Parse()
	if err := run(*at, *nodes, *port); err != nil {
		fmt.Fprintln(os.Stderr, "toystore:", err)
		os.Exit(1)
	}
}

func run(at string, nodes, port int) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := fake.NewDiscovery()
	failed := make(chan error, 2*nodes+1)
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
		if err := serve(block, fake.NewBlock().Serve); err != nil {
			return err
		}
		srv := &http.Server{Handler: fake.NewObjects()}
		if err := serve(objects, srv.Serve); err != nil {
			return err
		}
		d.Set(discovery.Endpoint{ID: fmt.Sprintf("s-toy%d", i), Addr: block, ObjectAddr: objects, Zone: "room",
			Model: "toy", Shard: i, State: "up", Capacity: 1})
		fmt.Printf("node s-toy%d: shard %d, blocks at %s, objects at %s\n", i, i, block, objects)
	}
	srv := &http.Server{Handler: d}
	if err := serve(at, srv.Serve); err != nil {
		return err
	}
	fmt.Printf("discovery at http://%s/catalog/members\n", at)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
