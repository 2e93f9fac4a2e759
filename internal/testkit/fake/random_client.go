package fake

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

const (
	randomClientPieces   = 3
	randomClientMaxPause = 2 * time.Millisecond // between two pieces
)

// SendInPieces connects to a server after a delay, sends text in pieces with random pauses, and reads until the server
// ends the connection. It gives up if the server does not accept it.
func SendInPieces(addr, text string, delay time.Duration, random *rand.Rand) {
	time.Sleep(delay)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for range randomClientPieces - 1 {
		cut := random.IntN(len(text) + 1)
		if _, err := io.WriteString(c, text[:cut]); err != nil {
			return
		}
		text = text[cut:]
		time.Sleep(time.Duration(random.Int64N(int64(randomClientMaxPause))))
	}
	_, _ = io.WriteString(c, text) // the server may have ended the connection
	_, _ = io.Copy(io.Discard, c)  // ends with the connection
}
