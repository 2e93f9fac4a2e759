package block

import "sync"

// inFlight holds the ids of the requests whose replies are not sent yet.
type inFlight struct {
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

// remove unregisters a request whose reply was sent or discarded. It has no effect for replies to other commands.
func (f *inFlight) remove(r *reply) {
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
