// Package simulator hosts instances of the decision module for the platform's simulator. It translates between the
// lines of the simulator's protocol and the module's events and actions, and decides nothing.
//
// The simulator sends batches: a mark with the time, messages for any number of instances, and the request to
// answer. The host then steps each instance that was named and answers with the actions. The names that the protocol
// uses are mapped to the module's terms in wire.go and nowhere else.
package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/settings"
	"poppyarch/policy"
)

// Buffer sizes, in bytes.
const (
	readBufferSize  = 1 << 20
	writeBufferSize = 1 << 18
)

// LineError is an error in the input, with the number of its line, counted from 1.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }
func (e *LineError) Unwrap() error { return e.Err }

// instance is one hosted scheduler with the events of the batch being read.
type instance struct {
	id        int
	scheduler *policy.Scheduler
	events    []decision.Event
	inBatch   bool // listed in batch.instances
}

// batch is the batch being read.
type batch struct {
	open      bool
	frame     int64
	now       time.Duration
	target    int         // id that the next messages are for; noTarget before the first
	instance  *instance   // with that id; nil if it is not configured
	instances []*instance // those to be stepped, in the order in which they were named
}

// noTarget is the target of a batch that has not named one.
const noTarget = -1

// host reads batches and writes the answers to them.
type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int // lines read
	instances map[int]*instance
	rosters   map[int64][]decision.Endpoint // endpoint lists, by their number
	batch     batch

	// Buffers.
	actions []decision.Action
	text    []byte
}

// Serve answers batches until the end of the input. An error in the input is a *LineError.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{
		in:        bufio.NewReaderSize(r, readBufferSize),
		out:       bufio.NewWriterSize(w, writeBufferSize),
		instances: map[int]*instance{},
		rosters:   map[int64][]decision.Endpoint{},
		batch:     batch{target: noTarget},
	}
	for {
		text, err := h.readLine()
		if errors.Is(err, io.EOF) && text == "" {
			if h.batch.open {
				return &LineError{h.line, errors.New("input ends inside a batch")}
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return &LineError{h.line, err}
		}
		if err := h.handleLine(text); err != nil {
			return &LineError{h.line, err}
		}
	}
}

// readLine reads one line without its end. The last one may come with io.EOF.
func (h *host) readLine() (string, error) {
	text, err := h.in.ReadString('\n')
	if text != "" {
		h.line++
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

// handleLine handles one line. An empty one is ignored.
func (h *host) handleLine(text string) error {
	name, rest, _ := strings.Cut(text, " ")
	if name == "" && rest == "" {
		return nil
	}
	f := &fields{text: rest}
	if name == messageBatch {
		return h.openBatch(f)
	}
	if !h.batch.open {
		return fmt.Errorf("%q outside a batch", name)
	}
	switch name {
	case messageAnswer:
		return h.answer()
	case messageTarget:
		return h.setTarget(f)
	case messageRoster:
		return h.readRoster(f)
	case messageConfigure:
		return h.configure(f)
	case messageRemove:
		return h.remove()
	}
	ev, err := h.event(name, f)
	if err != nil {
		return err
	}
	return h.addEvent(name, &ev)
}

func (h *host) openBatch(f *fields) error {
	if h.batch.open {
		return errors.New("a batch inside a batch")
	}
	f.parse()
	h.batch.now = time.Duration(f.int("t_ns"))
	h.batch.frame = f.int("frame")
	h.batch.open = true
	h.batch.target = noTarget
	h.batch.instance = nil
	return f.err
}

func (h *host) setTarget(f *fields) error {
	f.parse()
	h.batch.target = int(f.int("initiator_id"))
	h.batch.instance = h.instances[h.batch.target]
	return f.err
}

// addEvent adds an event for the target instance.
func (h *host) addEvent(name string, ev *decision.Event) error {
	i := h.batch.instance
	if i == nil {
		return fmt.Errorf("%q for instance %d, which was not configured", name, h.batch.target)
	}
	if !i.inBatch {
		i.inBatch = true
		h.batch.instances = append(h.batch.instances, i)
	}
	i.events = append(i.events, *ev)
	return nil
}

// configure starts an instance. It replaces an older one of the same id.
func (h *host) configure(f *fields) error {
	f.parseWithText("profile_data")
	seed := f.uint("entropy")
	text := f.str("profile_data")
	if f.err != nil {
		return f.err
	}
	if h.batch.target < 0 {
		return errors.New("configure without an instance")
	}
	cfg, err := settings.Parse(text, seed)
	if err != nil {
		return err
	}
	scheduler, err := policy.New(cfg)
	if err != nil {
		return err
	}
	h.dropInstance()
	i := &instance{id: h.batch.target, scheduler: scheduler, inBatch: true}
	h.instances[i.id] = i
	h.batch.instance = i
	h.batch.instances = append(h.batch.instances, i)
	return nil
}

// remove removes the target instance and what the batch has for it so far.
func (h *host) remove() error {
	if h.batch.instance == nil {
		return fmt.Errorf("down for instance %d, which was not configured", h.batch.target)
	}
	h.dropInstance()
	h.batch.instance = nil
	return nil
}

// dropInstance forgets the target instance, if there is one.
func (h *host) dropInstance() {
	if h.batch.instance == nil {
		return
	}
	for k, i := range h.batch.instances {
		if i == h.batch.instance {
			h.batch.instances = append(h.batch.instances[:k], h.batch.instances[k+1:]...)
			break
		}
	}
	delete(h.instances, h.batch.target)
}

// readRoster reads an endpoint list: its number and the rows that follow.
func (h *host) readRoster(f *fields) error {
	f.parse()
	id, records := f.int("roster_id"), f.int("records")
	if f.err != nil {
		return f.err
	}
	if records < 0 {
		return errors.New("roster with a negative number of records")
	}
	endpoints := []decision.Endpoint{}
	for ; records > 0; records-- {
		e, err := h.readRosterRow()
		if err != nil {
			return err
		}
		endpoints = append(endpoints, e)
	}
	h.rosters[id] = endpoints
	return nil
}

func (h *host) readRosterRow() (decision.Endpoint, error) {
	text, err := h.readLine()
	if err != nil && text == "" {
		return decision.Endpoint{}, fmt.Errorf("roster ends early: %w", err)
	}
	name, rest, _ := strings.Cut(text, " ")
	if name != messageRosterRow {
		return decision.Endpoint{}, fmt.Errorf("want a row, got %q", name)
	}
	return decodeEndpoint(&fields{text: rest})
}

// answer steps every instance of the batch, writes what they do and ends the batch. Errors of writing stay in the
// buffered writer and are returned by Flush.
func (h *host) answer() error {
	for _, i := range h.batch.instances {
		h.actions = i.scheduler.Step(h.batch.now, i.events, h.actions[:0])
		i.events = i.events[:0]
		i.inBatch = false
		h.text = h.text[:0]
		if len(h.actions) > 0 {
			h.text = fmt.Appendf(h.text, "for initiator_id=%d\n", i.id)
		}
		for k := range h.actions {
			h.text = appendAction(h.text, &h.actions[k])
		}
		if _, err := h.out.Write(h.text); err != nil {
			return err
		}
	}
	h.batch.instances = h.batch.instances[:0]
	h.batch.open = false
	if _, err := fmt.Fprintf(h.out, "next frame=%d\n", h.batch.frame); err != nil {
		return err
	}
	return h.out.Flush()
}
