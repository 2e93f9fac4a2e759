package block

import (
	"sync"
	"sync/atomic"
)

// inFlight tracks the requests whose replies are not sent yet: their ids and the bytes of their commands and replies.
type inFlight struct {
	maxBytes int64
	bytes    atomic.Int64

	mu  sync.Mutex
	ids map[string]struct{}
}

// addID registers a request's id until remove is called. It returns false if another request in flight has the same id:
// nodes match replies to requests by id, so one request could get the reply to the other.
func (f *inFlight) addID(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, exists := f.ids[id]; exists {
		return false
	}
	f.ids[id] = struct{}{}
	return true
}

// reserve counts a command's bytes until remove is called. It returns false if they would exceed the limit on bytes in
// flight.
func (f *inFlight) reserve(r *reply, size int64) bool {
	if f.bytes.Add(size) > f.maxBytes {
		f.bytes.Add(-size)
		return false
	}
	r.bytes.Store(size)
	return true
}

// addReply counts the bytes of a reply until remove is called. They count towards the limit but are never rejected.
func (f *inFlight) addReply(r *reply, size int64) {
	r.bytes.Add(size)
	f.bytes.Add(size)
}

// remove unregisters a request whose reply was sent or discarded.
func (f *inFlight) remove(r *reply) {
	f.bytes.Add(-r.bytes.Load())
	if r.requestID == "" {
		return
	}
	f.mu.Lock()
	delete(f.ids, r.requestID)
	f.mu.Unlock()
}

// count returns the number of requests in flight.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ids)
}
