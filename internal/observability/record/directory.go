package record

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const segmentExtension = ".seg"

// Directory is a sink that writes segment files to a directory and bounds their total size. The broker's oldest files
// are deleted first, including those of earlier incarnations.
type Directory struct {
	path            string
	name            string // name of the broker
	incarnationID   string // ID of the incarnation
	maxSegmentBytes int64
	maxTotalBytes   int64

	file   *os.File // the segment being written; nil before the first frame
	size   int64    // size of file in bytes
	number int      // sequence number of file
	failed bool     // the last write failed: the next frame goes to a new file
	buffer []byte   // encoding buffer, reused between frames
}

// NewDirectory returns a sink that writes to the directory path, which it creates if necessary. maxSegmentBytes is the
// size of a segment from which on the next one is started; maxTotalBytes bounds the size of all segments of the broker.
func NewDirectory(path, name, incarnationID string, maxSegmentBytes, maxTotalBytes int64) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Directory{path: path, name: name, incarnationID: incarnationID, maxSegmentBytes: maxSegmentBytes, maxTotalBytes: maxTotalBytes}, nil
}

// Write appends a frame.
func (d *Directory) Write(f *Frame) error {
	if d.file == nil || d.failed || d.size >= d.maxSegmentBytes {
		if err := d.startSegment(f.Seq); err != nil {
			return err
		}
	}
	d.buffer = f.Append(d.buffer[:0])
	n, err := d.file.Write(d.buffer)
	d.size += int64(n)
	if err != nil {
		// The file ends with part of a frame, which readers skip.
		d.failed = true
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// Close closes the current segment.
func (d *Directory) Close() error {
	if d.file == nil {
		return nil
	}
	return d.file.Close()
}

// startSegment starts a new segment, after deleting old ones if the total size would exceed its bound.
func (d *Directory) startSegment(firstFrame uint64) error {
	if d.file != nil {
		_ = d.file.Close() // frames lost by a failed close show as a gap in the frame numbers
		d.file = nil
	}
	d.deleteOldSegments()
	d.number++
	header := SegmentHeader(d.name, d.incarnationID, firstFrame)
	path := filepath.Join(d.path, fmt.Sprintf("%s-%s-%06d%s", d.name, d.incarnationID, d.number, segmentExtension))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if _, err := file.Write(header); err != nil {
		_ = file.Close() // the error of the write is the one to return
		_ = os.Remove(path)
		return fmt.Errorf("record: %w", err)
	}
	d.file = file
	d.size = int64(len(header))
	d.failed = false
	return nil
}

// segmentFile is a segment of this broker on disk.
type segmentFile struct {
	path     string
	size     int64
	modified time.Time
	number   int
}

// deleteOldSegments deletes this broker's oldest segments until another segment fits into the bound.
func (d *Directory) deleteOldSegments() {
	segments := d.listSegments()
	total := int64(0)
	for _, s := range segments {
		total += s.size
	}
	for _, s := range segments {
		if total+d.maxSegmentBytes <= d.maxTotalBytes {
			return
		}
		if os.Remove(s.path) == nil {
			total -= s.size
		}
	}
}

// listSegments returns this broker's segments, oldest first. Files whose metadata cannot be read are left out.
func (d *Directory) listSegments() []segmentFile {
	paths, err := filepath.Glob(filepath.Join(d.path, d.name+"-*"+segmentExtension))
	if err != nil {
		return nil // the name has no wildcards, so the pattern is valid
	}
	var segments []segmentFile
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			continue
		}
		suffix := strings.TrimSuffix(filepath.Base(path), segmentExtension)[len(d.name)+1:]
		_, number, ok := strings.Cut(suffix, "-")
		if !ok || strings.Contains(number, "-") {
			continue // a file of another broker whose name has this broker's name and a hyphen as its prefix
		}
		n, err := strconv.Atoi(number)
		if err != nil {
			n = 0
		}
		segments = append(segments, segmentFile{path: path, size: info.Size(), modified: info.ModTime(), number: n})
	}
	slices.SortFunc(segments, func(a, b segmentFile) int {
		if order := a.modified.Compare(b.modified); order != 0 {
			return order
		}
		return a.number - b.number
	})
	return segments
}
