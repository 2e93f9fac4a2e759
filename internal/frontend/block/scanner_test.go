package block

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"
)

// FuzzScanner checks that the result does not depend on how the input is cut, and that redcon reads what passes.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(readCommand("a")+encodeCommand("PING")), uint8(1))
	f.Add([]byte(encodeCommand("BLK.WRITE", testBlockID, "i", testParams, "")+"garbage"), uint8(5))
	f.Add([]byte("*1\r\n$-1\r\n"), uint8(2))
	f.Add([]byte("*1\r\n$4\r\nPI"), uint8(3))
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		one, two := scanner{lim: testLimits()}, scanner{lim: testLimits()}
		complete, err := one.scan(b)
		cut, err2 := 0, error(nil)
		for at := 0; at < len(b) && err2 == nil; {
			end := min(at+int(step%9)+1, len(b))
			var w int
			if w, err2 = two.scan(b[at:end]); w > 0 {
				cut = at + w
			}
			at = end
		}
		if cut != complete || (err == nil) != (err2 == nil) {
			t.Fatalf("complete: %d %v; in cuts: %d %v", complete, err, cut, err2)
		}
		expectCommands(t, b[:complete])
	})
}

// expectCommands wants redcon to read complete commands up to the end of b.
func expectCommands(t *testing.T, b []byte) {
	t.Helper()
	for r := redcon.NewReader(bytes.NewReader(b)); len(b) > 0; {
		c, err := r.ReadCommand()
		if err != nil {
			t.Fatalf("redcon on %q: %v", b, err)
		}
		b = b[len(c.Raw):]
	}
}
