package fake

import (
	"net"
	"strings"
	"sync"

	"github.com/tidwall/redcon"
)

// BlockServer is the block server of a storage node. It keeps pieces in memory.
type BlockServer struct {
	mu       sync.Mutex
	data     map[string][]byte // by piece
	commands []string          // "COMMAND id" of each request
	hook     func(c redcon.Conn, cmd redcon.Command) bool
}

// NewBlockServer returns a server without data.
func NewBlockServer() *BlockServer { return &BlockServer{data: map[string][]byte{}} }

// SetHook has f called before every command is served. If f returns true, the command is not served. A nil f removes
// the hook.
func (b *BlockServer) SetHook(f func(c redcon.Conn, cmd redcon.Command) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hook = f
}

// Put stores a piece.
func (b *BlockServer) Put(piece string, value []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data[piece] = value
}

// Commands returns the received block commands, each as the command's name and the request's id.
func (b *BlockServer) Commands() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.commands...)
}

// Serve serves connections until the listener is closed.
func (b *BlockServer) Serve(ln net.Listener) error { return redcon.Serve(ln, b.handle, nil, nil) }

func (b *BlockServer) handle(c redcon.Conn, cmd redcon.Command) {
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
	b.commands = append(b.commands, name+" "+string(cmd.Args[2]))
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
