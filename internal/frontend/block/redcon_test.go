package block

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"
)

// commands wants redcon to read b to its end.
func commands(t *testing.T, b []byte) {
	t.Helper()
	for r := redcon.NewReader(bytes.NewReader(b)); len(b) > 0; {
		c, err := r.ReadCommand()
		if err != nil {
			t.Fatalf("redcon on %q: %v", b, err)
		}
		b = b[len(c.Raw):]
	}
}
