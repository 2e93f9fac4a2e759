package blockstore

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"poppyarch/internal/broker/core"
)

// errSyntax says that a node sent what cannot be read as a reply. The connection is of no further use.
var errSyntax = errors.New("node: malformed reply")

// reply is a node's answer, as far as it matters here.
type reply struct {
	value  []byte // the first of an array; nil: there was none
	err    string // of an error reply, without the dash
	spoilt bool   // what stands behind the value cannot be read: the connection is of no further use
}

// outcome names what a reply means.
func (r *reply) outcome() core.Outcome {
	switch {
	case r.value != nil:
		return core.Served
	case r.err == "BUSY" || strings.HasPrefix(r.err, "BUSY "):
		return core.Rejected
	}
	return core.NodeError
}

// Nothing that a node sends makes the reader hold more than one value and a little beside it.
const (
	maxLine  = 256
	maxItems = 16
	maxDepth = 4
)

// readReply reads one whole reply: an error in one of the forms that nodes use, or an array that begins with a
// value. Anything else is spoilt. Values above max bytes are refused before anything is set aside for them.
func readReply(r *bufio.Reader, max int) (reply, error) {
	line, err := readLine(r)
	if err != nil {
		return reply{}, err
	}
	if line[0] == '-' {
		word, _, _ := strings.Cut(string(line[1:]), " ")
		switch word {
		case "ERR", "BUSY", "SYNTAX", "NOPERM":
			return reply{err: string(line[1:])}, nil
		}
		return reply{}, fmt.Errorf("%w: unknown error %q", errSyntax, line)
	}
	if line[0] != '*' {
		return reply{}, fmt.Errorf("%w: %q is no reply", errSyntax, line)
	}
	n, err := length(line, maxItems)
	if err != nil {
		return reply{}, err
	}
	if n <= 0 {
		return reply{}, fmt.Errorf("%w: an array of %d", errSyntax, n)
	}
	if line, err = readLine(r); err != nil {
		return reply{}, err
	}
	out := reply{}
	if line[0] == '$' {
		if out.value, err = bulk(r, line, max); err != nil {
			return reply{}, err
		}
	}
	if out.value == nil {
		return reply{}, fmt.Errorf("%w: %q in place of a value", errSyntax, line)
	}
	// Figures on use and the load report: this module uses neither. The value stands whole before them, so whatever
	// is wrong with them costs the connection, not the request.
	for i := 1; i < n && err == nil; i++ {
		if line, err = readLine(r); err == nil {
			err = skip(r, line, max, 1)
		}
	}
	out.spoilt = err != nil
	return out, nil
}

// readLine reads up to CRLF and returns what stands before it, which is never empty.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errSyntax
		}
		return nil, err
	}
	if len(line) > maxLine || len(line) < 3 || line[len(line)-2] != '\r' {
		return nil, errSyntax
	}
	return bytes.Clone(line[:len(line)-2]), nil
}

// length reads the number behind a type byte: from -1, for null, up to most.
func length(line []byte, most int) (int, error) {
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n < -1 || n > most || line[1] == '+' {
		return 0, fmt.Errorf("%w: length %q", errSyntax, line)
	}
	return n, nil
}

// bulk reads the rest of a bulk string; nil is null.
func bulk(r *bufio.Reader, line []byte, max int) ([]byte, error) {
	n, err := length(line, max)
	if err != nil || n < 0 {
		return nil, err
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return nil, errSyntax
	}
	return b[:n], nil
}

// skip reads over the value whose first line is given.
func skip(r *bufio.Reader, line []byte, max, depth int) error {
	switch line[0] {
	case '+', '-':
		return nil
	case ':':
		if _, err := strconv.ParseInt(string(line[1:]), 10, 64); err != nil {
			return fmt.Errorf("%w: %q is no number", errSyntax, line)
		}
		return nil
	case '$':
		_, err := bulk(r, line, max)
		return err
	case '*':
		n, err := length(line, maxItems)
		if err != nil || depth >= maxDepth {
			return errors.Join(errSyntax, err)
		}
		for i := 0; i < n; i++ {
			next, err := readLine(r)
			if err != nil {
				return err
			}
			if err := skip(r, next, max, depth+1); err != nil {
				return err
			}
		}
		return nil
	}
	return errSyntax
}
