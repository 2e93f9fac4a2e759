package record

import "sync"

// Ring is a sink in memory for brokers without a disk. It keeps the newest frames within a bound.
type Ring struct {
	maxBytes int
	head     []byte // of the segment

	mu     sync.Mutex
	size   int // of frames
	frames [][]byte
}

// NewRing returns an empty ring of at most maxBytes.
func NewRing(name, boot string, maxBytes int) *Ring {
	return &Ring{maxBytes: maxBytes, head: SegmentHeader(name, boot, 1)}
}

// Write keeps a frame and drops the oldest ones if there is no space.
func (r *Ring) Write(f *Frame) error {
	encoded := f.Append(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, encoded)
	r.size += len(encoded)
	for r.size > r.maxBytes && len(r.frames) > 1 {
		r.size -= len(r.frames[0])
		r.frames[0] = nil // or the array would keep it alive
		r.frames = r.frames[1:]
	}
	return nil
}

// Close does nothing.
func (r *Ring) Close() error { return nil }

// Segment returns the ring's content in the format of a segment file.
func (r *Ring) Segment() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	segment := append([]byte(nil), r.head...)
	for _, frame := range r.frames {
		segment = append(segment, frame...)
	}
	return segment
}
