package block

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"poppyarch/internal/backend/blockstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

const (
	readCommandArgs   = 4
	writeCommandArgs  = 5
	maxDeadlineMillis = 1e8
	maxDecimalLen     = 16 // digits and decimal point
	maxQuotedInputLen = 32 // bytes of a client's input that an error quotes
)

// Names of a command's parameters on the wire.
const (
	paramClass    = "c"
	paramPlan     = "t"
	paramDeadline = "d" // time left, in milliseconds
	paramVolume   = "volume"
	paramUnits    = "units"
	paramShard    = "shard"
	paramBrokers  = "hosts"
)

var requiredParams = []string{paramClass, paramPlan, paramDeadline, paramVolume, paramUnits, paramShard}

// Schema describes the commands that the settings allow. Classes and plans are numbered in the order of the settings.
type Schema struct {
	classes       map[string]int // class numbers by name
	plans         map[string]int // plan numbers by name
	notIdempotent []bool         // by class number: a request must not be executed twice
	repeatable    []bool         // by class number: a request may be executed again at any time
	shards        int            // number of shards; 0 if unknown
	maxUnits      float64        // limit on a request's units; 0 if there is none

	lim *limits.Limits
}

// NewSchema returns the schema of a configuration.
func NewSchema(cfg *decision.Config, shards int, lim *limits.Limits) *Schema {
	s := &Schema{
		classes:  map[string]int{},
		plans:    map[string]int{},
		shards:   shards,
		maxUnits: cfg.MaxUnits,
		lim:      lim,
	}
	for i := range cfg.Classes {
		class := &cfg.Classes[i]
		s.classes[class.Name] = i
		s.notIdempotent = append(s.notIdempotent, class.Idempotency == decision.NotIdempotent)
		s.repeatable = append(s.repeatable, class.Idempotency == decision.Idempotent)
	}
	for i := range cfg.Plans {
		s.plans[cfg.Plans[i].Name] = i
	}
	return s
}

// commandError reports a command that is not a valid request. Its text is sent to the client.
type commandError struct {
	part    string // the invalid part of the command
	problem string
}

func (e *commandError) Error() string { return e.part + " " + e.problem }

// paramError reports a parameter whose value is malformed or out of range. Its text is sent to the client.
type paramError struct {
	name  string
	value string
}

func (e *paramError) Error() string { return fmt.Sprintf("%s: cannot be %q", e.name, e.value) }

type request = core.Request[*blockstore.Command]

// parseCommand returns the request of a BLK command that arrived at time now. The deadline counts from when the client
// sent the command, for which the time of arrival is the best estimate. Every part of the command is checked here: a
// node would reject a malformed command at the cost of an attempt, or close its connection.
func parseCommand(args [][]byte, schema *Schema, now clock.Micros) (request, error) {
	isWrite := bytes.EqualFold(args[0], []byte("BLK.WRITE"))
	if err := checkArgs(args, isWrite, schema.lim); err != nil {
		return request{}, err
	}
	cmd := &blockstore.Command{
		Name:      args[0],
		BlockID:   args[1],
		RequestID: args[2],
		HasBody:   isWrite,
	}
	if isWrite {
		cmd.Body = args[4]
	}
	req := request{Work: cmd}
	req.Key = string(cmd.BlockID)
	if err := parseParams(&req, string(args[3]), schema, now); err != nil {
		return request{}, err
	}
	req.NotIdempotent = schema.notIdempotent[req.Class]
	return req, nil
}

