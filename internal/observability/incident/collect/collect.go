// Package collect reads the record segments of brokers from directories, whether the brokers are running or not. It
// only reads, so it can be interrupted at any time.
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

// ReadReport counts what Read has read, and lists what it could not read.
type ReadReport struct {
	Files  int      `json:"files"`
	Bytes  int64    `json:"bytes"`
	Frames int      `json:"frames"`
	Copies int      `json:"copies"` // frames skipped because they had been read before
	Faults []string `json:"faults,omitempty"`
}

func (f *ReadReport) faultf(format string, args ...any) {
	f.Faults = append(f.Faults, fmt.Sprintf(format, args...))
}

// segment is a segment file.
type segment struct {
	path          string
	broker        string
	incarnationID string
	firstFrame    uint64 // number of the first readable frame; 0 if there is none
}

func compareSegments(a, b segment) int {
	return cmp.Or(
		cmp.Compare(a.broker, b.broker),
		cmp.Compare(a.incarnationID, b.incarnationID),
		cmp.Compare(a.firstFrame, b.firstFrame),
		cmp.Compare(a.path, b.path),
	)
}

// Read reads all segments under the paths, each of which is a directory or a segment file. Files and bytes that cannot
// be read are listed in ReadReport.Faults and skipped; an error means that a path cannot be accessed.
func Read(paths ...string) ([]*incident.Stream, *ReadReport, error) {
	report := &ReadReport{}
	files, err := findFiles(paths)
	if err != nil {
		return nil, report, err
	}
	// Headers are read first, then each incarnation in the order of its frames, so that only one file is in memory at a
	// time.
	segments := readHeaders(files, report)
	slices.SortFunc(segments, compareSegments)
	var streams []*incident.Stream
	for len(segments) > 0 {
		count := 1
		for count < len(segments) && segments[count].broker == segments[0].broker && segments[count].incarnationID == segments[0].incarnationID {
			count++
		}
		streams = append(streams, readIncarnation(segments[:count], report))
		segments = segments[count:]
	}
	slices.Sort(report.Faults)
	return streams, report, nil
}

// findFiles returns the paths that are files, and the segment files under those that are directories.
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
			return nil // continue even if this directory cannot be read
		})
		if err != nil {
			return nil, err
		}
	}
	return files, nil
}

// readHeaders reads the headers of the files and returns those that are segments.
func readHeaders(files []string, report *ReadReport) []segment {
	var segments []segment
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err != nil { // the file was removed in the meantime, or permission is missing
			report.faultf("%v", err)
			continue
		}
		s := segment{path: path}
		s.broker, s.incarnationID, err = record.DecodeSegment(b, func(p record.Part) {
			if !p.Last && s.firstFrame == 0 {
				s.firstFrame = p.Frame.Seq
			}
		})
		if err != nil {
			report.faultf("%s: %v", path, err)
			continue
		}
		segments = append(segments, s)
	}
	return segments
}

// DecodeStream decodes one segment, such as the contents of a broker's record.Ring.
func DecodeStream(b []byte) (*incident.Stream, error) {
	broker, incarnationID, err := record.DecodeSegment(b, func(record.Part) {})
	if err != nil {
		return nil, err
	}
	r := newIncarnationReader(broker, incarnationID, &ReadReport{})
	r.readSegment(b)
	return r.stream, nil
}

// readIncarnation reads the segments of one incarnation, which are in the order of their frames.
func readIncarnation(segments []segment, report *ReadReport) *incident.Stream {
	r := newIncarnationReader(segments[0].broker, segments[0].incarnationID, report)
	for _, s := range segments {
		b, err := os.ReadFile(s.path)
		if err != nil {
			report.faultf("%v", err)
			continue
		}
		report.Files++
		report.Bytes += int64(len(b))
		if damaged := r.readSegment(b); damaged > 0 {
			report.faultf("%s: %d bytes cannot be read", s.path, damaged)
		}
	}
	return r.stream
}

// incarnationReader adds the frames of one incarnation to its stream, each once.
type incarnationReader struct {
	stream  *incident.Stream
	report  *ReadReport
	decoder *record.Decoder
	seen    map[uint64]bool // numbers of the frames that have been read
}

func newIncarnationReader(broker, incarnationID string, report *ReadReport) *incarnationReader {
	return &incarnationReader{
		stream:  incident.NewStream(broker, incarnationID),
		report:  report,
		decoder: record.NewDecoder(),
		seen:    map[uint64]bool{},
	}
}

// readSegment reads a segment whose header is valid. It returns the number of bytes that could not be read.
func (r *incarnationReader) readSegment(b []byte) (damaged int) {
	lastSeq := uint64(0)                                    // last frame of this segment
	_, _, _ = record.DecodeSegment(b, func(p record.Part) { // readHeaders and Bytes have checked the header
		if p.Damaged > 0 {
			damaged += p.Damaged
			if lastSeq == 0 {
				lastSeq = r.stream.LastFrame()
			}
			r.stream.AddDamage(lastSeq, p.Damaged)
		}
		if p.Last {
			return
		}
		lastSeq = p.Frame.Seq
		if r.seen[lastSeq] {
			r.report.Copies++
			return
		}
		r.seen[lastSeq] = true
		r.readFrame(&p.Frame)
	})
	return damaged
}

// readFrame adds the events of a frame to the stream. A frame that cannot be decoded, such as one of an unknown
// version, counts as damaged.
func (r *incarnationReader) readFrame(frame *record.Frame) {
	r.decoder.Reset(frame.Events, frame.BaseTime)
	var event record.Event
	for {
		ok, err := r.decoder.Next(&event)
		if err != nil {
			r.report.faultf("%s boot %s frame %d: %v", r.stream.Name, r.stream.IncarnationID, frame.Seq, err)
			r.stream.AddDamage(frame.Seq-1, len(frame.Events))
			return
		}
		if !ok {
			r.report.Frames++
			r.stream.AddFrame(frame.Seq, frame.WrittenAt)
			return
		}
		r.stream.AddEvent(&event)
	}
}
