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

// scanner validates a stream of RESP2 commands without buffering it, so that commands can be handed to redcon one by one.
// redcon's own reader allocates any length that a client announces, calls itself for each read within a command, keeps a
// buffer that grows with the bytes of a flood, and discards complete commands that precede a malformed one.
type scanner struct {
	lim   *limits.Limits
	state scanState

	length    int  // the current length, as far as it has been read
	hasDigits bool // at least one digit of the length has been read

	argsLeft    int // bulk strings of the current command that are not complete
	bodyLeft    int // bytes of the current bulk string that have not been read
	commandSize int // bytes of the current command that have been read
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

// scanCommand validates the next bytes of the stream up to the end of the current command. n is the number of bytes that it
// has validated, and complete tells whether they end the command; if not, n is len(b). After an error the scanner must not
// be used again.
func (s *scanner) scanCommand(b []byte) (n int, complete bool, err error) {
	for n < len(b) {
		size := 1
		if s.state == scanBody {
			size = min(s.bodyLeft, len(b)-n)
		}
		s.commandSize += size
		if s.commandSize > s.lim.MaxMessageBytes {
			return n, false, protocolErrorf("command over %d bytes", s.lim.MaxMessageBytes)
		}
		if s.state == scanBody {
			s.skipBody(size)
		} else if err := s.step(b[n]); err != nil {
			return n, false, err
		}
		n += size
		if s.state == scanCommandType {
			return n, true, nil
		}
	}
	return n, false, nil
}

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
			s.commandSize = 0
			s.state = scanCommandType
		}
	}
}