// checkArgs checks the arguments of a command, except for the contents of its parameter list.
func checkArgs(args [][]byte, isWrite bool, lim *limits.Limits) error {
	want := readCommandArgs
	if isWrite {
		want = writeCommandArgs
	}
	if len(args) != want {
		return &commandError{string(args[0]), fmt.Sprintf("takes %d words, got %d", want, len(args))}
	}
	if !isHex16(string(args[1])) {
		return &commandError{"piece", "is not 16 hex digits"}
	}
	if !isRequestID(args[2], lim.MaxID) {
		return &commandError{"id", fmt.Sprintf("is not 1 to %d letters, digits or -_.: characters", lim.MaxID)}
	}
	if len(args[3]) > lim.MaxParams {
		return &commandError{"fields", fmt.Sprintf("over %d bytes", lim.MaxParams)}
	}
	if bytes.Count(args[3], []byte(",")) >= lim.Clients.MaxParamCount {
		return &commandError{"fields", fmt.Sprintf("over %d", lim.Clients.MaxParamCount)}
	}
	return nil
}

// parseParams sets a request's attributes from a parameter list of the form name=value,name=value.
func parseParams(req *request, list string, schema *Schema, now clock.Micros) error {
	seen := make(map[string]bool, len(requiredParams))
	for _, param := range strings.Split(list, ",") {
		name, value, ok := strings.Cut(param, "=")
		if !ok || name == "" || seen[name] || !isVisibleASCII(param) {
			return &commandError{"malformed or repeated field", strconv.Quote(clip(param))}
		}
		seen[name] = true
		req.Work.Params = append(req.Work.Params, blockstore.Param{Name: name, Value: value})
		if !setParam(req, name, value, schema, now) {
			return &paramError{name, clip(value)}
		}
	}
	for _, name := range requiredParams {
		if !seen[name] {
			return &commandError{name, "is missing"}
		}
	}
	return nil
}

// setParam sets the request attribute of one parameter and reports whether its value is valid. Unknown parameters are
// valid; they are forwarded to the node.
func setParam(req *request, name, value string, schema *Schema, now clock.Micros) (ok bool) {
	switch name {
	case paramClass:
		req.Class, ok = schema.classes[value]
	case paramPlan:
		req.Plan, ok = schema.plans[value]
	case paramVolume:
		req.Volume = strings.Clone(value) // it may be kept for long, and the list need not be
		ok = isHex16(value)
	case paramDeadline:
		var ms float64
		ms, ok = parseDecimal(value)
		ok = ok && ms > 0 && ms <= maxDeadlineMillis
		req.Deadline = now + clock.Micros(ms*1000)
	case paramUnits:
		req.Units, ok = parseDecimal(value)
		ok = ok && req.Units > 0 && (schema.maxUnits <= 0 || req.Units <= schema.maxUnits)
	case paramShard:
		req.Shard, ok = parseInt(value)
		ok = ok && req.Shard >= -1 && (schema.shards <= 0 || req.Shard < schema.shards)
	case paramBrokers:
		req.Brokers, ok = parseInt(value)
		ok = ok && req.Brokers >= 0
	default:
		ok = true
	}
	return ok
}

// parseInt parses an integer. A plus sign is invalid.
func parseInt(s string) (n int, ok bool) {
	n, err := strconv.Atoi(s)
	return n, err == nil && !strings.HasPrefix(s, "+")
}

// parseDecimal parses a number of digits with an optional fraction. The other forms that ParseFloat accepts are not
// part of the protocol.
func parseDecimal(s string) (v float64, ok bool) {
	if strings.Trim(s, "0123456789.") != "" || len(s) > maxDecimalLen {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil
}

// isRequestID reports whether b is 1 to maxLen letters, digits or -_.: characters.
func isRequestID(b []byte, maxLen int) bool {
	for _, c := range b {
		isDigit := c >= '0' && c <= '9'
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isDigit && !isLetter && strings.IndexByte("-_.:", c) < 0 {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxLen
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func isHex16(s string) bool {
	if len(s) != 16 {
		return false
	}
	_, err := strconv.ParseUint(s, 16, 64) // ParseUint accepts no sign
	return err == nil
}

// clip returns the beginning of a client's input, for quoting in an error.
func clip(s string) string { return s[:min(len(s), maxQuotedInputLen)] }
