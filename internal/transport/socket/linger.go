package socket

import (
	"errors"
	"net"
	"os"
	"time"
)

// lingerBufferBytes is the size of the buffer for discarded input.
const lingerBufferBytes = 4096

// deliveryCheckInterval is how often AwaitDelivery looks at a connection.
const deliveryCheckInterval = 2 * time.Millisecond

// AwaitDelivery closes the sending side of a connection and waits until the peer has received all bytes or has closed its
// side, for as long as it receives some within stallTimeout, and for totalTimeout at most. It reads nothing: if input has
// arrived, which resets the connection when the caller closes it, the peer also gets stallTimeout to read what it has
// received.
func AwaitDelivery(c net.Conn, stallTimeout, totalTimeout time.Duration) {
	closeWrite(c)
	lastUnsent := 0
	end := time.Now().Add(totalTimeout)
	deadline := time.Now().Add(stallTimeout)
	for ; time.Now().Before(deadline) && time.Now().Before(end); time.Sleep(deliveryCheckInterval) {
		unsent, known := UnsentBytes(c)
		delivered := known && unsent == 0 && Peek(c) == Empty
		if delivered || PeerClosed(c) {
			return
		}
		if unsent != lastUnsent {
			lastUnsent = unsent
			deadline = time.Now().Add(stallTimeout)
		}
	}
}

func closeWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // on an error, the connection is still closed by the caller
	}
}

// Linger closes the sending side of a connection and waits for up to timeout for the peer to close its side, after input
// that cannot be used. The caller closes the connection afterwards. Closing a connection with unread input resets it, and
// the peer loses what it has not read. Input that arrives meanwhile is discarded, up to maxBytes.
func Linger(c net.Conn, timeout time.Duration, maxBytes int) {
	closeWrite(c)
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
