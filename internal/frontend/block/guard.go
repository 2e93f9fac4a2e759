package block

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
	"poppyarch/internal/transport/socket"
)

// errProtocol is malformed or oversized input. Its text goes to the client, then the connection closes.
//
//lint:ignore ST1005 clients get the text in the form that redcon and Redis give it
var errProtocol = errors.New("Protocol error")

// scanner follows the bytes of commands without holding any. redcon's reader grows with whatever a client
// announces and drops whole commands that stand in front of malformed ones, so nothing reaches it that was not
// found sound here.
type scanner struct {
	lim   *limits.Limits
	state uint8
	num   int // the length being read; -1 before its first digit
	args  int // bulk strings of the command still to come
	left  int // bytes of the bulk string still to come
	size  int // of the command so far
	most  int // the size of the longest
}

const (
	atCommand  uint8 = iota // before '*'
	inCount                 // the number of bulk strings
	countEnd                // its '\n'
	atBulk                  // before '$'
	inLength                // the length of one
	lengthEnd               // its '\n'
	inBody                  // its bytes
	bodyReturn              // the '\r' behind them
	bodyEnd                 // its '\n'
)

// scan takes in b. It returns how many bytes of it are sound, and of these how many end with a whole command.
func (s *scanner) scan(b []byte) (sound, whole int, err error) {
	for i := 0; i < len(b); i++ {
		c := b[i]
		if s.size++; s.size > s.lim.MaxMessageBytes {
			return i, whole, fmt.Errorf("%w: command over %d bytes", errProtocol, s.lim.MaxMessageBytes)
		}
		switch s.state {
		case atCommand:
			if c != '*' {
				return i, whole, fmt.Errorf("%w: expected '*'", errProtocol)
			}
			s.state, s.num = inCount, -1
		case inCount, inLength:
			max := s.lim.MaxArgs
			if s.state == inLength {
				max = s.lim.MaxValueBytes
			}
			switch {
			case c >= '0' && c <= '9':
				s.num = 10*s.num + int(c-'0')
				if s.num < 0 { // the first digit
					s.num = int(c - '0')
				}
				if s.num > max {
					return i, whole, fmt.Errorf("%w: length over %d", errProtocol, max)
				}
			case c == '\r' && s.num >= 0 && (s.state == inLength || s.num > 0):
				s.state++
			default:
				return i, whole, fmt.Errorf("%w: bad length", errProtocol)
			}
		case countEnd, lengthEnd, bodyEnd:
			if c != '\n' {
				return i, whole, fmt.Errorf("%w: expected a line feed", errProtocol)
			}
			switch s.state {
			case countEnd:
				s.args, s.state = s.num, atBulk
			case lengthEnd:
				s.left, s.state = s.num, inBody
				if s.left == 0 {
					s.state = bodyReturn
				}
			case bodyEnd:
				s.state = atBulk
				if s.args--; s.args == 0 {
					s.most = max(s.most, s.size)
					s.state, s.size, whole = atCommand, 0, i+1
				}
			}
		case atBulk:
			if c != '$' {
				return i, whole, fmt.Errorf("%w: expected '$'", errProtocol)
			}
			s.state, s.num = inLength, -1
		case inBody:
			step := min(s.left, len(b)-i)
			s.size += step - 1
			if s.size > s.lim.MaxMessageBytes {
				return i, whole, fmt.Errorf("%w: command over %d bytes", errProtocol, s.lim.MaxMessageBytes)
			}
			if s.left -= step; s.left == 0 {
				s.state = bodyReturn
			}
			i += step - 1
		case bodyReturn:
			if c != '\r' {
				return i, whole, fmt.Errorf("%w: bulk string longer than announced", errProtocol)
			}
			s.state = bodyEnd
		}
	}
	return len(b), whole, nil
}

// guarded is a client's connection as redcon sees it: only sound bytes come through, malformed input ends the stream
// behind the last whole command, and nobody is waited for without end.
type guarded struct {
	net.Conn
	scan    scanner
	failed  error
	any     bool // a whole command came through, so answers are no longer redcon's
	patient interface {
		until(now int64) int64
		late(now int64) error
		heard(now int64, size int, mid bool)
	}
	clock *clock.Clock
	woken atomic.Bool // woken to look whether it should end
	over  atomic.Bool // its input is at an end, by its own fault
}

// wake wakes the reader at once.
func (g *guarded) wake() {
	g.woken.Store(true)
	g.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read hands on sound bytes; the error of malformed input comes with the read after the last of them.
func (g *guarded) Read(b []byte) (int, error) {
	if g.failed != nil {
		return 0, g.failed
	}
	n, err := g.read(b)
	if n == 0 {
		if errors.Is(err, errProtocol) {
			g.fail(err)
		}
		return 0, err
	}
	_, whole, bad := g.scan.scan(b[:n])
	g.any = g.any || whole > 0
	g.patient.heard(g.clock.Now(), max(g.scan.most, g.scan.size), g.scan.state != atCommand)
	if bad == nil {
		return n, nil
	}
	g.fail(bad)
	if whole > 0 {
		return whole, nil
	}
	return 0, bad
}

// fail ends the stream.
func (g *guarded) fail(err error) {
	g.failed = err
	g.over.Store(true)
	if !g.any { // nothing is owed before it, and redcon would close without a word
		g.Conn.Write([]byte("-ERR " + err.Error() + "\r\n"))
	}
}

// read waits for bytes as long as its client may take. What has come and was only not read yet is read first: a request
// whose last byte is here counts as taken, however late this process looks.
func (g *guarded) read(b []byte) (int, error) {
	for {
		now := g.clock.Now()
		// A moment at least: a deadline that has passed would end the read without a look at what there is.
		g.Conn.SetReadDeadline(time.Now().Add(clock.Duration(max(g.patient.until(now)-now, look))))
		if g.woken.Load() {
			g.Conn.SetReadDeadline(time.Unix(1, 0)) // the wake-up came before and was just overwritten
		}
		n, err := g.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if socket.Peek(g.Conn) != socket.Empty {
			g.woken.Store(false) // whoever still wants it to end will ask again
			continue
		}
		if err := g.patient.late(g.clock.Now()); err != nil {
			return 0, err
		}
	}
}

// look is the shortest wait for a client, in microseconds.
const look = 10_000
