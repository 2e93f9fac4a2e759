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

const patience = 60 * time.Second

// small is the example's scenario, so short and light that no machine is too slow for it, with times that no verdict hangs on.
func small(t *testing.T) *model.Scenario {
	t.Helper()
	s, err := experiment.ReadScenario("../../../examples/lab/live.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Brokers, s.Duration, s.WarmUp, s.Load.Rate, s.Load.Work, s.Load.Retry = 2, model.Duration(time.Second), 0, 60, model.Duration(time.Millisecond), 0
	for i := range s.Classes {
		s.Classes[i].LatencyObjective, s.Classes[i].Deadline = model.Duration(patience/2), model.Duration(patience)
	}
	s.Faults = nil
	return s
}

// inProcess starts brokers in this process.
func inProcess(t *testing.T) Start {
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

// A scenario's clients come to brokers of either front, the very ones that the model's designs meet; each has one answer, which is its own.
func TestClientsOfTheModelBeforeRealBrokers(t *testing.T) {
	for _, objects := range []bool{false, true} {
		s := small(t)
		s.Faults = []model.Fault{{Kind: "pause", Share: 1, Every: model.Duration(time.Second), Duration: model.Duration(time.Millisecond)}}
		records := t.TempDir()
		in, err := Install(s, Options{Dir: t.TempDir(), Objects: objects, Records: records}, inProcess(t))
		if err != nil {
			t.Fatal(err)
		}
		rep, err := in.Play(t.Context(), 3)
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
		if n := len(trace.Asked); n < rep.Requests || !objects && n != rep.Requests || len(trace.Brokers) != 2 || trace.Faults != nil {
			t.Errorf("objects %v: %d requests recorded of %d, brokers %v, %q", objects, n, rep.Requests, trace.Brokers, trace.Faults)
		}
		want, err := model.Play(s, "module", 3)
		if err != nil {
			t.Fatal(err)
		}
		if rep.Requests != want.Requests || rep.Requests < 30 {
			t.Errorf("objects %v: %d requests, in the model %d", objects, rep.Requests, want.Requests)
		}
		if rep.Wrong != 0 || rep.Cut != 0 || rep.GivenUp != 0 {
			t.Errorf("objects %v: %d wrong answers, %d connections cut, %d given up", objects, rep.Wrong, rep.Cut, rep.GivenUp)
		}
		if rep.Attempts < rep.Requests-rep.Refused-rep.Failed || rep.Service <= 0 || rep.Service > 1 || rep.P99 < rep.Median {
			t.Errorf("objects %v: %+v", objects, rep.Result)
		}
	}
}

// front is a stub before which clients stand: answer gets each request's words.
func front(t *testing.T, answer func(c net.Conn, words []string) (goOn bool)) string {
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
					words, err := command(in)
					if err != nil || !answer(c, words) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func command(in *bufio.Reader) (words []string, err error) {
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

// send reports whether the connection took the answer.
func send(c net.Conn, answer string) bool {
	_, err := io.WriteString(c, answer)
	return err == nil
}

func value(c net.Conn, v string) { _, _ = fmt.Fprintf(c, "$%d\r\n%s\r\n", len(v), v) }

// A broker that stands still is no reason for clients to come later: all come at their times, and what they waited shows. A client that sends
// its next request only after the last answer would never let this front go on.
func TestNobodyWaitsForThoseBefore(t *testing.T) {
	s := small(t)
	s.Brokers = 1
	all, err := model.Clients(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	var came atomic.Int64
	released := make(chan struct{})
	var once sync.Once
	at := front(t, func(c net.Conn, words []string) bool {
		if came.Add(1) == int64(len(all)) {
			once.Do(func() { close(released) })
		}
		select {
		case <-released:
		case <-time.After(patience):
		}
		value(c, words[2])
		return true
	})
	rep, err := (&Run{Scenario: s, Seed: 1, Blocks: []string{at}}).Play(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	first, last := all[0].At, all[len(all)-1].At
	if least := float64(last-first) / 1e6; rep.Quantiles[len(rep.Quantiles)-1] < least {
		t.Errorf("the longest wait is told as %.3f s, the first client's was over %.3f s", rep.Quantiles[len(rep.Quantiles)-1], least)
	}
	if rep.GivenUp > 0 || rep.Wrong > 0 {
		t.Errorf("%d given up, %d wrong", rep.GivenUp, rep.Wrong)
	}
}

// Answers are taken for what they are; a connection that ends between two requests is no answer, and what crossed that is sent once more.
func TestAnswersAreTakenForWhatTheyAre(t *testing.T) {
	for name, x := range map[string]struct {
		answer func(c net.Conn, words []string) bool
		of     func(r *Report) int
	}{
		"refused":       {func(c net.Conn, _ []string) bool { return send(c, "-BUSY 5\r\n") }, func(r *Report) int { return r.Refused }},
		"failed":        {func(c net.Conn, _ []string) bool { return send(c, "-ERR failed\r\n") }, func(r *Report) int { return r.Failed }},
		"another's":     {func(c net.Conn, w []string) bool { value(c, w[2]+"0"); return true }, func(r *Report) int { return r.Wrong }},
		"cut short":     {func(c net.Conn, w []string) bool { send(c, "$9\r\n12"); return false }, func(r *Report) int { return r.Cut }},
		"served, ended": {func(c net.Conn, w []string) bool { value(c, w[2]); return false }, func(r *Report) int { return r.Requests - r.Cut - r.Wrong - r.Refused }},
	} {
		s := small(t)
		s.Brokers = 1
		rep, err := (&Run{Scenario: s, Seed: 2, Blocks: []string{front(t, x.answer)}}).Play(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got := x.of(rep); got != rep.Requests || got == 0 {
			t.Errorf("%s: %d of %d requests: %+v, cut %d, wrong %d", name, got, rep.Requests, rep.Result, rep.Cut, rep.Wrong)
		}
	}
}

// What sockets cannot play is refused by name.
func TestWhatSocketsCannotPlay(t *testing.T) {
	for want, edit := range map[string]func(s *model.Scenario){
		"trouble[0].kind: vanish": func(s *model.Scenario) {
			s.Faults = []model.Fault{{Kind: "vanish", Share: 1, At: 1e9, Duration: 1e9}}
		},
		"nodes": func(s *model.Scenario) { s.Nodes = nil },
	} {
		s := small(t)
		edit(s)
		if _, err := Install(s, Options{Dir: t.TempDir()}, inProcess(t)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	s := small(t)
	if _, err := (&Run{Scenario: s, Blocks: []string{"127.0.0.1:1"}}).Play(t.Context()); err == nil || !strings.Contains(err.Error(), "brokers: 2, but 1") {
		t.Errorf("too few addresses: %v", err)
	}
	s.Load.Reread = 0.3
	if _, err := model.Clients(s, 1); err == nil || !strings.Contains(err.Error(), "load.reread") {
		t.Errorf("reads of what was written: %v", err)
	}
}
