package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"

	"poppyarch/internal/timing/clock"
)

// A segment is a header and frames. Its header is the magic, the length of the body (2 bytes, little-endian), the body
// (broker, incarnation, number of the first frame) and the checksum of all that. A frame is a header of fixed size and its
// events. It begins with a mark, so that readers find the next frame behind damage.
const (
	segmentMagic = "PASEG\x00\x00\x01"
	frameMark    = 0xA7C3F05B

	// Offsets in a frame's header. The checksum covers what follows it.
	frameLengthAt   = 4
	frameChecksumAt = 8
	frameSeqAt      = 12
	frameTimeAt     = 20
	frameNowAt      = 28
	frameHeaderSize = 36

	maxFrameBytes = 16 << 20
)

// Errors of a segment's header.
var (
	ErrNotSegment    = errors.New("not a segment")
	ErrDamagedHeader = errors.New("its header cannot be read")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Frame is a batch of events.
type Frame struct {
	Seq       uint64       // from 1, over all segments of an incarnation
	BaseTime  clock.Micros // the events' times count from here
	WrittenAt clock.Micros // time of writing
	Events    []byte       // encoded
}

// Append encodes the frame and appends it to b.
func (f *Frame) Append(b []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMark)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.Events)))
	b = append(b, 0, 0, 0, 0) // the checksum
	b = binary.LittleEndian.AppendUint64(b, f.Seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(f.BaseTime))
	b = binary.LittleEndian.AppendUint64(b, uint64(f.WrittenAt))
	b = append(b, f.Events...)
	binary.LittleEndian.PutUint32(b[start+frameChecksumAt:], crc32.Checksum(b[start+frameSeqAt:], castagnoli))
	return b
}

// decodeFrame decodes the frame at the start of b and returns its size; 0 if there is no complete one.
func decodeFrame(b []byte) (frame Frame, size int) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b) != frameMark {
		return Frame{}, 0
	}
	length := int(binary.LittleEndian.Uint32(b[frameLengthAt:]))
	size = frameHeaderSize + length
	if length > maxFrameBytes || len(b) < size {
		return Frame{}, 0
	}
	if crc32.Checksum(b[frameSeqAt:size], castagnoli) != binary.LittleEndian.Uint32(b[frameChecksumAt:]) {
		return Frame{}, 0
	}
	frame = Frame{
		Seq:       binary.LittleEndian.Uint64(b[frameSeqAt:]),
		BaseTime:  clock.Micros(binary.LittleEndian.Uint64(b[frameTimeAt:])),
		WrittenAt: clock.Micros(binary.LittleEndian.Uint64(b[frameNowAt:])),
		Events:    b[frameHeaderSize:size],
	}
	return frame, size
}

// Sizes in a segment's header, in bytes.
const (
	headerLengthSize   = 2
	headerChecksumSize = 4
)

// SegmentHeader returns the header of a segment file.
func SegmentHeader(name, boot string, first uint64) []byte {
	var body []byte
	body = appendString(body, name)
	body = appendString(body, boot)
	body = binary.AppendUvarint(body, first)
	b := append([]byte(segmentMagic), byte(len(body)), byte(len(body)>>8))
	b = append(b, body...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader returns the broker and the incarnation of a segment, and what follows its header.
func decodeHeader(b []byte) (name, boot string, frames []byte, err error) {
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
	boot = decoder.string()
	if decoder.malformed {
		return "", "", nil, ErrDamagedHeader
	}
	return name, boot, b[bodyEnd+headerChecksumSize:], nil
}

// Part is a part of a segment: a frame, or damage at the segment's end.
type Part struct {
	Frame   Frame
	Damaged int  // unreadable bytes before Frame, or with Last at the end
	Last    bool // there is no Frame
}

// DecodeSegment decodes a segment and calls visit for each part of it, in order. It returns the broker and the incarnation. The
// error is ErrNotSegment or ErrDamagedHeader; the frames of such a file belong to nobody.
func DecodeSegment(b []byte, visit func(Part)) (name, boot string, err error) {
	name, boot, rest, err := decodeHeader(b)
	if err != nil {
		return "", "", err
	}
	mark := binary.LittleEndian.AppendUint32(nil, frameMark)
	damaged := 0
	for len(rest) > 0 {
		if frame, size := decodeFrame(rest); size > 0 {
			visit(Part{Frame: frame, Damaged: damaged})
			rest = rest[size:]
			damaged = 0
			continue
		}
		next := bytes.Index(rest[1:], mark)
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
	return name, boot, nil
}
