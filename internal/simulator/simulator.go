// Package simulator hosts instances of the decision module for the platform's simulator. It translates between the
// lines of the simulator's protocol and the module's events and actions, and makes no decisions itself.
//
// The simulator sends batches: a message with the time, messages for any number of instances, and a message that ends
// the batch. The host then runs one step of each instance that has events and writes the resulting actions. The names
// that the protocol uses are mapped to the module's terms in wire.go and nowhere else.
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

// LineError is an error in the input, with its line number, counted from 1.
type LineError struct {
	Line int
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }
func (e *LineError) Unwrap() error { return e.Err }

// instance is one hosted scheduler, with its events in the current batch.
type instance struct {
	id        int
	scheduler *policy.Scheduler
	events    []decision.Event
	inBatch   bool // listed in batch.instances
}

// batch is the state of the batch that is being read.
type batch struct {
	open      bool
	frame     int64 // number of the batch, repeated in the reply
	now       time.Duration
	target    int         // id of the instance that the next messages are for; noTarget if none was named yet
	instance  *instance   // the target instance; nil if it is not configured
	instances []*instance // instances to run a step of, in the order of their first messages
}

// noTarget is the target before a batch has named one.
const noTarget = -1

// host reads batches and writes the replies.
type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int // number of lines read
	instances map[int]*instance
	rosters   map[int64][]decision.Endpoint // endpoint lists, by roster id
	batch     batch

	// Buffers that are reused for each instance.
	actions []decision.Action
	text    []byte
}

// Serve processes batches until the end of the input. It reports an error in the input as a *LineError.
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

// readLine returns the next line without its line end. The last line may be returned together with io.EOF.
func (h *host) readLine() (string, error) {
	text, err := h.in.ReadString('\n')
	if text != "" {
		h.line++
	}
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

// handleLine handles one line. Empty lines are ignored.
func (h *host) handleLine(text string) error {
	name, rest, _ := strings.Cut(text, " ")
	if name == "" && rest == "" {
		return nil
	}
	f := &fields{text: rest}
	if name == messageBeginBatch {
		return h.beginBatch(f)
	}
	if !h.batch.open {
		return fmt.Errorf("%q outside a batch", name)
	}
	switch name {
	case messageEndBatch:
		return h.endBatch()
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

// beginBatch begins a batch.
func (h *host) beginBatch(f *fields) error {
	if h.batch.open {
		return fmt.Errorf("%q before the end of the previous batch", messageBeginBatch)
	}
	f.parse()
	h.batch.now = time.Duration(f.int("t_ns"))
	h.batch.frame = f.int("frame")
	h.batch.open = true
	h.batch.target = noTarget
	h.batch.instance = nil
	return f.err
}

// setTarget sets the instance that the next messages are for.
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

// configure creates the target instance. It replaces an existing one with the same id.
func (h *host) configure(f *fields) error {
	f.parseWithText("profile_data")
	seed := f.uint("entropy")
	text := f.str("profile_data")
	if f.err != nil {
		return f.err
	}
	if h.batch.target < 0 {
		return fmt.Errorf("%q without a valid target instance: id %d", messageConfigure, h.batch.target)
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

// remove removes the target instance, together with its events in the current batch.
func (h *host) remove() error {
	if h.batch.instance == nil {
		return fmt.Errorf("%q for instance %d, which was not configured", messageRemove, h.batch.target)
	}
	h.dropInstance()
	h.batch.instance = nil
	return nil
}

// dropInstance removes the target instance from the host and from the batch, if it exists.
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

// readRoster reads an endpoint list: its id and the rows that follow.
func (h *host) readRoster(f *fields) error {
	f.parse()
	id, records := f.int("roster_id"), f.int("records")
	if f.err != nil {
		return f.err
	}
	if records < 0 {
		return fmt.Errorf("roster %d with a negative number of records: %d", id, records)
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
		return decision.Endpoint{}, fmt.Errorf("reading a row of a roster: %w", err)
	}
	name, rest, _ := strings.Cut(text, " ")
	if name != messageRosterRow {
		return decision.Endpoint{}, fmt.Errorf("expected message %q in a roster, got %q", messageRosterRow, name)
	}
	return decodeEndpoint(&fields{text: rest})
}

// endBatch runs one step of each instance in the batch, writes the resulting actions and ends the batch. The buffered
// writer keeps the first write error, so Flush returns it at the latest.
func (h *host) endBatch() error {
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
