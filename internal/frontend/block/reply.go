package block

import (
	"strconv"
	"strings"

	"poppyarch/internal/broker/core"
	"poppyarch/internal/timing/clock"
)

const (
	replyOK             = "+OK\r\n"
	replyPong           = "+PONG\r\n"
	replyFailed         = "-ERR failed\r\n"
	replyTimedOut       = "-ERR out of time\r\n"
	replyUnknownCommand = "-ERR unknown command\r\n"
	replyDuplicateID    = "-ERR id: a request of that id is open\r\n"
)

// maxCopiedValueBytes is the size up to which a value is copied into its reply, which is then written at once. Larger
// values are written on their own.
const maxCopiedValueBytes = 4096

// encodeResponse returns the RESP2 reply for a response. A value is forwarded exactly as the node sent it. If value is not
// nil, it follows encoded and is followed by CRLF.
func encodeResponse(r core.Response[[]byte]) (encoded, value []byte) {
	switch r.Status {
	case core.Success:
		if len(r.Value) > maxCopiedValueBytes {
			return bulkHeader(len(r.Value)), r.Value
		}
		return bulkString(r.Value), nil
	case core.Rejection:
		return busyReply(r.RetryAfter), nil
	}
	if r.DeadlineExceeded {
		return []byte(replyTimedOut), nil
	}
	return []byte(replyFailed), nil
}

// bulkHeader returns the line before a bulk string of n bytes.
func bulkHeader(n int) []byte {
	out := strconv.AppendInt([]byte{'$'}, int64(n), 10)
	return append(out, "\r\n"...)
}

// bulkString returns b as a RESP2 bulk string.
func bulkString(b []byte) []byte {
	out := make([]byte, 0, len(b)+16)
	out = append(out, '$')
	out = strconv.AppendInt(out, int64(len(b)), 10)
	out = append(out, "\r\n"...)
	out = append(out, b...)
	return append(out, "\r\n"...)
}

// busyReply returns the reply for a rejection. A retryAfter above 0 is included in milliseconds, rounded up.
func busyReply(retryAfter clock.Micros) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	ms := clock.Duration(retryAfter + 999).Milliseconds()
	return []byte("-BUSY " + strconv.FormatInt(ms, 10) + "\r\n")
}

// errorReply returns an error reply. The text may contain bytes that the client has sent.
func errorReply(err error) []byte {
	return []byte("-ERR " + printable(err.Error()) + "\r\n")
}

// printable replaces control characters, because a line break in the text would end the error reply.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
