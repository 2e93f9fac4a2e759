package socket

import (
	"errors"
	"net"
	"os"
	"time"
)

// lingerBufferBytes is the size of the buffer for discarded input.
const lingerBufferBytes = 4096

// Linger closes the sending side of a connection and waits for up to timeout for the peer to close its side. The caller
// closes the connection afterwards. Closing a connection with unread input resets it, and the peer loses what it has not
// read. Input that arrives meanwhile is discarded, up to maxBytes.
func Linger(c net.Conn, timeout time.Duration, maxBytes int) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // on an error, the connection is still closed by the caller
	}
	deadline := time.Now().Add(timeout)
	buf := make([]byte, lingerBufferBytes)
	for left := maxBytes; left > 0 && time.Now().Before(deadline); {
		if c.SetReadDeadline(deadline) != nil {
			return
		}
		n, err := c.Read(buf)
		left -= n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) { // the owner may end a read before the deadline
			return
		}
	}
}
