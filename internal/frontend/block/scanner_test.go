package block

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"
)

// FuzzScanner checks that the result does not depend on how the input is split, and that redcon accepts the commands
// that the scanner accepts.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(readCommand("a")+encodeCommand("PING")), uint8(1))
	f.Add([]byte(encodeCommand("BLK.WRITE", testBlockID, "i", testParams, "")+"garbage"), uint8(5))
	f.Add([]byte("*1\r\n$-1\r\n"), uint8(2))
	f.Add([]byte("*1\r\n$4\r\nPI"), uint8(3))
	f.Fuzz(func(t *testing.T, b []byte, step uint8) {
		atOnce, inChunks := scanner{lim: testLimits()}, scanner{lim: testLimits()}
		complete, err := scanAll(&atOnce, b)
		chunksComplete, chunksErr := 0, error(nil)
		for at := 0; at < len(b) && chunksErr == nil; {
			end := min(at+int(step%9)+1, len(b))
			var n int
			if n, chunksErr = scanAll(&inChunks, b[at:end]); n > 0 {
				chunksComplete = at + n
			}
			at = end
		}
		if chunksComplete != complete || (err == nil) != (chunksErr == nil) {
			t.Fatalf("in one piece: %d bytes complete, error %v; in chunks: %d, %v", complete, err, chunksComplete, chunksErr)
		}
		expectCommands(t, b[:complete])
	})
}

// scanAll scans b and returns the number of bytes up to the end of the last complete command.
func scanAll(s *scanner, b []byte) (complete int, err error) {
	for at := 0; at < len(b); {
		n, ended, err := s.scanCommand(b[at:])
		if err != nil {
			return complete, err
		}
		if at += n; ended {
			complete = at
		}
	}
	return complete, nil
}

// expectCommands fails the test unless redcon reads b as a sequence of complete commands, and parses each of them alone.
func expectCommands(t *testing.T, b []byte) {
	t.Helper()
	for r := redcon.NewReader(bytes.NewReader(b)); len(b) > 0; {
		c, err := r.ReadCommand()
		if err != nil {
			t.Fatalf("redcon rejects %q: %v", b, err)
		}
		if _, err := redcon.Parse(b[:len(c.Raw)]); err != nil {
			t.Fatalf("redcon rejects %q alone: %v", b[:len(c.Raw)], err)
		}
		b = b[len(c.Raw):]
	}
}
