package fake

import (
	"net"
	"strings"
	"sync"

	"github.com/tidwall/redcon"
)

// Block is a block node: it keeps what is written and gives it back.
type Block struct {
	mu   sync.Mutex
	data map[string][]byte
	seen []string // "COMMAND id"
	hook func(c redcon.Conn, cmd redcon.Command) bool
}

// NewBlock returns an empty node.
func NewBlock() *Block { return &Block{data: map[string][]byte{}} }

// SetHook puts f before every command; where it returns true the command has been dealt with.
func (b *Block) SetHook(f func(c redcon.Conn, cmd redcon.Command) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hook = f
}

// Seen lists the commands that came, each with its request's id.
func (b *Block) Seen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.seen...)
}

// Serve answers until the listener is closed.
func (b *Block) Serve(ln net.Listener) error { return redcon.Serve(ln, b.handle, nil, nil) }

func (b *Block) handle(c redcon.Conn, cmd redcon.Command) {
	name := strings.ToUpper(string(cmd.Args[0]))
	if name != "BLK.READ" && name != "BLK.WRITE" {
		if name == "PING" {
			c.WriteString("PONG")
		} else {
			c.WriteError("ERR unknown command")
		}
		return
	}
	if want := map[string]int{"BLK.READ": 4, "BLK.WRITE": 5}[name]; len(cmd.Args) != want {
		c.WriteError("SYNTAX")
		return
	}
	b.mu.Lock()
	b.seen = append(b.seen, name+" "+string(cmd.Args[2]))
	hook := b.hook
	b.mu.Unlock()
	if hook != nil && hook(c, cmd) {
		return
	}
	b.mu.Lock()
	piece := string(cmd.Args[1])
	if name == "BLK.WRITE" {
		b.data[piece] = append([]byte(nil), cmd.Args[4]...)
	}
	value := append([]byte{}, b.data[piece]...)
	b.mu.Unlock()
	c.WriteArray(3)
	c.WriteBulk(value)
	c.WriteNull()
	c.WriteNull()
}
