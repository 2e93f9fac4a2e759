// Package simulator translates between the simulator's lines and the module's events and actions.
// It decides nothing.
package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/settings"
	"poppyarch/policy"
)

var outcomes = map[string]decision.Outcome{
	"served": decision.Served, "server_error": decision.NodeError, "turned_away": decision.Rejected,
	"no_answer": decision.TimedOut, "no_connection": decision.ConnectFailed,
	"connection_lost": decision.ConnectionLost, "called_off": decision.Cancelled, "not_sent": decision.NotAttempted,
}

var states = map[string]decision.EndpointState{
	"": decision.Ready, "ready": decision.Ready, "draining": decision.Draining, "gone": decision.Removed,
}

var listKinds = map[string]decision.EventKind{
	"D": decision.EndpointsChanged, "F": decision.EndpointsReplaced, "C": decision.EndpointsReplaced, "X": decision.EndpointWatchFailed,
}

// instance is one hosted scheduler with the events of the batch at hand.
type instance struct {
	id      int
	sched   *policy.Scheduler
	events  []decision.Event
	pending bool
}

// host reads batches and writes replies.
type host struct {
	in      *bufio.Reader
	out     *bufio.Writer
	line    int
	insts   map[int]*instance
	touched []*instance
	at      *instance
	named   int // the instance that the next events are for; -1 outside a batch's first name
	lists   map[int64][]decision.Endpoint
	now     time.Duration
	frame   int64
	open    bool
	acts    []decision.Action
	buf     []byte
}

