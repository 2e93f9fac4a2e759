package block

import (
	"hash/maphash"
	"sync"

	"poppyarch/internal/timing/clock"
)

// inFlight holds the ids of the requests whose replies are not sent yet, and of those that may have been executed a short
// time ago and must not be executed again.
type inFlight struct {
	retention clock.Micros // how long the ids of executed requests are kept
	maxRecent int          // maximum number of them

	mu     sync.Mutex
	ids    map[string]struct{}
	seed   maphash.Seed
	recent map[uint64]struct{} // hashes of the ids of executed requests
	expiry []recentID          // the same, oldest first
}

// recentID is the id of a request that may have been executed.
type recentID struct {
	hash  uint64
	until clock.Micros
}

func newInFlight(retention clock.Micros, maxRecent int) *inFlight {
	return &inFlight{
		retention: retention,
		maxRecent: maxRecent,
		ids:       map[string]struct{}{},
		seed:      maphash.MakeSeed(),
		recent:    map[uint64]struct{}{},
	}
}

// idUse tells whether a request id may be used.
type idUse uint8

const (
	idFree idUse = iota
	idInUse
	idTableFull // too many requests that must not be executed again were executed a short time ago
)

// addID registers a request's id until remove is called, unless it is in use: nodes match replies to requests by id, so one
// request could get the reply to the other, and a client that has left may come again with the id of a request that was
// executed. repeatable tells whether the request may be executed again.
func (f *inFlight) addID(id string, repeatable bool, now clock.Micros) idUse {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire(now)
	_, open := f.ids[id]
	_, executed := f.recent[f.hash(id)]
	switch {
	case open, executed:
		return idInUse
	case !repeatable && len(f.recent) >= f.maxRecent:
		return idTableFull
	}
	f.ids[id] = struct{}{}
	return idFree
}

// remove unregisters a request whose reply was sent or discarded. It has no effect for replies to other commands.
func (f *inFlight) remove(r *reply, now clock.Micros) {
	if r.requestID == "" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ids, r.requestID)
	if !r.keepID {
		return
	}
	hash := f.hash(r.requestID)
	f.recent[hash] = struct{}{}
	f.expiry = append(f.expiry, recentID{hash: hash, until: now + f.retention})
}

// expire deletes the ids that have been kept long enough. The caller holds mu.
func (f *inFlight) expire(now clock.Micros) {
	for len(f.expiry) > 0 && f.expiry[0].until <= now {
		delete(f.recent, f.expiry[0].hash)
		f.expiry = f.expiry[1:]
	}
}

func (f *inFlight) hash(id string) uint64 { return maphash.String(f.seed, id) }

// count returns the number of requests in flight.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ids)
}
