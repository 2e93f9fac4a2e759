// Package collect reads brokers' segments from folders: of brokers that live and of dead ones, while they are written and
// after. It may be killed and started again at any time; it keeps nothing.
package collect

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/record"
)

// Found tells what was read.
type Found struct {
	Files  int      `json:"files"`
	Bytes  int64    `json:"bytes"`
	Frames int      `json:"frames"`
	Copies int      `json:"copies"` // frames that were there twice
	Faults []string `json:"faults,omitempty"`
}

// segment is a file that holds one.
type segment struct {
	path       string
	name, boot string
	first      uint64 // number of its first whole frame
}

// Read reads all segments under the folders; a path may also be a single segment. What cannot be read is told and skipped.
func Read(paths ...string) ([]*incident.Stream, *Found, error) {
	found := &Found{}
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, found, err
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		err = filepath.WalkDir(p, func(path string, d os.DirEntry, err error) error {
			if err == nil && !d.IsDir() && filepath.Ext(path) == ".seg" {
				files = append(files, path)
			}
			return nil // a folder that cannot be read is no reason to read none
		})
		if err != nil {
			return nil, found, err
		}
	}
	// First who wrote what, from where on; then boot by boot in the order of the frames, one file in memory at a time.
	var segs []segment
	for _, path := range files {
		b, err := os.ReadFile(path)
		if err != nil {
			found.Faults = append(found.Faults, err.Error()) // removed meanwhile, or not ours
			continue
		}
		s := segment{path: path}
		s.name, s.boot, err = record.DecodeSegment(b, func(p record.Part) {
			if !p.Last && s.first == 0 {
				s.first = p.Frame.Seq
			}
		})
		if err != nil {
			found.Faults = append(found.Faults, fmt.Sprintf("%s: %v", path, err))
			continue
		}
		segs = append(segs, s)
	}
	sort.Slice(segs, func(a, b int) bool {
		x, y := segs[a], segs[b]
		return cmp.Or(cmp.Compare(x.name, y.name), cmp.Compare(x.boot, y.boot), cmp.Compare(x.first, y.first), cmp.Compare(x.path, y.path)) < 0
	})
	var out []*incident.Stream
	for i := 0; i < len(segs); {
		j := i
		for j < len(segs) && segs[j].name == segs[i].name && segs[j].boot == segs[i].boot {
			j++
		}
		out = append(out, boot(segs[i:j], found))
		i = j
	}
	slices.Sort(found.Faults)
	return out, found, nil
}

// Bytes reads one segment at hand, such as a broker's ring.
func Bytes(b []byte) (*incident.Stream, error) {
	found := &Found{}
	var s *incident.Stream
	name, boot, err := record.DecodeSegment(b, func(record.Part) {})
	if err != nil {
		return nil, err
	}
	s = incident.NewStream(name, boot)
	feed(s, b, map[uint64]bool{}, found)
	return s, nil
}

// boot reads one boot's segments.
func boot(segs []segment, found *Found) *incident.Stream {
	s := incident.NewStream(segs[0].name, segs[0].boot)
	seen := map[uint64]bool{}
	for _, seg := range segs {
		b, err := os.ReadFile(seg.path)
		if err != nil {
			found.Faults = append(found.Faults, err.Error())
			continue
		}
		found.Files++
		found.Bytes += int64(len(b))
		if n := feed(s, b, seen, found); n > 0 {
			found.Faults = append(found.Faults, fmt.Sprintf("%s: %d bytes cannot be read", seg.path, n))
		}
	}
	return s
}

// feed gives a segment's frames to a stream, each once. It returns how many bytes could not be read.
func feed(s *incident.Stream, b []byte, seen map[uint64]bool, found *Found) (bad int) {
	d := record.NewDecoder()
	var e record.Event
	last := uint64(0)
	_, _, _ = record.DecodeSegment(b, func(p record.Part) {
		if p.Damaged > 0 {
			bad += p.Damaged
			if last == 0 {
				last = s.LastFrame()
			}
			s.AddDamage(last, p.Damaged)
		}
		if p.Last {
			return
		}
		last = p.Frame.Seq
		if seen[last] {
			found.Copies++
			return
		}
		seen[last] = true
		d.Reset(p.Frame.Events, p.Frame.BaseTime)
		for {
			ok, err := d.Next(&e)
			if err != nil { // whole, and yet not to be read: of another version
				found.Faults = append(found.Faults, fmt.Sprintf("%s boot %s frame %d: %v", s.Name, s.BootID, last, err))
				s.AddDamage(last-1, len(p.Frame.Events)) // it is not there, as far as what is known goes
				return
			}
			if !ok {
				found.Frames++
				s.AddFrame(last, p.Frame.WrittenAt)
				return
			}
			s.AddEvent(&e)
		}
	})
	return bad
}
