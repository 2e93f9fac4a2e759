package blockstore

import (
	"strconv"

	"poppyarch/internal/timing/clock"
)

// paramTimeout is the wire name of the parameter that holds the time left for a command, in milliseconds.
const paramTimeout = "d"

// Command is a client's command. It is sent to nodes as it was received, except that the parameter for the time left is
// updated.
type Command struct {
	Name      []byte
	BlockID   []byte
	RequestID []byte
	Params    []Param // in the client's order
	Body      []byte
	HasBody   bool
}

// Param is one name=value of a command.
type Param struct {
	Name  string
	Value string
}

// encode returns the command in RESP2. timeout is the time left, which is sent in whole milliseconds and as at least 1.
func (c *Command) encode(timeout clock.Micros) []byte {
	args := [][]byte{c.Name, c.BlockID, c.RequestID, c.encodeParams(timeout)}
	if c.HasBody {
		args = append(args, c.Body)
	}
	out := make([]byte, 0, 256+len(c.Body))
	out = appendLength(out, '*', len(args))
	for _, arg := range args {
		out = appendLength(out, '$', len(arg))
		out = append(out, arg...)
		out = append(out, "\r\n"...)
	}
	return out
}

// encodeParams returns the parameters in the form name=value,name=value.
func (c *Command) encodeParams(timeout clock.Micros) []byte {
	out := make([]byte, 0, 160)
	for i, p := range c.Params {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, p.Name...)
		out = append(out, '=')
		if p.Name == paramTimeout {
			out = strconv.AppendInt(out, max(clock.Duration(timeout).Milliseconds(), 1), 10)
		} else {
			out = append(out, p.Value...)
		}
	}
	return out
}

// appendLength appends a type byte and a length line.
func appendLength(out []byte, kind byte, n int) []byte {
	out = append(out, kind)
	out = strconv.AppendInt(out, int64(n), 10)
	return append(out, "\r\n"...)
}
