package fake

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// Piece names a piece of data whose requests take so many microseconds of a core at speed 1.
func Piece(key uint64, work int64) string {
	const most = 1<<24 - 1
	return pad(key<<24 | uint64(min(max(work, 0), most)))
}

func pad(v uint64) string {
	s := strconv.FormatUint(v, 16)
	return strings.Repeat("0", 16-len(s)) + s
}

// Timed is a block node that takes its time: it serves in turn of arrival on some cores, each request for as long as its piece says. What its
// client has given up is worked on all the same.
type Timed struct {
	Cores     int
	Speed     float64       // 1: a core does a second of work in a second
	Room      int           // requests that may wait; 0: any number
	Handshake time.Duration // work of a new connection

	mu       sync.Mutex
	free     []time.Time // when each core is
	open     int
	attempts int
	conns    int
	turned   int
}

// Counts are the attempts that have come, new connections, and attempts that a full room has turned away.
func (n *Timed) Counts() (attempts, conns, turned int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attempts, n.conns, n.turned
}

// Pause has all cores stand still for a while, once they are through with what they have.
func (n *Timed) Pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.begin()
	until := time.Now().Add(d)
	for i := range n.free {
		if n.free[i].Before(until) {
			n.free[i] = until
		}
	}
}

// Serve answers until the listener is closed.
func (n *Timed) Serve(ln net.Listener) error {
	return redcon.Serve(ln, n.handle, func(c redcon.Conn) bool {
		c.SetContext(new(bool)) // whether its first request has come
		return true
	}, nil)
}

func (n *Timed) begin() {
	if n.free == nil {
		n.free = make([]time.Time, max(n.Cores, 1))
	}
}

// take books a request at the core that is free first, and says when it is done; ok is false where the room is full.
func (n *Timed) take(now time.Time, work time.Duration, fresh bool) (done time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.begin()
	n.attempts++
	if fresh {
		n.conns++
		work += n.Handshake
	}
	if n.Room > 0 && n.open >= n.Room+len(n.free) {
		n.turned++
		return time.Time{}, false
	}
	core := 0
	for i := range n.free {
		if n.free[i].Before(n.free[core]) {
			core = i
		}
	}
	if n.free[core].Before(now) {
		n.free[core] = now
	}
	n.free[core] = n.free[core].Add(time.Duration(float64(work) / n.Speed))
	n.open++
	return n.free[core], true
}

// Take books a request of another protocol; done returns when it is through. ok is false where the room is full.
func (n *Timed) Take(work time.Duration) (done func(), ok bool) {
	at, ok := n.take(time.Now(), work, false)
	return func() { n.end(at) }, ok
}

func (n *Timed) end(at time.Time) {
	time.Sleep(time.Until(at))
	n.mu.Lock()
	n.open--
	n.mu.Unlock()
}

func (n *Timed) handle(c redcon.Conn, cmd redcon.Command) {
	if name := strings.ToUpper(string(cmd.Args[0])); name != "BLK.READ" && name != "BLK.WRITE" || len(cmd.Args) < 4 {
		c.WriteError("ERR unknown command")
		return
	}
	piece, err := strconv.ParseUint(string(cmd.Args[1]), 16, 64)
	if err != nil {
		c.WriteError("ERR piece: " + strconv.Quote(string(cmd.Args[1])))
		return
	}
	seen := c.Context().(*bool)
	fresh := !*seen
	*seen = true
	done, ok := n.take(time.Now(), time.Duration(piece&(1<<24-1))*time.Microsecond, fresh)
	if !ok {
		c.WriteError("BUSY")
		return
	}
	n.end(done)
	c.WriteArray(3)
	c.WriteBulk(cmd.Args[2]) // the request's id, by which its client knows the answer for its own
	c.WriteNull()
	c.WriteNull()
}
