package object

import (
	"errors"
	"io"
	"os"
	"time"

	"poppyarch/internal/frontend/clientstats"
	"poppyarch/internal/timing/clock"
)

const (
	// firstBodyBytes is the memory for a body before any of it has arrived.
	firstBodyBytes = 16 << 10
	// steadyBodyBytes is the size from which on memory for the whole body is taken at once.
	steadyBodyBytes = 256 << 10
	// fieldBytes is what a header field takes beside its text.
	fieldBytes = 64
	// reclaimInterval is how often a request that needs memory looks for some, and reclaimAttempts how many times.
	reclaimInterval = time.Millisecond
	reclaimAttempts = 20
)

// reserveHead reserves memory for the head of the request, which is kept until its answer.
func (x *exchange) reserveHead() error {
	size := len(x.r.RequestURI)
	for name, values := range x.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	x.headBytes = size
	if !x.reserve(int64(size)) {
		return x.noMemory()
	}
	return nil
}

// readBody reads the request's body. It fails if the body exceeds maxBytes or the memory for all clients, or is not
// received by the request's deadline. Memory is taken as the body arrives, not as the client announces it.
func (x *exchange) readBody(maxBytes int64) error {
	size := x.r.ContentLength
	if size < 0 {
		return errMissingLength
	}
	if size > maxBytes {
		return errTooLarge
	}
	timeout := clock.Duration(x.deadline - x.server.clock.Now())
	_ = x.control.SetReadDeadline(time.Now().Add(timeout)) // without it, the read ends with the connection
	for int64(len(x.body)) < size {
		if err := x.readPart(size); err != nil {
			return err
		}
	}
	// The deadline is removed because net/http would treat one that passes later as a disconnect of the client.
	_ = x.control.SetReadDeadline(time.Time{})
	return nil
}

// readPart reads some bytes of a body of the given size.
func (x *exchange) readPart(size int64) error {
	if len(x.body) == cap(x.body) && !x.growBody(nextBodySize(int64(cap(x.body)), size)) {
		return x.noMemory()
	}
	n, err := x.r.Body.Read(x.body[len(x.body):cap(x.body)])
	x.body = x.body[:len(x.body)+n]
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && x.server.drainDeadlinePassed():
		return x.draining()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyStalled
	case err != nil && !errors.Is(err, io.EOF), n == 0 && err != nil:
		return errIncompleteBody
	}
	return nil
}

// nextBodySize returns the size of the buffer that follows one of the given size, for a body of size bytes.
func nextBodySize(buffer, size int64) int64 {
	if buffer >= steadyBodyBytes {
		return size
	}
	return min(max(2*buffer, firstBodyBytes), size)
}

// growBody moves the body to a buffer of another size. It returns false if there is no memory for it.
func (x *exchange) growBody(size int64) bool {
	if !x.reserve(size - int64(cap(x.body))) {
		return false
	}
	grown := make([]byte, len(x.body), size)
	copy(grown, x.body)
	x.body = grown
	return true
}

// reserve counts bytes for the request until its answer. If the memory for clients is used up, connections that do not go
// on with their requests are closed.
func (x *exchange) reserve(size int64) bool {
	s := x.server
	for range reclaimAttempts {
		if s.memory.Reserve(size) {
			x.reserved += size
			return true
		}
		if !s.http.EvictStalled() {
			return false
		}
		s.stats.Count(clientstats.ClosedForMemory)
		time.Sleep(reclaimInterval)
	}
	return false
}

// draining returns the error of a request that could not be executed by the drain deadline.
func (x *exchange) draining() error {
	x.w.Header().Set("Retry-After", drainRetryAfter)
	return errDraining
}

// noMemory returns the error of a request for which there is no memory.
func (x *exchange) noMemory() error {
	x.w.Header().Set("Retry-After", memoryRetryAfter)
	return errNoMemory
}
