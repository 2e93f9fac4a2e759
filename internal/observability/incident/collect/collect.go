// Package collect reads brokers' record segments from folders, of running brokers as well as of dead ones. It can be
// interrupted at any time; it writes nothing.
package collect

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/record"
)

// segmentExtension is the extension of segment files.
const segmentExtension = ".seg"

// Found counts what was read.
type Found struct {
	Files  int      `json:"files"`
	Bytes  int64    `json:"bytes"`
	Frames int      `json:"frames"`
	Copies int      `json:"copies"` // frames that had been read before
	Faults []string `json:"faults,omitempty"`
}

func (f *Found) faultf(format string, args ...any) {
	f.Faults = append(f.Faults, fmt.Sprintf(format, args...))
}

// segment is a segment file.
type segment struct {
	path       string
	broker     string
	boot       string
	firstFrame uint64 // number of the first frame that can be read; 0: none
}

func compareSegments(a, b segment) int {
	return cmp.Or(
		cmp.Compare(a.broker, b.broker),
		cmp.Compare(a.boot, b.boot),
		cmp.Compare(a.firstFrame, b.firstFrame),
		cmp.Compare(a.path, b.path),
	)
}

// Read reads all segments under the paths, each a folder or a single segment. What cannot be read is reported in Found and
// skipped; an error means that a path does not exist.
func Read(paths ...string) ([]*incident.Stream, *Found, error) {
	found := &Found{}
	files, err := findFiles(paths)
	if err != nil {
		return nil, found, err
	}
	// Headers first, then boot by boot in the order of the frames: one file is in memory at a time.
	segments := readHeaders(files, found)
	slices.SortFunc(segments, compareSegments)
	var streams []*incident.Stream
	for len(segments) > 0 {
		count := 1
		for count < len(segments) && segments[count].broker == segments[0].broker && segments[count].boot == segments[0].boot {
			count++
		}
		streams = append(streams, readBoot(segments[:count], found))
		segments = segments[count:]
	}
	slices.Sort(found.Faults)
	return streams, found, nil
}

// findFiles returns the paths that are files, and the segments under those that are folders.
func findFiles(paths []string) ([]string, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		err = filepath.WalkDir(p, func(path string, entry os.DirEntry, err error) error {
			if err == nil && !entry.IsDir() && filepath.Ext(path) == segmentExtension {
				files = append(files, path)
			}
			return nil // the other folders are read even if this one cannot be
		})
		if err != nil {
			return nil, err
		}
	}
	return files, nil
}

// readHeaders returns the segments among the files.
func readHeaders(files []string, found *Found) []segment {
	var segments []segment
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err != nil { // removed meanwhile, or without permission
			found.faultf("%v", err)
			continue
		}
		s := segment{path: path}
		s.broker, s.boot, err = record.DecodeSegment(b, func(p record.Part) {
			if !p.Last && s.firstFrame == 0 {
				s.firstFrame = p.Frame.Seq
			}
		})
		if err != nil {
			found.faultf("%s: %v", path, err)
			continue
		}
		segments = append(segments, s)
	}
	return segments
}

// Bytes reads one segment, such as a broker's ring in memory.
func Bytes(b []byte) (*incident.Stream, error) {
	broker, boot, err := record.DecodeSegment(b, func(record.Part) {})
	if err != nil {
		return nil, err
	}
	r := newBootReader(broker, boot, &Found{})
	r.readSegment(b)
	return r.stream, nil
}

// readBoot reads the segments of one boot.
func readBoot(segments []segment, found *Found) *incident.Stream {
	r := newBootReader(segments[0].broker, segments[0].boot, found)
	for _, s := range segments {
		b, err := os.ReadFile(s.path)
		if err != nil {
			found.faultf("%v", err)
			continue
		}
		found.Files++
		found.Bytes += int64(len(b))
		if damaged := r.readSegment(b); damaged > 0 {
			found.faultf("%s: %d bytes cannot be read", s.path, damaged)
		}
	}
	return r.stream
}

// bootReader passes the frames of one boot to its stream, each once.
type bootReader struct {
	stream  *incident.Stream
	found   *Found
	decoder *record.Decoder
	seen    map[uint64]bool // numbers of frames that have been read
}

func newBootReader(broker, boot string, found *Found) *bootReader {
	return &bootReader{
		stream:  incident.NewStream(broker, boot),
		found:   found,
		decoder: record.NewDecoder(),
		seen:    map[uint64]bool{},
	}
}

// readSegment reads a segment whose header is valid. It returns the number of bytes that cannot be read.
func (r *bootReader) readSegment(b []byte) (damaged int) {
	previous := uint64(0)                                   // frame of this segment
	_, _, _ = record.DecodeSegment(b, func(p record.Part) { // readHeaders and Bytes have checked the error
		if p.Damaged > 0 {
			damaged += p.Damaged
			if previous == 0 {
				previous = r.stream.LastFrame()
			}
			r.stream.AddDamage(previous, p.Damaged)
		}
		if p.Last {
			return
		}
		previous = p.Frame.Seq
		if r.seen[previous] {
			r.found.Copies++
			return
		}
		r.seen[previous] = true
		r.readFrame(&p.Frame)
	})
	return damaged
}

// readFrame passes the events of a frame to the stream. A frame that cannot be decoded, as one of another version, counts as
// damaged.
func (r *bootReader) readFrame(frame *record.Frame) {
	r.decoder.Reset(frame.Events, frame.BaseTime)
	var event record.Event
	for {
		ok, err := r.decoder.Next(&event)
		if err != nil {
			r.found.faultf("%s boot %s frame %d: %v", r.stream.Name, r.stream.BootID, frame.Seq, err)
			r.stream.AddDamage(frame.Seq-1, len(frame.Events))
			return
		}
		if !ok {
			r.found.Frames++
			r.stream.AddFrame(frame.Seq, frame.WrittenAt)
			return
		}
		r.stream.AddEvent(&event)
	}
}
