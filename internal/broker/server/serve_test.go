package server

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// recordingFrontend records whether it has been told to serve.
type recordingFrontend struct {
	serving *atomic.Bool
}

func (f recordingFrontend) Serve(ln net.Listener) error {
	f.serving.Store(true)
	_, err := ln.Accept()
	return err
}

func (f recordingFrontend) Drain(context.Context) error { return nil }

// idleListener accepts nobody until it is closed.
type idleListener struct {
	closed chan struct{}
}

func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *idleListener) Close() error {
	close(l.closed)
	return nil
}

func (l *idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against requests that are read and lost because a broker begins to serve and then cannot listen on the address
// of another frontend.
func TestNoFrontendServesBeforeAllListen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var serving atomic.Bool
		frontends := map[string]frontend{"a": recordingFrontend{&serving}, "b": recordingFrontend{&serving}}
		errInUse := errors.New("address in use")
		calls := 0
		listen := func(context.Context, string) (net.Listener, error) {
			calls++
			if calls == 1 {
				return &idleListener{make(chan struct{})}, nil
			}
			synctest.Wait() // a frontend that had been started would have recorded it by now
			if serving.Load() {
				t.Error("a frontend serves although another cannot listen")
			}
			return nil, errInUse
		}
		err := serve(t.Context(), time.Second, frontends, listen, slog.New(slog.DiscardHandler))
		if !errors.Is(err, errInUse) {
			t.Errorf("got %v, want %v", err, errInUse)
		}
	})
}

// failingFrontend fails to serve.
type failingFrontend struct {
	err error
}

func (f failingFrontend) Serve(net.Listener) error { return f.err }

func (f failingFrontend) Drain(context.Context) error { return nil }

// drainedFrontend serves until it is drained.
type drainedFrontend struct {
	drained chan struct{}
}

func (f drainedFrontend) Serve(net.Listener) error {
	<-f.drained
	return nil
}

func (f drainedFrontend) Drain(context.Context) error {
	close(f.drained)
	return nil
}

// Guards against requests that are read and lost because a broker ends at once when another frontend fails.
func TestFrontendsAreDrainedWhenOneFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		errBroken := errors.New("listener broken")
		drained := drainedFrontend{make(chan struct{})}
		frontends := map[string]frontend{"a": failingFrontend{errBroken}, "b": drained}
		listen := func(context.Context, string) (net.Listener, error) {
			return &idleListener{make(chan struct{})}, nil
		}
		result := make(chan error, 1)
		go func() { result <- serve(t.Context(), time.Second, frontends, listen, slog.New(slog.DiscardHandler)) }()
		synctest.Wait()
		select {
		case <-drained.drained:
		default:
			t.Error("the other frontend was not drained")
			close(drained.drained)
		}
		if err := <-result; !errors.Is(err, errBroken) {
			t.Errorf("got %v, want %v", err, errBroken)
		}
	})
}
