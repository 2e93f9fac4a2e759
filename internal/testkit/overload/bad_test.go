package overload

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// largeValue is the size in bytes of the largest value that the block protocol allows.
const largeValue = 64 << 10

// largePiece and largeObject name what all storage nodes hold at a size of largeValue.
const (
	largePiece  = "00000000000000aa"
	largeObject = "/art/large"
)

// badClient is a client that breaks the protocol, or uses it to the detriment of others. It plays on one connection and
// returns when that ends or ctx is done.
type badClient func(ctx context.Context, nc net.Conn, number int)

// crowd keeps a number of connections of bad clients open until ctx is done.
func crowd(ctx context.Context, x *installation, size int, play badClient) {
	var clients sync.WaitGroup
	for i := range size {
		clients.Go(func() {
			for ctx.Err() == nil {
				nc, err := net.DialTimeout("tcp", x.addr, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
				play(ctx, nc, i)
				stop()
				_ = nc.Close()
			}
		})
	}
	clients.Wait()
}

// awaitEnd reads until the connection ends.
func awaitEnd(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) }

// writeSlowly writes a text in pieces until the connection ends. What the broker answers is discarded.
func writeSlowly(nc net.Conn, text string, pieceBytes int, pause time.Duration) {
	go awaitEnd(nc)
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		if _, err := io.WriteString(nc, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// writeCommand returns a write of a new piece with a body of the given size.
func writeCommand(id string, volume uint64, bodyBytes int) string {
	return command("BLK.WRITE", "7f3a9c21e0b4d655", id,
		fmt.Sprintf("c=%s,t=%s,d=5000,volume=%016x,units=1,shard=%d,hosts=1", writeClass, plan, volume, volume%shards),
		strings.Repeat("x", bodyBytes))
}

// stopWithin returns a client that sends the first half of a text, stops and stays.
func stopWithin(text string) badClient {
	return func(_ context.Context, nc net.Conn, _ int) {
		_, _ = io.WriteString(nc, text[:len(text)/2])
		awaitEnd(nc)
	}
}

// sendSlowly returns a client that sends a text slowly.
func sendSlowly(text string, pieceBytes int, pause time.Duration) badClient {
	return func(_ context.Context, nc net.Conn, _ int) { writeSlowly(nc, text, pieceBytes, pause) }
}

// sendWithoutReading returns a client that sends a text over and over and reads nothing.
func sendWithoutReading(text string) badClient {
	return func(ctx context.Context, nc net.Conn, _ int) {
		for ctx.Err() == nil {
			if _, err := io.WriteString(nc, text); err != nil {
				return
			}
		}
	}
}

// shortFields returns n distinct field names of two characters and up, each followed by end.
func shortFields(n int, end string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "x%x%s", i, end)
	}
	return b.String()
}

// manyFieldsList is a parameter list with as many names as its size allows.
var manyFieldsList = fmt.Sprintf("c=%s,t=%s,d=2500,volume=%016x,units=1,shard=0,hosts=1,", readClass, plan, 1) +
	strings.TrimSuffix(shortFields(170, "=,"), ",")

func sendManyFieldCommands(_ context.Context, nc net.Conn, number int) {
	var b strings.Builder
	for i := range 128 {
		b.WriteString(command("BLK.READ", "7f3a9c21e0b4d655", fmt.Sprintf("fields-%d-%d", number, i), manyFieldsList))
	}
	_, _ = io.WriteString(nc, b.String())
	awaitEnd(nc)
}

const putHead = "PUT /art/bad HTTP/1.1\r\nHost: b\r\nContent-Length: 65536\r\n\r\n"