// Serve answers batches until the end of input. An error names the line and the reason.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{
		in: bufio.NewReaderSize(r, 1<<20), out: bufio.NewWriterSize(w, 1<<18),
		insts: map[int]*instance{}, lists: map[int64][]decision.Endpoint{}, named: -1,
	}
	for {
		text, err := h.next()
		if err == io.EOF && text == "" {
			if h.open {
				return fmt.Errorf("line %d: input ends inside a batch", h.line)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
		if err := h.take(text); err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
	}
}

// next reads one line without its end.
func (h *host) next() (string, error) {
	text, err := h.in.ReadString('\n')
	if text != "" {
		h.line++
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

// take handles one line.
func (h *host) take(text string) error {
	tag, rest, _ := strings.Cut(text, " ")
	if tag == "" && rest == "" {
		return nil
	}
	f := fields{rest: rest}
	if tag == "mark" {
		return h.mark(&f)
	}
	if !h.open {
		return fmt.Errorf("%q outside a batch", tag)
	}
	switch tag {
	case "over_to_you":
		return h.reply()
	case "target_instance":
		f.parse()
		h.named, h.at = int(f.num("initiator_id")), nil
		h.at = h.insts[h.named]
		return f.err
	case "roster":
		return h.roster(&f)
	case "configure":
		return h.configure(&f)
	case "down":
		return h.down()
	}
	ev, err := h.event(tag, &f)
	if err != nil {
		return err
	}
	if h.at == nil {
		return fmt.Errorf("%q for instance %d, which was not configured", tag, h.named)
	}
	h.push(ev)
	return nil
}

// mark opens a batch.
func (h *host) mark(f *fields) error {
	if h.open {
		return errors.New("a batch inside a batch")
	}
	f.parse()
	h.now, h.frame = time.Duration(f.num("t_ns")), f.num("frame")
	h.open, h.at, h.named = true, nil, -1
	return f.err
}

// push queues an event for the instance that was named last.
func (h *host) push(ev decision.Event) {
	if !h.at.pending {
		h.at.pending = true
		h.touched = append(h.touched, h.at)
	}
	h.at.events = append(h.at.events, ev)
}

// configure starts an instance, in place of an older one with its number.
func (h *host) configure(f *fields) error {
	f.parseText("profile_data")
	seed, text := f.unum("entropy"), f.str("profile_data")
	if f.err != nil {
		return f.err
	}
	if h.named < 0 {
		return errors.New("configure without an instance")
	}
	cfg, err := settings.Parse(text, seed)
	if err != nil {
		return err
	}
	sched, err := policy.New(cfg)
	if err != nil {
		return err
	}
	h.forget()
	h.at = &instance{id: h.named, sched: sched, pending: true}
	h.insts[h.named] = h.at
	h.touched = append(h.touched, h.at)
	return nil
}

// down forgets an instance and whatever the batch held for it so far.
func (h *host) down() error {
	if h.at == nil {
		return fmt.Errorf("down for instance %d, which was not configured", h.named)
	}
	h.forget()
	h.at = nil
	return nil
}

// forget drops the named instance.
func (h *host) forget() {
	if h.at == nil {
		return
	}
	for i, t := range h.touched {
		if t == h.at {
			h.touched = append(h.touched[:i], h.touched[i+1:]...)
			break
		}
	}
	delete(h.insts, h.named)
}

// roster reads a numbered list and its rows.
func (h *host) roster(f *fields) error {
	f.parse()
	id, n := f.num("roster_id"), f.num("records")
	if f.err != nil {
		return f.err
	}
	if n < 0 {
		return errors.New("roster with a negative number of records")
	}
	list := []decision.Endpoint{}
	for ; n > 0; n-- {
		text, err := h.next()
		if err != nil && text == "" {
			return fmt.Errorf("roster ends early: %w", err)
		}
		tag, rest, _ := strings.Cut(text, " ")
		if tag != "row" {
			return fmt.Errorf("want a row, got %q", tag)
		}
		r := fields{rest: rest}
		r.parse()
		state, ok := states[r.str("readiness")]
		if !ok {
			return fmt.Errorf("unknown readiness %q", r.str("readiness"))
		}
		m := decision.Endpoint{
			Node: r.str("target"), Shard: int(r.num("pod")), Zone: int(r.num("zone")), State: state,
			StartedAt: time.Duration(r.num("came_up_ns")),
		}
		if r.err != nil {
			return r.err
		}
		if m.Node == "" {
			return errors.New("a row without a target")
		}
		list = append(list, m)
	}
	h.lists[id] = list
	return nil
}

// event turns one line into an event.
func (h *host) event(tag string, f *fields) (decision.Event, error) {
	f.parse()
	ev := decision.Event{ID: f.unum("call"), Attempt: int(f.num("seq_no")), Node: f.str("target")}
	switch tag {
	case "ingress":
		ev.Kind = decision.RequestArrived
		if f.str("lies_in") == "" {
			f.kv = append(f.kv, [2]string{"lies_in", "-1"})
		}
		ev.Arrival = decision.Arrival{
			Class: int(f.num("cls")), Plan: int(f.num("service_level")), Volume: f.str("disk"), Key: f.str("item"),
			Units: f.float("weight"), Shard: int(f.float("lies_in")), Brokers: int(f.float("mounts")),
			Deadline: time.Duration(f.num("due_ns")),
		}
	case "finished":
		ev.Kind = decision.AttemptEnded
		o, ok := outcomes[f.str("rc")]
		if !ok {
			return ev, fmt.Errorf("%s: unknown rc %q", tag, f.str("rc"))
		}
		ev.Outcome, ev.Final = o, f.num("final") == 1
		if usage := int(f.num("volume_use")); usage > 0 {
			ev.Usage = decision.VolumeUsage{Known: true, Percent: usage - 1}
		}
		ev.UnitsElsewhere = f.float("others_got")
	case "begun":
		ev.Kind = decision.ResponseStarted
	case "expired":
		ev.Kind = decision.ClientDisconnected
	case "fired":
		ev.Kind, ev.Token = decision.TimerFired, f.unum("label")
	case "memo", "probe_result": // nothing that the module uses
		ev.Kind, ev.Token = decision.TimerFired, 0
	case "discovery":
		kind, ok := listKinds[f.str("scope")]
		if !ok {
			return ev, fmt.Errorf("discovery: unknown scope %q", f.str("scope"))
		}
		ev.Kind = kind
		if kind != decision.EndpointWatchFailed {
			list, ok := h.lists[f.num("roster_id")]
			if !ok {
				return ev, fmt.Errorf("discovery: unknown roster %d", f.num("roster_id"))
			}
			ev.Endpoints = list
		}
	default:
		return ev, fmt.Errorf("unknown message %q", tag)
	}
	return ev, f.err
}

// reply runs every touched instance and writes what they do.
func (h *host) reply() error {
	for _, t := range h.touched {
		h.acts = t.sched.Step(h.now, t.events, h.acts[:0])
		t.events, t.pending = t.events[:0], false
		if len(h.acts) > 0 {
			fmt.Fprintf(h.out, "for initiator_id=%d\n", t.id)
		}
		for i := range h.acts {
			h.buf = appendAction(h.buf[:0], &h.acts[i])
			if _, err := h.out.Write(h.buf); err != nil {
				return err
			}
		}
	}
	h.touched, h.open = h.touched[:0], false
	fmt.Fprintf(h.out, "next frame=%d\n", h.frame)
	return h.out.Flush()
}

// appendAction writes one action as a line.
func appendAction(b []byte, a *decision.Action) []byte {
	call := func(tag string) []byte {
		return strconv.AppendUint(append(append(b, tag...), " call="...), a.ID, 10)
	}
	after := func(b []byte, name string) []byte {
		return strconv.AppendInt(append(b, name...), int64(a.After), 10)
	}
	switch a.Kind {
	case decision.Forward:
		b = append(append(call("route"), " target="...), a.Node...)
		b = after(b, " cap_ns=")
	case decision.Shed:
		b = call("say_no")
		if a.After > 0 {
			b = after(b, " hold_off_ns=")
		}
	case decision.Fail:
		b = call("abort")
	case decision.SetTimer:
		b = strconv.AppendUint(append(after(b, "arm in_ns="), " label="...), a.Token, 10)
	case decision.WatchEndpoints:
		b = append(b, "tail enable=1"...)
	case decision.WriteLog:
		b = append(append(b, "say_log line="...), a.Text...)
	}
	return append(b, '\n')
}

// fields holds the name=value pairs of one line; the first error sticks.
type fields struct {
	rest string
	kv   [][2]string
	err  error
}

// parse splits the line at single spaces.
func (f *fields) parse() { f.parseText("") }

// parseText does the same; the field named text runs to the end of the line.
func (f *fields) parseText(text string) {
	for rest := f.rest; rest != ""; {
		name, after, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, " ") {
			f.fail(fmt.Errorf("malformed field near %q", clip(rest)))
			return
		}
		value := after
		if name != text {
			value, rest, _ = strings.Cut(after, " ")
		} else {
			rest = ""
		}
		f.kv = append(f.kv, [2]string{name, value})
	}
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40]
	}
	return s
}

func (f *fields) fail(err error) {
	if f.err == nil {
		f.err = err
	}
}

// str returns a field, empty when absent.
func (f *fields) str(name string) string {
	for i := range f.kv {
		if f.kv[i][0] == name {
			return f.kv[i][1]
		}
	}
	return ""
}

// num returns a whole number, 0 when absent.
func (f *fields) num(name string) int64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%s=%q is not a whole number", name, clip(s)))
	}
	return v
}

// unum returns a number from 0 on, 0 when absent.
func (f *fields) unum(name string) uint64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail(fmt.Errorf("%s=%q is not a number from 0 on", name, clip(s)))
	}
	return v
}

// float returns a number, 0 when absent.
func (f *fields) float(name string) float64 {
	s := f.str(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(fmt.Errorf("%s=%q is not a number", name, clip(s)))
		return 0
	}
	return v
}
