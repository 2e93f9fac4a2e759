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

// Directory is a sink of segment files whose total size is bounded. The oldest files of the folder are deleted first, those of
// earlier incarnations included.
type Directory struct {
	path            string
	name            string // of the broker
	boot            string // of the incarnation
	maxSegmentBytes int64
	maxTotalBytes   int64

	file    *os.File // the segment being written; nil before the first
	size    int64    // of file
	number  int      // of file
	failed  bool     // the last write was incomplete: continue in a new file
	encoded []byte   // reused
}

// NewDirectory returns a sink in a folder, which it creates. Sizes are bytes of one segment and of all.
func NewDirectory(path, name, boot string, maxSegmentBytes, maxTotalBytes int64) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	return &Directory{path: path, name: name, boot: boot, maxSegmentBytes: maxSegmentBytes, maxTotalBytes: maxTotalBytes}, nil
}

// Write appends a frame.
func (d *Directory) Write(f *Frame) error {
	if d.file == nil || d.failed || d.size >= d.maxSegmentBytes {
		if err := d.startSegment(f.Seq); err != nil {
			return err
		}
	}
	d.encoded = f.Append(d.encoded[:0])
	n, err := d.file.Write(d.encoded)
	d.size += int64(n)
	if err != nil {
		// The file ends with part of a frame, which readers skip.
		d.failed = true
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// Close ends the segment.
func (d *Directory) Close() error {
	if d.file == nil {
		return nil
	}
	return d.file.Close()
}

// startSegment begins a new segment and deletes old ones if there is no space for it.
func (d *Directory) startSegment(firstFrame uint64) error {
	if d.file != nil {
		_ = d.file.Close() // frames that are lost with it show as a gap in the numbers
		d.file = nil
	}
	d.deleteOldSegments()
	d.number++
	head := SegmentHeader(d.name, d.boot, firstFrame)
	path := filepath.Join(d.path, fmt.Sprintf("%s-%s-%06d%s", d.name, d.boot, d.number, segmentExtension))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	if _, err := file.Write(head); err != nil {
		_ = file.Close() // the error of the write is returned
		_ = os.Remove(path)
		return fmt.Errorf("record: %w", err)
	}
	d.file = file
	d.size = int64(len(head))
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

// deleteOldSegments deletes this broker's oldest segments until another one fits.
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

// listSegments returns this broker's segments, oldest first. Files that cannot be looked at are left out.
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
			continue // another broker's, whose name begins like this one's
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
