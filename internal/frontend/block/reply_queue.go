package block

import "sync"

// reply is the pending reply to one command.
type reply struct {
	ready      chan struct{} // closed once encoded and value are set; nil if they are set from the beginning
	encoded    []byte
	value      []byte // written after encoded, followed by CRLF; nil if there is none
	requestID  string // empty for commands that are not requests
	repeatable bool   // the request may be executed again at any time
	keepID     bool   // the request may have been executed and must not be executed again
	reserved   int64  // bytes that are counted for the command and its reply
}

// replyQueue holds the pending replies of one connection in the order of their commands. A goroutine writes them while
// there are any.
type replyQueue struct {
	mu      sync.Mutex
	changed *sync.Cond // signals that a reply was removed
	replies []*reply
	writing bool // a goroutine writes the replies
}

func newReplyQueue() *replyQueue {
	q := &replyQueue{}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// push adds a reply. It reports whether the caller has to start the writer.
func (q *replyQueue) push(r *reply) (startWriter bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.replies = append(q.replies, r)
	startWriter = !q.writing
	q.writing = true
	return startWriter
}

// waitWhile waits while blocked returns true, which is passed the number of queued replies. It must not return true if that is
// 0, and what it depends on must change before a reply is removed.
func (q *replyQueue) waitWhile(blocked func(queued int) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for blocked(len(q.replies)) {
		q.changed.Wait()
	}
}

// first returns the reply that is to be written next. If there is none, the writer ends.
func (q *replyQueue) first() (r *reply, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.replies) == 0 {
		q.writing = false
		q.replies = nil
		q.changed.Broadcast()
		return nil, false
	}
	return q.replies[0], true
}

// removeFirst removes the reply that was written.
func (q *replyQueue) removeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.replies[0] = nil
	q.replies = q.replies[1:]
	q.changed.Broadcast()
}

// awaitEmpty waits until all replies have been written and the writer has ended.
func (q *replyQueue) awaitEmpty() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.writing {
		q.changed.Wait()
	}
}
