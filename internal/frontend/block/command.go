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
)

// Schema is what the settings say of a command's words. Classes and plans are numbered as the settings name them.
type Schema struct {
	Classes       map[string]int
	Plans         map[string]int
	NotIdempotent []bool  // by class: it must never run twice
	Shards        int     // 0: not told
	MaxUnits      float64 // 0: not told

	lim *limits.Limits
}

// parse turns the words of a command into a request. d counts from its sending, of which its arrival is the
// nearest that the broker can see.
func parse(args [][]byte, names *Schema, now int64) (core.Request[*blockstore.Command], error) {
	var r core.Request[*blockstore.Command]
	write := bytes.EqualFold(args[0], []byte("BLK.WRITE"))
	want := 4
	if write {
		want = 5
	}
	if len(args) != want {
		return r, fmt.Errorf("%s takes %d words, got %d", args[0], want, len(args))
	}
	// Whatever is wrong is told here: a node turns it away at the cost of an attempt, or closes the connection on it.
	if !hex16(string(args[1])) {
		return r, fmt.Errorf("piece is not 16 hex digits")
	}
	if !token(args[2], names.lim.MaxID) {
		return r, fmt.Errorf("id is not 1 to %d letters, digits or -_.: characters", names.lim.MaxID)
	}
	if len(args[3]) > names.lim.MaxParams {
		return r, fmt.Errorf("fields over %d bytes", names.lim.MaxParams)
	}
	c := &blockstore.Command{Name: args[0], BlockID: args[1], RequestID: args[2], HasBody: write}
	if write {
		c.Body = args[4]
	}
	r.Work, r.Key, r.Shard, r.Class, r.Plan = c, string(args[1]), -1, -1, -1
	seen := map[string]bool{}
	for _, part := range strings.Split(string(args[3]), ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok || name == "" || seen[name] || !printed(part) {
			return r, fmt.Errorf("malformed or repeated field %q", clip(part))
		}
		seen[name] = true
		c.Params = append(c.Params, blockstore.Param{Name: name, Value: value})
		if err := field(&r, name, value, names, now); err != nil {
			return r, err
		}
	}
	for _, name := range []string{"c", "t", "d", "volume", "units", "shard"} {
		if !seen[name] {
			return r, fmt.Errorf("%s is missing", name)
		}
	}
	r.NotIdempotent = names.NotIdempotent[r.Class]
	return r, nil
}

// field takes in one name=value. Names it does not know pass on to the node unseen.
func field(r *core.Request[*blockstore.Command], name, value string, names *Schema, now int64) (err error) {
	known := true
	switch name {
	case "c":
		r.Class, known = names.Classes[value]
	case "t":
		r.Plan, known = names.Plans[value]
	case "volume":
		r.Volume, known = value, hex16(value)
	case "d":
		var ms float64
		ms, err = decimal(value)
		known = ms > 0 && ms <= 1e8
		r.Deadline = now + int64(ms*1000)
	case "units":
		r.Units, err = decimal(value)
		known = r.Units > 0 && (names.MaxUnits <= 0 || r.Units <= names.MaxUnits)
	case "shard":
		r.Shard, err = strconv.Atoi(value)
		known = r.Shard >= -1 && !strings.HasPrefix(value, "+") && (names.Shards <= 0 || r.Shard < names.Shards)
	case "hosts":
		r.Brokers, err = strconv.Atoi(value)
		known = r.Brokers >= 0 && !strings.HasPrefix(value, "+")
	}
	if err != nil || !known {
		return fmt.Errorf("%s: cannot be %q", name, clip(value))
	}
	return nil
}

// decimal reads a plain number: digits, perhaps with a fraction. The forms that ParseFloat takes beside that are no
// client's.
func decimal(s string) (float64, error) {
	if strings.Trim(s, "0123456789.") != "" || len(s) > 16 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(s, 64)
}

// token reports whether b can be an id.
func token(b []byte, most int) bool {
	for _, c := range b {
		ok := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("-_.:", c) >= 0
		if !ok {
			return false
		}
	}
	return len(b) > 0 && len(b) <= most
}

// printed reports whether s is visible ASCII.
func printed(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func hex16(s string) bool {
	if len(s) != 16 {
		return false
	}
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil // it takes no sign
}

func clip(s string) string {
	if len(s) > 32 {
		return s[:32]
	}
	return s
}

// NewSchema numbers the names of a configuration.
func NewSchema(cfg *decision.Config, shards int, lim *limits.Limits) *Schema {
	n := &Schema{Classes: map[string]int{}, Plans: map[string]int{}, Shards: shards, MaxUnits: cfg.MaxUnits, lim: lim}
	for i, c := range cfg.Classes {
		n.Classes[c.Name] = i
		n.NotIdempotent = append(n.NotIdempotent, c.Idempotency == decision.NotIdempotent)
	}
	for i, p := range cfg.Plans {
		n.Plans[p.Name] = i
	}
	return n
}
