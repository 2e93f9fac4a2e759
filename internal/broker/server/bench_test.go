package server

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// BenchmarkBlockRequests measures requests of one client through a whole broker to a node that answers at once. depth is
// the number of requests that the client sends together.
func BenchmarkBlockRequests(b *testing.B) {
	for _, depth := range []int{1, 16} {
		b.Run(fmt.Sprint("depth=", depth), func(b *testing.B) {
			_, c, in, _ := startBlockBroker(b, nil)
			setDeadline(b, c, time.Time{})
			sendAndRead(b, c, in, blockCommand("BLK.READ", "object-read", "first"), 2)
			response := "$1\r\nx\r\n"
			buf := make([]byte, depth*len(response))
			var commands strings.Builder
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += depth {
				commands.Reset()
				for k := range depth {
					commands.WriteString(blockCommand("BLK.WRITE", "object-write", fmt.Sprint("r", i+k), "x"))
				}
				send(b, c, commands.String())
				if _, err := io.ReadFull(in, buf); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
