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

// errMalformedReply reports that a node has sent something other than a valid reply. The connection must not be reused.
var errMalformedReply = errors.New("blockstore: malformed reply")

// Limits on replies. They keep a node from making the reader buffer much more than one value.
const (
	maxLineBytes = 256
	maxItems     = 16 // per array
	maxDepth     = 4  // nesting levels of arrays
)

// reply holds the parts of a node's reply that are used.
type reply struct {
	value    []byte // the first item of an array; nil for an error reply
	err      string // the text of an error reply
	complete bool   // the reply was read completely; if not, the connection must not be reused
}

// outcome returns the outcome of an attempt that got this reply.
func (r *reply) outcome() core.Outcome {
	switch {
	case r.value != nil:
		return core.Served
	case r.err == "BUSY" || strings.HasPrefix(r.err, "BUSY "):
		return core.Rejected
	}
	return core.NodeError
}

// readReply reads one reply: an error, or an array that begins with a value of at most maxValue bytes. It returns
// errMalformedReply for anything else.
func readReply(r *bufio.Reader, maxValue int) (reply, error) {
	line, err := readLine(r)
	if err != nil {
		return reply{}, err
	}
	switch line[0] {
	case '-':
		return parseErrorReply(string(line[1:]))
	case '*':
		return readArrayReply(r, line, maxValue)
	}
	return reply{}, fmt.Errorf("%w: expected an error or an array, got %q", errMalformedReply, line)
}

// parseErrorReply parses an error reply and checks that its kind is one that nodes send.
func parseErrorReply(text string) (reply, error) {
	kind, _, _ := strings.Cut(text, " ")
	switch kind {
	case "ERR", "BUSY", "SYNTAX", "NOPERM":
		return reply{err: text, complete: true}, nil
	}
	return reply{}, fmt.Errorf("%w: unknown kind of error %q", errMalformedReply, text)
}

// readArrayReply reads the items of an array whose first line is given. The items after the value (usage figures and a
// load report) are not used: if one of them is malformed, the connection is not reused, but the value is returned.
func readArrayReply(r *bufio.Reader, line []byte, maxValue int) (reply, error) {
	count, err := parseLength(line, maxItems)
	if err != nil {
		return reply{}, err
	}
	if count <= 0 {
		return reply{}, fmt.Errorf("%w: expected an array of at least 1 item, got %d", errMalformedReply, count)
	}
	if line, err = readLine(r); err != nil {
		return reply{}, err
	}
	if line[0] != '$' {
		return reply{}, fmt.Errorf("%w: expected a bulk string as the value, got %q", errMalformedReply, line)
	}
	value, err := readBulk(r, line, maxValue)
	if err != nil {
		return reply{}, err
	}
	if value == nil {
		return reply{}, fmt.Errorf("%w: expected a bulk string as the value, got null", errMalformedReply)
	}
	err = skipItems(r, count-1, maxValue, 1)
	return reply{value: value, complete: err == nil}, nil
}

// readLine reads a line and returns it without its CRLF. An empty line is malformed.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: line does not end within %d bytes", errMalformedReply, len(line))
	}
	if err != nil {
		return nil, err
	}
	if len(line) > maxLineBytes || len(line) < 3 || line[len(line)-2] != '\r' {
		return nil, fmt.Errorf("%w: line of %d bytes, expected 3 to %d that end in CRLF", errMalformedReply, len(line), maxLineBytes)
	}
	return bytes.Clone(line[:len(line)-2]), nil
}

// parseLength parses the length after a type byte. It must be at most maxLength and at least -1, which means null.
func parseLength(line []byte, maxLength int) (int, error) {
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n < -1 || n > maxLength || line[1] == '+' {
		return 0, fmt.Errorf("%w: invalid length in %q, expected -1 to %d", errMalformedReply, line, maxLength)
	}
	return n, nil
}

// readBulk reads the rest of a bulk string whose first line is given. It returns nil for null.
func readBulk(r *bufio.Reader, line []byte, maxLength int) ([]byte, error) {
	n, err := parseLength(line, maxLength)
	if err != nil || n < 0 {
		return nil, err
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return nil, fmt.Errorf("%w: bulk string of %d bytes is not followed by CRLF", errMalformedReply, n)
	}
	return b[:n], nil
}

// skipItems reads past the next count items of an array.
func skipItems(r *bufio.Reader, count, maxValue, depth int) error {
	for range count {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		if err := skipItem(r, line, maxValue, depth); err != nil {
			return err
		}
	}
	return nil
}

// skipItem reads past an item whose first line is given.
func skipItem(r *bufio.Reader, line []byte, maxValue, depth int) error {
	switch line[0] {
	case '+', '-':
		return nil
	case ':':
		if _, err := strconv.ParseInt(string(line[1:]), 10, 64); err != nil {
			return fmt.Errorf("%w: invalid integer %q", errMalformedReply, line)
		}
		return nil
	case '$':
		_, err := readBulk(r, line, maxValue)
		return err
	case '*':
		count, err := parseLength(line, maxItems)
		if err != nil {
			return err
		}
		if depth >= maxDepth {
			return fmt.Errorf("%w: arrays nested deeper than %d", errMalformedReply, maxDepth)
		}
		return skipItems(r, count, maxValue, depth+1)
	}
	return fmt.Errorf("%w: unknown type of array item %q", errMalformedReply, line)
}
