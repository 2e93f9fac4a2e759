package overload

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// floodChunk is how many requests a flooding client puts into one write.
const floodChunk = 64

// flood returns a client that sends requests at full speed and reads the answers. request returns the text of the
// request with a number.
func flood(request func(n int) string) badClient {
	return func(ctx context.Context, nc net.Conn, _ int) {
		go func() { _, _ = io.Copy(io.Discard, nc) }()
		var b strings.Builder
		for n := 0; ctx.Err() == nil; {
			b.Reset()
			for range floodChunk {
				n++
				b.WriteString(request(n))
			}
			if _, err := io.WriteString(nc, b.String()); err != nil {
				return
			}
		}
	}
}

func hex16(n int) string { return fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15) }

func blockRead(n int, volume string) string {
	return command("BLK.READ", "7f3a9c21e0b4d655", fmt.Sprint("flood-", n),
		fmt.Sprintf("c=%s,t=%s,d=2500,volume=%s,units=1,shard=%d,hosts=1", readClass, plan, volume, n%shards))
}

// floods lists requests that one client sends at full speed, by frontend.
var floods = map[frontendKind]map[string]func(n int) string{
	blockFrontend: {
		"ping":            func(int) string { return command("PING") },
		"unknown command": func(int) string { return command("X") },
		"unknown class": func(n int) string {
			return strings.ReplaceAll(blockRead(n, hex16(1)), "c=artwork-read", "c=artwork-xxxx")
		},
		"no id":             func(n int) string { return command("BLK.READ", hex16(n), "", "c=x") },
		"one volume":        func(n int) string { return blockRead(n, hex16(1)) },
		"ever new volumes":  func(n int) string { return blockRead(n, hex16(n)) },
		"ever new pieces":   func(n int) string { return strings.ReplaceAll(blockRead(n, hex16(n)), "7f3a9c21e0b4d655", hex16(n)) },
		"full shard":        func(n int) string { return strings.ReplaceAll(blockRead(n, hex16(n)), "units=1", "units=8") },
		"very short budget": func(n int) string { return strings.ReplaceAll(blockRead(n, hex16(n)), "d=2500", "d=1") },
	},
	objectFrontend: {
		"health":         func(int) string { return "GET /_health HTTP/1.1\r\nHost: b\r\n\r\n" },
		"unknown method": func(int) string { return "BREW /art/x HTTP/1.1\r\nHost: b\r\n\r\n" },
		"one object":     func(int) string { return "GET /art/x HTTP/1.1\r\nHost: b\r\n\r\n" },
		"ever new names": func(n int) string { return fmt.Sprintf("GET /%s/%s HTTP/1.1\r\nHost: b\r\n\r\n", hex16(n), hex16(n+1)) },
		"ever new deletes": func(n int) string {
			return fmt.Sprintf("DELETE /%s/%s HTTP/1.1\r\nHost: b\r\n\r\n", hex16(n), hex16(n+1))
		},
	},
}

func TestFloodOnOneConnectionLeavesOthersServed(t *testing.T) {
	const duration = 3 * time.Second
	for _, kind := range []frontendKind{blockFrontend, objectFrontend} {
		for name, request := range floods[kind] {
			t.Run(string(kind)+"/"+name, func(t *testing.T) {
				x := start(t, kind, leastMemory)
				playBesideUsualClients(x, duration, 1, flood(request))
			})
		}
	}
}
