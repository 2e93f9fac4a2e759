package supervisor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/state"
)

// ErrHistory says that the manager is not the one that this agent has followed, or has lost what it had written. Its
// brokers are left as they are until an operator says that the new word counts.
var ErrHistory = errors.New("agent: the manager has lost history or is another fleet's")

// polls registers and asks for assignments, over and over. It returns when the agent is fenced.
func (s *Supervisor) polls(ctx context.Context) error {
	pause := 100 * time.Millisecond
	for ctx.Err() == nil {
		err := s.follow(ctx, &pause)
		if ctx.Err() != nil {
			break
		}
		switch {
		case errors.Is(err, state.ErrFenced):
			s.log.Error("agent: a newer agent has taken over, standing down")
			return err
		case errors.Is(err, ErrHistory):
			s.log.Error("agent: the manager is not followed", "err", err)
		default:
			s.log.Warn("agent: manager not reached", "err", err)
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		pause = min(2*pause, 5*time.Second)
	}
	return nil
}

// follow registers and then asks for assignments until a call fails.
func (s *Supervisor) follow(ctx context.Context, pause *time.Duration) error {
	// From here on an older token is no news: the manager may refuse it before this agent has heard of the new one.
	if err := s.inLoop(ctx, func() error { s.reg = api.Registration{}; return nil }); err != nil {
		return err
	}
	reg, err := s.manager.Register(ctx, s.opt.Name, 0)
	if err != nil {
		return err
	}
	have, seen := uint64(0), uint64(0)
	if err := s.inLoop(ctx, func() error {
		m := s.mem
		if m.Fleet != "" && (m.Fleet != reg.Fleet || m.Edition > reg.Edition) {
			if !s.opt.AcceptNewFleet {
				return fmt.Errorf("%w: fleet %s at edition %d, this agent follows %s and has seen %d", ErrHistory, reg.Fleet, reg.Edition,
					m.Fleet, m.Edition)
			}
			seen = m.Edition
		}
		return nil
	}); err != nil {
		return err
	}
	if seen > 0 { // an operator has said that it counts: what it says from now on has to be newer than all that was
		s.log.Warn("agent: following another fleet, or one that has lost history", "fleet", reg.Fleet, "seen", seen)
		if reg, err = s.manager.Register(ctx, s.opt.Name, seen); err != nil {
			return err
		}
	}
	if err := s.inLoop(ctx, func() error {
		s.reg, s.token, s.version = reg, reg.Token, 0
		return nil
	}); err != nil {
		return err
	}
	s.log.Info("agent: registered", "token", reg.Token, "epoch", reg.Epoch)
	for {
		a, err := s.manager.Assignments(ctx, &api.AssignmentsRequest{Agent: s.opt.Name, Token: reg.Token, Epoch: reg.Epoch, KnownVersion: have,
			WaitMS: s.opt.LongPollWait.Milliseconds()})
		if err == nil {
			err = s.assign(ctx, reg, &a)
		}
		if errors.Is(err, api.ErrUnavailable) || errors.Is(err, errJournal) { // the same may well go in a moment
			if errors.Is(err, api.ErrUnavailable) {
				s.log.Warn("agent: manager not reached", "err", err)
			}
			t := time.NewTimer(*pause)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return ctx.Err()
			}
			*pause = min(2**pause, 5*time.Second)
			continue
		}
		if err != nil {
			return err
		}
		*pause = 100 * time.Millisecond
		if a.Version > 0 {
			have = a.Version
		}
	}
}

