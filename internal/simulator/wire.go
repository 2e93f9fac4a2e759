package simulator

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"poppyarch/internal/broker/decision"
)

// Messages that the host itself handles.
const (
	messageBeginBatch = "mark"            // begins a batch and sets the time
	messageEndBatch   = "over_to_you"     // ends a batch and requests the actions
	messageTarget     = "target_instance" // names the instance that the next messages are for
	messageConfigure  = "configure"       // creates the target instance
	messageRemove     = "down"            // removes the target instance
	messageRoster     = "roster"          // an endpoint list, followed by its rows
	messageRosterRow  = "row"             // one endpoint
)

// Messages that are events of the target instance.
const (
	messageArrived         = "ingress"
	messageAttemptEnded    = "finished"
	messageResponseStarted = "begun"
	messageDisconnected    = "expired"
	messageTimer           = "fired"
	messageEndpoints       = "discovery"
	messageMemo            = "memo"         // its content is not used by the module
	messageHealthCheck     = "probe_result" // its content is not used by the module
)

// outcomes maps the values of the field rc of an ended attempt.
var outcomes = map[string]decision.Outcome{
	"served":          decision.Served,
	"server_error":    decision.NodeError,
	"turned_away":     decision.Rejected,
	"no_answer":       decision.TimedOut,
	"no_connection":   decision.ConnectFailed,
	"connection_lost": decision.ConnectionLost,
	"called_off":      decision.Cancelled,
	"not_sent":        decision.NotAttempted,
}

// endpointStates maps the values of the field readiness of a roster row.
var endpointStates = map[string]decision.EndpointState{
	"":         decision.Ready,
	"ready":    decision.Ready,
	"draining": decision.Draining,
	"gone":     decision.Removed,
}

// endpointEvents maps the values of the field scope of a discovery message.
var endpointEvents = map[string]decision.EventKind{
	"D": decision.EndpointsChanged,
	"F": decision.EndpointsReplaced,
	"C": decision.EndpointsReplaced,
	"X": decision.EndpointWatchFailed,
}

// event decodes a message for the target instance.
func (h *host) event(name string, f *fields) (decision.Event, error) {
	f.parse()
	ev := decision.Event{ID: f.uint("call"), Attempt: int(f.int("seq_no")), Node: f.str("target")}
	var err error
	switch name {
	case messageArrived:
		ev.Kind = decision.RequestArrived
		ev.Arrival = decodeArrival(f)
	case messageAttemptEnded:
		err = decodeAttemptEnded(f, &ev)
	case messageResponseStarted:
		ev.Kind = decision.ResponseStarted
	case messageDisconnected:
		ev.Kind = decision.ClientDisconnected
	case messageTimer:
		ev.Kind = decision.TimerFired
		ev.Token = f.uint("label")
	case messageMemo, messageHealthCheck:
		ev.Kind = decision.TimerFired // only makes the instance run a step
	case messageEndpoints:
		err = h.decodeEndpoints(f, &ev)
	default:
		err = fmt.Errorf("unknown message %q", name)
	}
	if err != nil {
		return ev, err
	}
	return ev, f.err
}

func decodeArrival(f *fields) decision.Arrival {
	shard := decision.AnyShard
	if f.str("lies_in") != "" {
		shard = int(f.float("lies_in"))
	}
	return decision.Arrival{
		Class:    int(f.int("cls")),
		Plan:     int(f.int("service_level")),
		Volume:   f.str("disk"),
		Key:      f.str("item"),
		Units:    f.float("weight"),
		Shard:    shard,
		Brokers:  int(f.float("mounts")),
		Deadline: time.Duration(f.int("due_ns")),
	}
}

func decodeAttemptEnded(f *fields, ev *decision.Event) error {
	outcome, ok := outcomes[f.str("rc")]
	if !ok {
		return fmt.Errorf("%s: unknown rc %q", messageAttemptEnded, f.str("rc"))
	}
	ev.Kind = decision.AttemptEnded
	ev.Outcome = outcome
	ev.Final = f.int("final") == 1
	ev.UnitsElsewhere = f.float("others_got")
	// The field holds the percentage plus 1, and is 0 or absent if the usage is unknown.
	if usage := int(f.int("volume_use")); usage > 0 {
		ev.Usage = decision.VolumeUsage{Known: true, Percent: usage - 1}
	}
	return nil
}

// decodeEndpoints decodes a change of the endpoint list.
func (h *host) decodeEndpoints(f *fields, ev *decision.Event) error {
	kind, ok := endpointEvents[f.str("scope")]
	if !ok {
		return fmt.Errorf("%s: unknown scope %q", messageEndpoints, f.str("scope"))
	}
	ev.Kind = kind
	if kind == decision.EndpointWatchFailed {
		return nil
	}
	if ev.Endpoints, ok = h.rosters[f.int("roster_id")]; !ok {
		return fmt.Errorf("%s: unknown roster %d", messageEndpoints, f.int("roster_id"))
	}
	return nil
}

// decodeEndpoint decodes a roster row.
func decodeEndpoint(f *fields) (decision.Endpoint, error) {
	f.parse()
	state, ok := endpointStates[f.str("readiness")]
	if !ok {
		return decision.Endpoint{}, fmt.Errorf("roster row: unknown readiness %q", f.str("readiness"))
	}
	e := decision.Endpoint{
		Node:      f.str("target"),
		Shard:     int(f.int("pod")),
		Zone:      int(f.int("zone")),
		State:     state,
		StartedAt: time.Duration(f.int("came_up_ns")),
	}
	if f.err != nil {
		return decision.Endpoint{}, f.err
	}
	if e.Node == "" {
		return decision.Endpoint{}, errors.New("roster row without a target")
	}
	return e, nil
}

// appendAction appends the line that encodes an action.
func appendAction(b []byte, a *decision.Action) []byte {
	switch a.Kind {
	case decision.Forward:
		b = appendCall(b, "route", a.ID)
		b = append(b, " target="...)
		b = append(b, a.Node...)
		b = appendDuration(b, " cap_ns=", a.After)
	case decision.Shed:
		b = appendCall(b, "say_no", a.ID)
		if a.After > 0 {
			b = appendDuration(b, " hold_off_ns=", a.After)
		}
	case decision.Fail:
		b = appendCall(b, "abort", a.ID)
	case decision.SetTimer:
		b = appendDuration(b, "arm in_ns=", a.After)
		b = append(b, " label="...)
		b = strconv.AppendUint(b, a.Token, 10)
	case decision.WatchEndpoints:
		b = append(b, "tail enable=1"...)
	case decision.WriteLog:
		b = append(b, "say_log line="...)
		b = append(b, a.Text...)
	}
	return append(b, '\n')
}

// appendCall appends the beginning of the line of an action on the request id.
func appendCall(b []byte, message string, id uint64) []byte {
	b = append(b, message...)
	b = append(b, " call="...)
	return strconv.AppendUint(b, id, 10)
}

// appendDuration appends a field, given with its separator and equals sign, and its value in nanoseconds.
func appendDuration(b []byte, field string, d time.Duration) []byte {
	return strconv.AppendInt(append(b, field...), d.Nanoseconds(), 10)
}
