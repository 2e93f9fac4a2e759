package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"

	"poppyarch/internal/timing/clock"
)

// A segment is a header followed by frames. The header consists of the magic, the length of the body (2 bytes,
// little-endian), the body (broker, incarnation, number of the first frame) and the checksum of all these. A frame is a
// header of fixed size followed by its events. It begins with a marker, by which readers find the next frame after
// damaged bytes.
const (
	segmentMagic = "PASEG\x00\x00\x01"
	frameMarker  = 0xA7C3F05B

	// Offsets in a frame's header. The checksum covers everything after itself.
	frameLengthOffset    = 4
	frameChecksumOffset  = 8
	frameSeqOffset       = 12
	frameBaseTimeOffset  = 20
	frameWrittenAtOffset = 28
	frameHeaderSize      = 36

	maxFrameBytes = 16 << 20
)

// Errors of reading a segment's header.
var (
	ErrNotSegment    = errors.New("not a segment")
	ErrDamagedHeader = errors.New("damaged segment header")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Frame is a batch of events.
type Frame struct {
	Seq       uint64       // counts from 1 over all segments of an incarnation
	BaseTime  clock.Micros // reference time of the encoded event times
	WrittenAt clock.Micros // time at which the frame was written
	Events    []byte       // encoded events
}

// Append encodes the frame and appends it to b.
func (f *Frame) Append(b []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMarker)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.Events)))
	b = append(b, 0, 0, 0, 0) // the checksum is filled in below
	b = binary.LittleEndian.AppendUint64(b, f.Seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(f.BaseTime))
	b = binary.LittleEndian.AppendUint64(b, uint64(f.WrittenAt))
	b = append(b, f.Events...)
	binary.LittleEndian.PutUint32(b[start+frameChecksumOffset:], crc32.Checksum(b[start+frameSeqOffset:], castagnoli))
	return b
}

// decodeFrame decodes the frame at the start of b and returns it with its size; the size is 0 if there is no valid
// frame.
func decodeFrame(b []byte) (frame Frame, size int) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMarker {
		return Frame{}, 0
	}
	length := int(binary.LittleEndian.Uint32(b[frameLengthOffset:]))
	size = frameHeaderSize + length
	if length > maxFrameBytes || len(b) < size {
		return Frame{}, 0
	}
	if crc32.Checksum(b[frameSeqOffset:size], castagnoli) != binary.LittleEndian.Uint32(b[frameChecksumOffset:]) {
		return Frame{}, 0
	}
	frame = Frame{
		Seq:       binary.LittleEndian.Uint64(b[frameSeqOffset:]),
		BaseTime:  clock.Micros(binary.LittleEndian.Uint64(b[frameBaseTimeOffset:])),
		WrittenAt: clock.Micros(binary.LittleEndian.Uint64(b[frameWrittenAtOffset:])),
		Events:    b[frameHeaderSize:size],
	}
	return frame, size
}

// Sizes in a segment's header, in bytes.
const (
	headerLengthSize   = 2
	headerChecksumSize = 4
)

// SegmentHeader returns the header of a segment file of a broker's incarnation; firstFrame is the number of its first
// frame.
func SegmentHeader(name, incarnationID string, firstFrame uint64) []byte {
	var body []byte
	body = appendString(body, name)
	body = appendString(body, incarnationID)
	body = binary.AppendUvarint(body, firstFrame)
	b := append([]byte(segmentMagic), byte(len(body)), byte(len(body)>>8))
	b = append(b, body...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader returns the broker and the incarnation of a segment, and the bytes after its header.
func decodeHeader(b []byte) (name, incarnationID string, frames []byte, err error) {
	const bodyAt = len(segmentMagic) + headerLengthSize
	if len(b) < bodyAt+headerChecksumSize || string(b[:len(segmentMagic)]) != segmentMagic {
		return "", "", nil, ErrNotSegment
	}
	bodyEnd := bodyAt + int(binary.LittleEndian.Uint16(b[len(segmentMagic):]))
	if len(b) < bodyEnd+headerChecksumSize || crc32.Checksum(b[:bodyEnd], castagnoli) != binary.LittleEndian.Uint32(b[bodyEnd:]) {
		return "", "", nil, ErrDamagedHeader
	}
	decoder := NewDecoder()
	decoder.Reset(b[bodyAt:bodyEnd], 0)
	name = decoder.string()
	incarnationID = decoder.string()
	if decoder.malformed {
		return "", "", nil, ErrDamagedHeader
	}
	return name, incarnationID, b[bodyEnd+headerChecksumSize:], nil
}

// Part is a part of a segment: a frame, or damaged bytes at the segment's end.
type Part struct {
	Frame   Frame
	Damaged int  // number of unreadable bytes before Frame, or at the segment's end if Last is set
	Last    bool // Frame is not set: the part is the end of the segment
}

// DecodeSegment decodes a segment and calls visit for each part of it, in order. It returns the broker and the
// incarnation. The error is ErrNotSegment or ErrDamagedHeader; visit is not called then, as the broker of the frames is
// unknown.
func DecodeSegment(b []byte, visit func(Part)) (name, incarnationID string, err error) {
	name, incarnationID, rest, err := decodeHeader(b)
	if err != nil {
		return "", "", err
	}
	marker := binary.LittleEndian.AppendUint32(nil, frameMarker)
	damaged := 0
	for len(rest) > 0 {
		if frame, size := decodeFrame(rest); size > 0 {
			visit(Part{Frame: frame, Damaged: damaged})
			rest = rest[size:]
			damaged = 0
			continue
		}
		next := bytes.Index(rest[1:], marker)
		if next < 0 {
			damaged += len(rest)
			break
		}
		damaged += 1 + next
		rest = rest[1+next:]
	}
	if damaged > 0 {
		visit(Part{Damaged: damaged, Last: true})
	}
	return name, incarnationID, nil
}
