package block

import (
	"errors"
	"fmt"

	"poppyarch/internal/broker/limits"
)

// protocolError reports malformed, oversized or incomplete input. Its text is sent to the client, in the form that
// redcon and Redis use, and the connection is closed.
type protocolError struct {
	reason string
}

func (e *protocolError) Error() string { return "Protocol error: " + e.reason }

func protocolErrorf(format string, args ...any) error {
	return &protocolError{reason: fmt.Sprintf(format, args...)}
}

func isProtocolError(err error) bool {
	var e *protocolError
	return errors.As(err, &e)
}

// scanner validates a stream of RESP2 commands without buffering it. redcon's reader allocates any length that a client
// announces, and discards complete commands that precede a malformed one. Therefore it is given only validated bytes.
type scanner struct {
	lim   *limits.Limits
	state scanState

	length    int  // the current length, as far as it has been read
	hasDigits bool // at least one digit of the length has been read

	argsLeft    int // bulk strings of the current command that are not complete
	bodyLeft    int // bytes of the current bulk string that have not been read
	commandSize int // bytes of the current command that have been read
	maxCommand  int // size of the longest complete command, in bytes
}

// scanState is the part of a command that the next byte belongs to.
type scanState uint8

const (
	scanCommandType  scanState = iota // '*'
	scanArgCount                      // the number of bulk strings and its '\r'
	scanArgCountLF                    // the '\n' after it
	scanBulkType                      // '$'
	scanBulkLength                    // the length of a bulk string and its '\r'
	scanBulkLengthLF                  // the '\n' after it
	scanBody                          // the bytes of the bulk string
	scanBodyCR                        // the '\r' after them
	scanBodyLF                        // the '\n' after that
)

// scan validates the next bytes of the stream. complete is the number of bytes up to the end of the last complete
// command. After an error the scanner must not be used again.
func (s *scanner) scan(b []byte) (complete int, err error) {
	for i := 0; i < len(b); {
		n := 1
		if s.state == scanBody {
			n = min(s.bodyLeft, len(b)-i)
		}
		s.commandSize += n
		if s.commandSize > s.lim.MaxMessageBytes {
			return complete, protocolErrorf("command over %d bytes", s.lim.MaxMessageBytes)
		}
		if s.state == scanBody {
			s.skipBody(n)
		} else if err := s.step(b[i]); err != nil {
			return complete, err
		}
		i += n
		if s.atCommandStart() {
			complete = i
		}
	}
	return complete, nil
}

// atCommandStart reports whether the last byte ended a command.
func (s *scanner) atCommandStart() bool { return s.state == scanCommandType }

// largestCommand returns the size of the longest command so far in bytes, including the current incomplete one.
func (s *scanner) largestCommand() int { return max(s.maxCommand, s.commandSize) }

// skipBody skips n bytes of a bulk string.
func (s *scanner) skipBody(n int) {
	s.bodyLeft -= n
	if s.bodyLeft == 0 {
		s.state = scanBodyCR
	}
}

// step validates one byte outside a bulk string.
func (s *scanner) step(c byte) error {
	switch s.state {
	case scanCommandType:
		return s.expectType(c, '*', scanArgCount)
	case scanArgCount:
		return s.readLength(c, s.lim.MaxArgs, 1, scanArgCountLF)
	case scanBulkType:
		return s.expectType(c, '$', scanBulkLength)
	case scanBulkLength:
		return s.readLength(c, s.lim.MaxValueBytes, 0, scanBulkLengthLF)
	case scanBodyCR:
		if c != '\r' {
			return protocolErrorf("bulk string longer than announced")
		}
		s.state = scanBodyLF
		return nil
	}
	if c != '\n' {
		return protocolErrorf("expected a line feed")
	}
	s.endLine()
	return nil
}

// expectType accepts the type byte before a length.
func (s *scanner) expectType(c, want byte, next scanState) error {
	if c != want {
		return protocolErrorf("expected '%c'", want)
	}
	s.state = next
	s.length = 0
	s.hasDigits = false
	return nil
}

// readLength accepts a digit of a length, or the carriage return after it.
func (s *scanner) readLength(c byte, maxLength, minLength int, next scanState) error {
	switch {
	case c >= '0' && c <= '9':
		s.length = 10*s.length + int(c-'0')
		s.hasDigits = true
		if s.length > maxLength {
			return protocolErrorf("length over %d", maxLength)
		}
		return nil
	case c == '\r' && s.hasDigits && s.length >= minLength:
		s.state = next
		return nil
	}
	return protocolErrorf("bad length")
}

// endLine accepts the line feed after a length or a bulk string.
func (s *scanner) endLine() {
	switch s.state {
	case scanArgCountLF:
		s.argsLeft = s.length
		s.state = scanBulkType
	case scanBulkLengthLF:
		s.bodyLeft = s.length
		s.state = scanBody
		if s.bodyLeft == 0 {
			s.state = scanBodyCR
		}
	case scanBodyLF:
		s.state = scanBulkType
		s.argsLeft--
		if s.argsLeft == 0 {
			s.maxCommand = max(s.maxCommand, s.commandSize)
			s.commandSize = 0
			s.state = scanCommandType
		}
	}
}