// inLoop runs f in the loop and returns what it returns.
func (s *Supervisor) inLoop(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	s.later(ctx, func() error { done <- f(); return nil })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// assign takes in what the manager wants. The texts that it names are fetched first: what is written down is whole.
func (s *Supervisor) assign(ctx context.Context, reg api.Registration, a *api.Assignments) error {
	configs := map[string]string{}
	var missing []string
	if err := s.inLoop(ctx, func() error {
		for _, x := range a.List {
			if x.Desired != nil && s.mem.Configs[x.Desired.Start.Config] == "" {
				missing = append(missing, x.Desired.Start.Config)
			}
		}
		return nil
	}); err != nil {
		return err
	}
	for _, d := range missing {
		if configs[d] != "" {
			continue
		}
		text, err := s.manager.Config(ctx, d)
		if err != nil {
			return err
		}
		configs[d] = text
	}
	return s.inLoop(ctx, func() error {
		if s.reg.Epoch != reg.Epoch || s.reg.Token != reg.Token {
			return nil
		}
		if reg.Fleet == s.mem.Fleet && a.Edition < s.mem.Edition {
			return fmt.Errorf("%w: edition %d after %d", ErrHistory, a.Edition, s.mem.Edition)
		}
		// What has ended here and is dropped once more has been heard of by the manager.
		var forget []string
		dropped := map[string]bool{}
		for _, x := range a.List {
			dropped[x.Name] = x.Release && !x.Unreleased
		}
		for name, m := range s.minds {
			drop, told := dropped[name]
			if a.Full && !told {
				drop = true
			}
			if drop && m.Desired.Released && m.process == nil && m.Report(s.clock.Now()).Process == state.Absent {
				forget = append(forget, name)
			}
		}
		if len(a.List) > 0 || a.Full || a.Edition > s.mem.Edition {
			if err := s.put(&record{Kind: recAssign, Fleet: reg.Fleet, Edition: a.Edition, Full: a.Full, List: a.List, Nodes: a.Nodes,
				Configs: configs}); err != nil {
				return err
			}
		}
		s.version = a.Version
		for name, c := range s.mem.Cases {
			m := s.mind(name)
			if w := s.want(c); w != m.Desired {
				m.SetDesired(w)
			}
			m.wake = 0
		}
		for _, name := range forget {
			if c := s.mem.Cases[name]; c == nil || !c.Assignment.Release {
				continue
			}
			if err := s.put(&record{Kind: recForget, Name: name}); err != nil {
				return err
			}
			delete(s.minds, name)
		}
		s.changed()
		return nil
	})
}

// reports tells the manager what has changed, at once and at least every beat. It returns when the agent is fenced.
func (s *Supervisor) reports(ctx context.Context) error {
	beat := time.NewTicker(s.opt.ReportInterval)
	defer beat.Stop()
	var told map[string]state.Report // nil: everything has to be told
	var reg api.Registration
	seq := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
		case <-s.dirty:
		}
		var now map[string]state.Report
		var have uint64
		var figures []api.BrokerMetrics
		if err := s.inLoop(ctx, func() error {
			if s.reg != reg {
				reg, told, seq = s.reg, nil, 0
			}
			have = s.version
			now = map[string]state.Report{}
			for name, m := range s.minds {
				now[name] = m.Report(s.clock.Now())
				if m.figured > 0 {
					figures = append(figures, api.BrokerMetrics{Name: name, Age: s.clock.Now() - m.figured, InFlight: m.open, Metrics: m.figures})
					m.figured = 0
				}
			}
			return nil
		}); err != nil {
			return nil
		}
		if reg.Token == 0 {
			continue
		}
		seq++
		c := &api.ReportRequest{Agent: s.opt.Name, Token: reg.Token, Epoch: reg.Epoch, Seq: seq, AssignmentsVersion: have, Full: told == nil, Metrics: figures}
		for name, r := range now {
			if old, ok := told[name]; told == nil || !ok || old != r {
				c.Reports = append(c.Reports, r)
			}
		}
		err := s.manager.Report(ctx, c)
		switch {
		case err == nil:
			told = now
		case errors.Is(err, state.ErrFenced):
			var newest bool
			if s.inLoop(ctx, func() error { newest = s.reg == reg; return nil }) == nil && newest {
				return err
			}
		default:
			told = nil // whether it arrived is unknown: the next one tells everything
		}
	}
}