// heldMemory lists clients that make a broker hold memory, by frontend.
var heldMemory = map[frontendKind]map[string]badClient{
	blockFrontend: {
		"stopped within a write":     stopWithin(writeCommand("bad", 1, largeValue)),
		"writing slowly":             sendSlowly(writeCommand("bad", 1, largeValue), 64, 5*time.Millisecond),
		"large echo not read":        sendWithoutReading(command("PING", strings.Repeat("x", largeValue))),
		"many short fields":          sendManyFieldCommands,
		"large unsound commands":     sendWithoutReading(command("BLK.WRITE", strings.Repeat("x", largeValue))),
		"small commands, not read":   sendWithoutReading(strings.Repeat(command("PING"), 1000)),
		"silent":                     func(_ context.Context, nc net.Conn, _ int) { awaitEnd(nc) },
		"large writes, then resting": sendThenRest,
		"large values, not read":     askForLargeValues,
	},
	objectFrontend: {
		"stopped within a body":    stopWithin(putHead + strings.Repeat("x", largeValue)),
		"writing slowly":           sendSlowly(putHead+strings.Repeat("x", largeValue), 64, 5*time.Millisecond),
		"head of many short lines": stopWithin("GET /art/x HTTP/1.1\r\nHost: b\r\n" + strings.Repeat(shortFields(3000, ":\r\n"), 2)),
		"query of many fields":     sendWithoutReading("GET /art/x?" + shortFields(3000, "&") + " HTTP/1.1\r\nHost: b\r\n\r\n"),
		"body behind a large head": stopWithin("PUT /art/bad HTTP/1.1\r\nHost: b\r\nContent-Length: 65536\r\n" + shortFields(2600, ":\r\n") +
			"\r\n" + strings.Repeat("x", largeValue/2)),
		"large objects, not read": askWithoutReading("GET " + largeObject + " HTTP/1.1\r\nHost: b\r\n\r\n"),
		"silent":                  func(_ context.Context, nc net.Conn, _ int) { awaitEnd(nc) },
	},
}

// askInterval keeps a crowd near three times the 200 requests a second that the pages name for a broker.
const askInterval = 500 * time.Millisecond

// askWithoutReading returns a client that sends a request again and again and reads no answer.
func askWithoutReading(text string) badClient {
	return func(ctx context.Context, nc net.Conn, _ int) {
		for ctx.Err() == nil {
			if _, err := io.WriteString(nc, text); err != nil {
				return
			}
			time.Sleep(askInterval)
		}
	}
}

func askForLargeValues(ctx context.Context, nc net.Conn, number int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("large-%d-%d", number, i)
		if _, err := io.WriteString(nc, readCommand(largePiece, id, uint64(number), int(requestDeadline.Milliseconds()))); err != nil {
			return
		}
		time.Sleep(askInterval)
	}
}

func sendThenRest(_ context.Context, nc net.Conn, number int) {
	_, _ = io.WriteString(nc, writeCommand(fmt.Sprint("rest-", number), uint64(number), largeValue))
	awaitEnd(nc)
}

func TestBlockCrowdsStayWithinMemory(t *testing.T)  { playCrowds(t, blockFrontend) }
func TestObjectCrowdsStayWithinMemory(t *testing.T) { playCrowds(t, objectFrontend) }

// playCrowds plays each kind of crowd beside usual clients of a broker with the least memory.
func playCrowds(t *testing.T, kind frontendKind) {
	const (
		crowdSize = 320 // with the usual clients under a third of the descriptors
		duration  = 3 * time.Second
	)
	for name, play := range heldMemory[kind] {
		t.Run(name, func(t *testing.T) {
			x := start(t, kind, leastMemory)
			playBesideUsualClients(x, duration, crowdSize, play)
		})
	}
}

// playBesideUsualClients plays a crowd of bad clients beside usual ones, whose requests must be answered. The broker must
// stay within its memory.
func playBesideUsualClients(x *installation, duration time.Duration, crowdSize int, play badClient) {
	x.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var usual usualTraffic
	var players sync.WaitGroup
	players.Go(func() { crowd(ctx, x, crowdSize, play) })
	players.Go(func() { usual.run(ctx, x) })
	players.Wait()
	usual.check(x.t)
	x.checkMemory()
}
