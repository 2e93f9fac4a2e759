package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/server"
	"poppyarch/internal/lab/experiment"
	"poppyarch/internal/lab/fit"
	"poppyarch/internal/lab/model"
)

const timeout = 60 * time.Second

// smallScenario returns the example scenario made short and light enough for any machine, with deadlines long enough
// that no result depends on the machine's speed.
func smallScenario(t *testing.T) *model.Scenario {
	t.Helper()
	s, err := experiment.ReadScenario("../../../examples/lab/live.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Brokers, s.Duration, s.WarmUp, s.Load.Rate, s.Load.Work, s.Load.RetryFraction = 2, model.Duration(time.Second), 0, 60, model.Duration(time.Millisecond), 0
	for i := range s.Classes {
		s.Classes[i].LatencyObjective, s.Classes[i].Deadline = model.Duration(timeout/2), model.Duration(timeout)
	}
	s.Faults = nil
	return s
}

// startInProcess returns a Start that runs brokers in this process.
func startInProcess(t *testing.T) Start {
	return func(name, path string) (func() error, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		cfg, err := config.Parse(text, func(string) string { return "" })
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			done <- server.Run(ctx, cfg, func(_ context.Context, a string) (net.Listener, error) { return net.Listen("tcp", a) }, nil,
				slog.New(slog.NewTextHandler(io.Discard, nil)))
		}()
		return func() error {
			cancel()
			return <-done
		}, nil
	}
}

// The clients of a scenario send to real brokers over either API the same requests as in the simulation, and each
// request gets exactly one response, its own.
func TestModelClientsDriveRealBrokers(t *testing.T) {
	for _, objects := range []bool{false, true} {
		s := smallScenario(t)
		s.Faults = []model.Fault{{Kind: "pause", Probability: 1, MeanInterval: model.Duration(time.Second), Duration: model.Duration(time.Millisecond)}}
		records := t.TempDir()
		in, err := Install(s, Options{Dir: t.TempDir(), UseObjectAPI: objects, Records: records}, startInProcess(t))
		if err != nil {
			t.Fatal(err)
		}
		rep, err := in.Run(t.Context(), 3)
		if err != nil {
			t.Fatal(err)
		}
		if err := in.Close(); err != nil {
			t.Error(err)
		}
		trace, err := fit.Read(records)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(trace.Requests); n < rep.Requests || !objects && n != rep.Requests || len(trace.Brokers) != 2 || trace.ReadErrors != nil {
			t.Errorf("objects %v: %d of %d requests recorded, brokers %v, read errors %q", objects, n, rep.Requests, trace.Brokers, trace.ReadErrors)
		}
		want, err := model.Run(s, "module", 3)
		if err != nil {
			t.Fatal(err)
		}
		if rep.Requests != want.Requests || rep.Requests < 30 {
			t.Errorf("objects %v: %d requests, want at least 30 and the %d of the simulation", objects, rep.Requests, want.Requests)
		}
		if rep.WrongResponses != 0 || rep.ConnectionsLost != 0 || rep.ClientTimeouts != 0 {
			t.Errorf("objects %v: %d wrong responses, %d connections lost, %d requests given up, want none", objects, rep.WrongResponses, rep.ConnectionsLost, rep.ClientTimeouts)
		}
		if rep.Attempts < rep.Requests-rep.Rejected-rep.Failed || rep.ServedValueRatio <= 0 || rep.ServedValueRatio > 1 || rep.P99ResponseTime < rep.MedianResponseTime {
			t.Errorf("objects %v: implausible result %+v", objects, rep.Result)
		}
	}
}

