package record

import "sync"

// Ring is an in-memory sink for brokers without a disk. It keeps the newest frames up to a total size.
type Ring struct {
	maxBytes int
	header   []byte // header of the segment

	mu     sync.Mutex
	size   int // size of frames in bytes
	frames [][]byte
}

// NewRing returns an empty ring of at most maxBytes.
func NewRing(name, incarnationID string, maxBytes int) *Ring {
	return &Ring{maxBytes: maxBytes, header: SegmentHeader(name, incarnationID, 1)}
}

// Write stores a frame and drops the oldest ones to stay within maxBytes. The newest frame is always kept.
func (r *Ring) Write(f *Frame) error {
	encoded := f.Append(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, encoded)
	r.size += len(encoded)
	for r.size > r.maxBytes && len(r.frames) > 1 {
		r.size -= len(r.frames[0])
		r.frames[0] = nil // otherwise the backing array would keep the frame in memory
		r.frames = r.frames[1:]
	}
	return nil
}

// Close does nothing.
func (r *Ring) Close() error { return nil }

// Segment returns the ring's contents in the format of a segment file.
func (r *Ring) Segment() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	segment := append([]byte(nil), r.header...)
	for _, frame := range r.frames {
		segment = append(segment, frame...)
	}
	return segment
}
