package block

import (
	"strconv"
	"strings"

	"poppyarch/internal/broker/core"
)

// encode writes an answer. A value goes out byte for byte as its node gave it.
func encode(a core.Response[[]byte]) []byte {
	switch a.Status {
	case core.Success:
		b := make([]byte, 0, len(a.Value)+16)
		b = append(strconv.AppendInt(append(b, '$'), int64(len(a.Value)), 10), "\r\n"...)
		return append(append(b, a.Value...), "\r\n"...)
	case core.Rejection:
		return busy(a.RetryAfter)
	}
	if a.DeadlineExceeded {
		return []byte("-ERR out of time\r\n")
	}
	return []byte("-ERR failed\r\n")
}

// busy is a refusal that says when to come back, in whole milliseconds.
func busy(hint int64) []byte {
	if hint <= 0 {
		return []byte("-BUSY\r\n")
	}
	return []byte("-BUSY " + strconv.FormatInt((hint+999)/1000, 10) + "\r\n")
}

// printable keeps a client's bytes from ending the line of an error.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}