// serveStub serves a stub of the block API and returns its address. respond gets the words of each command and reports
// whether to keep the connection open.
func serveStub(t *testing.T, respond func(c net.Conn, words []string) (keepOpen bool)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					words, err := readCommand(in)
					if err != nil || !respond(c, words) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func readCommand(in *bufio.Reader) (words []string, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	for range n {
		if _, err := in.ReadString('\n'); err != nil {
			return nil, err
		}
		w, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		words = append(words, strings.TrimSpace(w))
	}
	return words, err
}

// send reports whether the response could be written.
func send(c net.Conn, response string) bool {
	_, err := io.WriteString(c, response)
	return err == nil
}

func sendValue(c net.Conn, v string) { _, _ = fmt.Fprintf(c, "$%d\r\n%s\r\n", len(v), v) }

// Clients do not slow down for a broker that does not respond: all requests are sent at their intended start times,
// and the wait shows in the latency. The stub responds only once every request has arrived, so a closed-loop client,
// which sends its next request after the last response, would never get a response.
func TestLoadIsOpenLoop(t *testing.T) {
	s := smallScenario(t)
	s.Brokers = 1
	all, err := model.Arrivals(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	var received atomic.Int64
	released := make(chan struct{})
	var once sync.Once
	at := serveStub(t, func(c net.Conn, words []string) bool {
		if received.Add(1) == int64(len(all)) {
			once.Do(func() { close(released) })
		}
		select {
		case <-released:
		case <-time.After(timeout):
		}
		sendValue(c, words[2])
		return true
	})
	rep, err := (&Generator{Scenario: s, Seed: 1, BlockAddrs: []string{at}}).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	first, last := all[0].At, all[len(all)-1].At
	if minimum := float64(last-first) / 1e6; rep.ResponseTimeQuantiles[len(rep.ResponseTimeQuantiles)-1] < minimum {
		t.Errorf("the highest reported latency is %.3f s, the first client waited at least %.3f s", rep.ResponseTimeQuantiles[len(rep.ResponseTimeQuantiles)-1], minimum)
	}
	if rep.ClientTimeouts > 0 || rep.WrongResponses > 0 {
		t.Errorf("%d requests given up, %d wrong responses, want none", rep.ClientTimeouts, rep.WrongResponses)
	}
}

// Each kind of response is counted as such. A connection that ends between two requests is no failure: the next
// request is sent again on another connection.
func TestResponsesAreClassified(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(c net.Conn, words []string) bool
		counted func(r *Report) int
	}{
		"refused":        {func(c net.Conn, _ []string) bool { return send(c, "-BUSY 5\r\n") }, func(r *Report) int { return r.Rejected }},
		"failed":         {func(c net.Conn, _ []string) bool { return send(c, "-ERR failed\r\n") }, func(r *Report) int { return r.Failed }},
		"other id":       {func(c net.Conn, w []string) bool { sendValue(c, w[2]+"0"); return true }, func(r *Report) int { return r.WrongResponses }},
		"truncated":      {func(c net.Conn, w []string) bool { send(c, "$9\r\n12"); return false }, func(r *Report) int { return r.ConnectionsLost }},
		"served, closed": {func(c net.Conn, w []string) bool { sendValue(c, w[2]); return false }, func(r *Report) int { return r.Requests - r.ConnectionsLost - r.WrongResponses - r.Rejected }},
	} {
		s := smallScenario(t)
		s.Brokers = 1
		rep, err := (&Generator{Scenario: s, Seed: 2, BlockAddrs: []string{serveStub(t, test.respond)}}).Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got := test.counted(rep); got != rep.Requests || got == 0 {
			t.Errorf("%s: counted for %d of %d requests: %+v, %d connections lost, %d wrong responses", name, got, rep.Requests, rep.Result, rep.ConnectionsLost, rep.WrongResponses)
		}
	}
}

// Scenarios that sockets cannot run are rejected with an error that names what is wrong.
func TestUnsupportedScenariosAreRejected(t *testing.T) {
	for want, edit := range map[string]func(s *model.Scenario){
		"trouble[0].kind: vanish": func(s *model.Scenario) {
			s.Faults = []model.Fault{{Kind: "vanish", Probability: 1, StartsAt: 1e9, Duration: 1e9}}
		},
		"nodes": func(s *model.Scenario) { s.Nodes = nil },
	} {
		s := smallScenario(t)
		edit(s)
		if _, err := Install(s, Options{Dir: t.TempDir()}, startInProcess(t)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
	s := smallScenario(t)
	if _, err := (&Generator{Scenario: s, BlockAddrs: []string{"127.0.0.1:1"}}).Run(t.Context()); err == nil || !strings.Contains(err.Error(), "brokers: 2, but got 1 addresses") {
		t.Errorf("too few addresses: error %v", err)
	}
	s.Load.RereadFraction = 0.3
	if _, err := model.Arrivals(s, 1); err == nil || !strings.Contains(err.Error(), "load.reread") {
		t.Errorf("reads of recent writes: error %v", err)
	}
}
