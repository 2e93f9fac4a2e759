package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

// A segment is a head and frames. A frame begins with frameMark, so that the next one is found behind damage.
const (
	segMagic  = "PASEG\x00\x00\x01"
	frameMark = 0xA7C3F05B
	// mark, length, sum, running number, base of the times, clock
	frameHead = 4 + 4 + 4 + 8 + 8 + 8
	maxFrame  = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Frame is one batch of events. Seq runs on over all segments of a boot, from 1.
type Frame struct {
	Seq    uint64
	At     int64 // on the broker's clock; event times count from it
	Now    int64 // on the broker's clock, when it was written
	Events []byte
}

// Append writes the frame.
func (f *Frame) Append(b []byte) []byte {
	at := len(b)
	b = binary.LittleEndian.AppendUint32(b, frameMark)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.Events)))
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, f.Seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(f.At))
	b = binary.LittleEndian.AppendUint64(b, uint64(f.Now))
	b = append(b, f.Events...)
	binary.LittleEndian.PutUint32(b[at+8:], crc32.Checksum(b[at+12:], castagnoli))
	return b
}

// parseFrame reads the frame at the start of b and returns its length; 0: there is no whole one.
func parseFrame(b []byte) (f Frame, n int) {
	if len(b) < frameHead || binary.LittleEndian.Uint32(b) != frameMark {
		return f, 0
	}
	size := int(binary.LittleEndian.Uint32(b[4:]))
	if size > maxFrame || len(b) < frameHead+size {
		return f, 0
	}
	n = frameHead + size
	if crc32.Checksum(b[12:n], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return f, 0
	}
	return Frame{Seq: binary.LittleEndian.Uint64(b[12:]), At: int64(binary.LittleEndian.Uint64(b[20:])),
		Now: int64(binary.LittleEndian.Uint64(b[28:])), Events: b[frameHead:n]}, n
}

// SegmentHead opens a segment file.
func SegmentHead(name, boot string, first uint64) []byte {
	var body []byte
	body = text(text(body, name), boot)
	body = binary.AppendUvarint(body, first)
	b := append([]byte(segMagic), byte(len(body)), byte(len(body)>>8))
	b = append(b, body...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// Part is what a segment holds, in order: frames, and places that cannot be read between them.
type Part struct {
	Frame   Frame
	Damaged int // bytes before Frame that cannot be read; with Last, at the end
	Last    bool
}

// Segment reads a segment's head and calls f for each part of it. A head that cannot be read is an error; the frames
// of such a file are not trusted to be anybody's.
func Segment(b []byte, f func(Part)) (name, boot string, err error) {
	if len(b) < len(segMagic)+6 || string(b[:len(segMagic)]) != segMagic {
		return "", "", errors.New("not a segment")
	}
	n := int(b[8]) | int(b[9])<<8
	if len(b) < 14+n || crc32.Checksum(b[:10+n], castagnoli) != binary.LittleEndian.Uint32(b[10+n:]) {
		return "", "", errors.New("its head cannot be read")
	}
	d := NewDecoder()
	d.Reset(b[10:10+n], 0)
	if name, boot = d.s(), d.s(); d.bad {
		return "", "", errors.New("its head cannot be read")
	}
	rest := b[14+n:]
	var mark [4]byte
	binary.LittleEndian.PutUint32(mark[:], frameMark)
	skipped := 0
	for len(rest) > 0 {
		if fr, size := parseFrame(rest); size > 0 {
			f(Part{Frame: fr, Damaged: skipped})
			rest, skipped = rest[size:], 0
			continue
		}
		k := bytes.Index(rest[1:], mark[:])
		if k < 0 {
			skipped += len(rest)
			break
		}
		rest = rest[1+k:]
		skipped += 1 + k
	}
	if skipped > 0 {
		f(Part{Damaged: skipped, Last: true})
	}
	return name, boot, nil
}

// Sink takes frames. An error says that the frame is not kept.
type Sink interface {
	Write(f *Frame) error
	Close() error
}

// Dir is a sink of segment files, bounded in total size. The oldest files of the folder go first, those of earlier
// boots included.
type Dir struct {
	path       string
	name, boot string
	most       int64 // bytes of one segment
	total      int64 // bytes of all
	file       *os.File
	size       int64
	n          int
	buf        []byte
	failed     bool // the last write did not come to its end: go on in a new file
}

// NewDir returns a sink in a folder, which it makes.
func NewDir(path, name, boot string, segment, total int64) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Dir{path: path, name: name, boot: boot, most: segment, total: total}, nil
}

// Write appends a frame.
func (d *Dir) Write(f *Frame) error {
	if d.file == nil || d.failed || d.size >= d.most {
		if err := d.next(f.Seq); err != nil {
			return err
		}
	}
	d.buf = f.Append(d.buf[:0])
	n, err := d.file.Write(d.buf)
	d.size += int64(n)
	if err != nil {
		// What is there of it is half a frame, which a reader skips.
		d.failed = true
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// next begins a new segment and makes room for it.
func (d *Dir) next(first uint64) error {
	if d.file != nil {
		_ = d.file.Close() // its frames were written; the next segment tells what is missing
		d.file = nil
	}
	d.tidy()
	d.n++
	head := SegmentHead(d.name, d.boot, first)
	f, err := os.OpenFile(filepath.Join(d.path, fmt.Sprintf("%s-%s-%06d.seg", d.name, d.boot, d.n)), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if _, err := f.Write(head); err != nil {
		_ = f.Close() // the error that counts is returned
		_ = os.Remove(f.Name())
		return fmt.Errorf("record: %w", err)
	}
	d.file, d.size, d.failed = f, int64(len(head)), false
	return nil
}

// tidy removes the oldest segments of this broker while a further one would not fit.
func (d *Dir) tidy() {
	type file struct {
		path string
		size int64
		at   int64
		n    int
	}
	var all []file
	var sum int64
	paths, _ := filepath.Glob(filepath.Join(d.path, d.name+"-*.seg"))
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			continue
		}
		base := strings.TrimSuffix(filepath.Base(p), ".seg")
		if strings.Count(base[len(d.name)+1:], "-") != 1 {
			continue // another broker's, whose name begins like this one's
		}
		n, _ := strconv.Atoi(base[strings.LastIndexByte(base, '-')+1:])
		all = append(all, file{p, info.Size(), info.ModTime().UnixNano(), n})
		sum += info.Size()
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].at != all[b].at {
			return all[a].at < all[b].at
		}
		return all[a].n < all[b].n
	})
	for _, f := range all {
		if sum+d.most <= d.total {
			break
		}
		if os.Remove(f.path) == nil {
			sum -= f.size
		}
	}
}

// Close ends the segment.
func (d *Dir) Close() error {
	if d.file == nil {
		return nil
	}
	return d.file.Close()
}
