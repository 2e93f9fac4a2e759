package blockstore

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// FuzzReply checks that readReply does not panic on any input, returns only values within the limit, and does not
// depend on how the input is split into reads.
func FuzzReply(f *testing.F) {
	for _, s := range []string{"*3\r\n$4\r\nv\r\nw\r\n$-1\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n*2\r\n:3\r\n$2\r\nxx\r\n$5\r\na:1.5\r\n",
		"-ERR failed\r\n", "-BUSY\r\n", "*1\r\n$-1\r\n", "+PONG\r\n", "*-1\r\n", "$99999999999\r\n", "*3\r\n*9\r\n*9\r\n"} {
		f.Add([]byte(s), uint8(1))
		f.Add([]byte(s[:len(s)/2]), uint8(3))
	}
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		atOnce, err1 := readReply(bufio.NewReader(bytes.NewReader(b)), 64)
		inChunks, err2 := readReply(bufio.NewReader(&chunkReader{b, int(step%7) + 1}), 64)
		if (err1 == nil) != (err2 == nil) || !bytes.Equal(atOnce.value, inChunks.value) || atOnce.err != inChunks.err ||
			atOnce.complete != inChunks.complete || len(atOnce.value) > 64 {
			t.Errorf("in one read: %q, %v; in chunks: %q, %v", atOnce.value, err1, inChunks.value, err2)
		}
	})
}

// chunkReader returns at most size bytes per read.
type chunkReader struct {
	b    []byte
	size int
}

func (r *chunkReader) Read(p []byte) (int, error) {
	if len(r.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.b[:min(r.size, len(r.b))])
	r.b = r.b[n:]
	return n, nil
}
