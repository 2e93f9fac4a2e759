package blockstore

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// FuzzReply checks that reading any input ends without a panic, returns values within the limit only, and does not depend
// on how the input is cut.
func FuzzReply(f *testing.F) {
	for _, s := range []string{"*3\r\n$4\r\nv\r\nw\r\n$-1\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n*2\r\n:3\r\n$2\r\nxx\r\n$5\r\na:1.5\r\n",
		"-ERR failed\r\n", "-BUSY\r\n", "*1\r\n$-1\r\n", "+PONG\r\n", "*-1\r\n", "$99999999999\r\n", "*3\r\n*9\r\n*9\r\n"} {
		f.Add([]byte(s), uint8(1))
		f.Add([]byte(s[:len(s)/2]), uint8(3))
	}
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		one, err1 := readReply(bufio.NewReader(bytes.NewReader(b)), 64)
		two, err2 := readReply(bufio.NewReader(&chunkReader{b, int(step%7) + 1}), 64)
		if (err1 == nil) != (err2 == nil) || !bytes.Equal(one.value, two.value) || one.err != two.err ||
			one.complete != two.complete || len(one.value) > 64 {
			t.Errorf("%q %v against %q %v", one.value, err1, two.value, err2)
		}
	})
}

// chunkReader returns at most size bytes a read.
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
