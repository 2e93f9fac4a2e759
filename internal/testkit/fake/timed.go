package fake

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// PieceID returns the id of a piece for TimedBlockServer. Its low 24 bits hold the work of a request for the piece, in
// microseconds of a core at speed 1; the other bits hold key.
func PieceID(key uint64, work int64) string {
	const maxWork = 1<<24 - 1
	return hex16(key<<24 | uint64(min(max(work, 0), maxWork)))
}

// hex16 returns v as 16 hex digits.
func hex16(v uint64) string {
	s := strconv.FormatUint(v, 16)
	return strings.Repeat("0", 16-len(s)) + s
}

// TimedBlockServer is the block server of a storage node with a limited speed. It serves requests in order of arrival,
// each on the core that becomes free first. The id of a request's piece determines how long the request takes. Requests
// that their client has abandoned are still served.
type TimedBlockServer struct {
	Cores         int
	Speed         float64       // seconds of work that a core does in a second
	QueueCapacity int           // maximum number of waiting requests; 0 means no limit
	HandshakeWork time.Duration // work of a new connection, added to its first request

	mu         sync.Mutex
	coreFreeAt []time.Time // time at which each core becomes free
	pending    int         // requests that wait or are being served
	attempts   int
	conns      int
	rejected   int
}

// Counts returns the number of received attempts, of new connections, and of attempts rejected because the queue was
// full.
func (n *TimedBlockServer) Counts() (attempts, conns, rejected int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.attempts, n.conns, n.rejected
}

// Pause keeps the cores from starting new requests for d. Requests already scheduled are not delayed.
func (n *TimedBlockServer) Pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.initCores()
	until := time.Now().Add(d)
	for i := range n.coreFreeAt {
		if n.coreFreeAt[i].Before(until) {
			n.coreFreeAt[i] = until
		}
	}
}

// Serve serves connections until the listener is closed.
func (n *TimedBlockServer) Serve(ln net.Listener) error {
	return redcon.Serve(ln, n.handle, func(c redcon.Conn) bool {
		c.SetContext(new(bool)) // whether the connection has received a request
		return true
	}, nil)
}

func (n *TimedBlockServer) initCores() {
	if n.coreFreeAt == nil {
		n.coreFreeAt = make([]time.Time, max(n.Cores, 1))
	}
}

// assignToCore assigns a request to the core that becomes free first and returns when the request is done. newConn
// tells that it is the first request of its connection. ok is false if the queue is full.
func (n *TimedBlockServer) assignToCore(now time.Time, work time.Duration, newConn bool) (done time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.initCores()
	n.attempts++
	if newConn {
		n.conns++
		work += n.HandshakeWork
	}
	if n.QueueCapacity > 0 && n.pending >= n.QueueCapacity+len(n.coreFreeAt) {
		n.rejected++
		return time.Time{}, false
	}
	core := 0
	for i := range n.coreFreeAt {
		if n.coreFreeAt[i].Before(n.coreFreeAt[core]) {
			core = i
		}
	}
	if n.coreFreeAt[core].Before(now) {
		n.coreFreeAt[core] = now
	}
	n.coreFreeAt[core] = n.coreFreeAt[core].Add(time.Duration(float64(work) / n.Speed))
	n.pending++
	return n.coreFreeAt[core], true
}

// Schedule schedules a request of another protocol. done blocks until the request is done. ok is false if the queue is
// full.
func (n *TimedBlockServer) Schedule(work time.Duration) (done func(), ok bool) {
	at, ok := n.assignToCore(time.Now(), work, false)
	return func() { n.finish(at) }, ok
}

// finish waits until the end of a request and removes it from the pending ones.
func (n *TimedBlockServer) finish(at time.Time) {
	time.Sleep(time.Until(at))
	n.mu.Lock()
	n.pending--
	n.mu.Unlock()
}

func (n *TimedBlockServer) handle(c redcon.Conn, cmd redcon.Command) {
	if name := strings.ToUpper(string(cmd.Args[0])); name != "BLK.READ" && name != "BLK.WRITE" || len(cmd.Args) < 4 {
		c.WriteError("ERR unknown command")
		return
	}
	piece, err := strconv.ParseUint(string(cmd.Args[1]), 16, 64)
	if err != nil {
		c.WriteError("ERR piece: " + strconv.Quote(string(cmd.Args[1])))
		return
	}
	used := c.Context().(*bool)
	newConn := !*used
	*used = true
	done, ok := n.assignToCore(time.Now(), time.Duration(piece&(1<<24-1))*time.Microsecond, newConn)
	if !ok {
		c.WriteError("BUSY")
		return
	}
	n.finish(done)
	c.WriteArray(3)
	c.WriteBulk(cmd.Args[2]) // the request's id, by which the client matches the response to its request
	c.WriteNull()
	c.WriteNull()
}
