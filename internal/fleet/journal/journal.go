// Package journal keeps records on disk so that they survive the death of their process at any point. A record counts
// once Append has returned; Open gives back what counts, in order, and says what it found wrong.
//
// A generation G is a snapshot snap-G and the log log-G of what came after it. Compaction writes the next generation
// beside the last one and switches by a rename; the generation before is kept, so that a damaged snapshot can be
// done without.
package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"sort"
	"strconv"
	"strings"
)

// What may go wrong beyond the file system's own errors.
var (
	// ErrBroken says that an earlier write failed in a way that leaves open what is on disk: nothing more is written
	// until the journal is opened anew.
	ErrBroken = errors.New("journal: broken by an earlier failure, to be opened anew")
	// ErrDamaged says that records in the middle cannot be read. Report tells which.
	ErrDamaged = errors.New("journal: damaged")
	// ErrLocked says that another process has it open.
	ErrLocked = errors.New("journal: in use by another process")
	// ErrRecordSize says that a record is over the bound.
	ErrRecordSize = errors.New("journal: record too long")
)

// File is what the journal needs of a file that is appended to.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is what it needs of its folder. Names are plain file names.
type FS interface {
	Create(name string) (File, error) // empty, for writing
	Append(name string) (File, error) // writes go to its end
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error
}

// Options bounds a journal.
type Options struct {
	MaxRecordBytes int  // bytes of one record; 0: 64 MiB
	AcceptDamage   bool // open though records in the middle are lost
}

// RecoveryReport tells what Open found.
type RecoveryReport struct {
	Generation uint64   `json:"generation"`
	Records    int      `json:"records"`           // after the snapshot
	TornBytes  int      `json:"torn,omitempty"`    // bytes of an unfinished last record, cut off
	Damaged    []Damage `json:"damaged,omitempty"` // what cannot be read
}

// Damage is one place that cannot be read.
type Damage struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	Bytes  int64  `json:"bytes"`
	KeptAs string `json:"kept,omitempty"` // the file that has them now
	Reason string `json:"text"`
}

// Journal is an open journal. Not safe for use by several goroutines.
type Journal struct {
	fs     FS
	opt    Options
	gen    uint64
	log    File
	size   int64 // of the log, up to the last record that counts
	seq    uint64
	broken error
	buf    []byte
}

const (
	logMagic  = "PALOG\x00\x00\x01"
	snapMagic = "PASNAP\x00\x01"
	headSize  = 8 + 8 + 4 // magic, number of the first record, sum
	recHead   = 4 + 4 + 8 // length, sum, number
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Contents is what a journal held.
type Contents struct {
	Snapshot []byte // nil: none
	Records  [][]byte
	Report   RecoveryReport
}

// Open reads what there is and makes the journal ready for appending.
func Open(fs FS, opt Options) (*Journal, *Contents, error) {
	if opt.MaxRecordBytes == 0 {
		opt.MaxRecordBytes = 64 << 20
	}
	names, err := fs.List()
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	snaps, logs := numbered(names, "snap-"), numbered(names, "log-")
	j := &Journal{fs: fs, opt: opt}
	out := &Contents{}
	// The newest snapshot that can be read, and every log from its generation on.
	first := uint64(0)
	for k := len(snaps) - 1; k >= 0; k-- {
		name := "snap-" + strconv.FormatUint(snaps[k], 10)
		text, seq, err := readSnapshot(fs, name)
		if err == nil {
			first, j.seq = snaps[k], seq
			if len(text) > 0 {
				out.Snapshot = text
			}
			break
		}
		out.Report.Damaged = append(out.Report.Damaged, Damage{File: name, Reason: err.Error()})
		if k == 0 && len(logs) > 0 && logs[0] > 0 {
			return nil, out, fmt.Errorf("%w: no snapshot can be read: %v", ErrDamaged, err)
		}
	}
	newest := first
	if n := len(snaps); n > 0 {
		newest = snaps[n-1]
	}
	lost := false
	for _, g := range logs {
		if g < first {
			continue
		}
		if g > newest { // of a compaction that did not come to its end
			if err := fs.Remove(logName(g)); err != nil {
				return nil, nil, fmt.Errorf("journal: %w", err)
			}
			continue
		}
		last := g == newest
		if lost { // behind a gap, nothing can be joined on
			out.Report.Damaged = append(out.Report.Damaged, Damage{File: logName(g), Reason: "stands behind damage"})
			continue
		}
		ok, err := j.read(g, last, out)
		if err != nil {
			return nil, out, err
		}
		lost = lost || !ok
	}
	out.Report.Records = len(out.Records)
	if lost && !opt.AcceptDamage {
		return nil, out, fmt.Errorf("%w: %+v", ErrDamaged, out.Report.Damaged)
	}
	if lost || len(out.Report.Damaged) > 0 {
		// Start a generation of its own, so that nothing is appended to files in doubt. The caller's next
		// compaction gives it its snapshot; until then the old files are all still there.
		if err := j.fresh(newest+1, out); err != nil {
			return nil, out, err
		}
		out.Report.Generation = j.gen
		return j, out, nil
	}
	j.gen = newest
	out.Report.Generation = newest
	if j.log == nil {
		if err := j.create(newest); err != nil {
			return nil, nil, err
		}
	}
	return j, out, nil
}

func logName(g uint64) string  { return "log-" + strconv.FormatUint(g, 10) }
func snapName(g uint64) string { return "snap-" + strconv.FormatUint(g, 10) }

func numbered(names []string, prefix string) (out []uint64) {
	for _, n := range names {
		if rest, ok := strings.CutPrefix(n, prefix); ok {
			if g, err := strconv.ParseUint(rest, 10, 64); err == nil {
				out = append(out, g)
			}
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a] < out[b] })
	return out
}

// readSnapshot returns a snapshot and the number of the last record in it.
func readSnapshot(fs FS, name string) (text []byte, seq uint64, err error) {
	b, err := fs.ReadFile(name)
	if err != nil {
		return nil, 0, err
	}
	if len(b) < headSize || string(b[:8]) != snapMagic {
		return nil, 0, errors.New("not a snapshot")
	}
	if crc32.Checksum(b[20:], castagnoli)^crc32.Checksum(b[8:16], castagnoli) != binary.LittleEndian.Uint32(b[16:20]) {
		return nil, 0, errors.New("its sum is wrong")
	}
	return b[20:], binary.LittleEndian.Uint64(b[8:16]), nil
}

func head(magic string, seq uint64, body []byte) []byte {
	b := make([]byte, headSize, headSize+len(body))
	copy(b, magic)
	binary.LittleEndian.PutUint64(b[8:], seq)
	binary.LittleEndian.PutUint32(b[16:], crc32.Checksum(body, castagnoli)^crc32.Checksum(b[8:16], castagnoli))
	return append(b, body...)
}

// parse splits a log. It returns the records, the offset up to which all is well, and what is wrong there.
func parse(b []byte, seq uint64, most int) (records [][]byte, good int64, next uint64, bad string) {
	if len(b) < headSize || string(b[:8]) != logMagic || !bytes.Equal(b[:headSize], head(logMagic, binary.LittleEndian.Uint64(b[8:16]), nil)) {
		return nil, 0, seq, "no head"
	}
	if first := binary.LittleEndian.Uint64(b[8:16]); first != seq+1 {
		return nil, 0, seq, fmt.Sprintf("begins with record %d, %d expected", first, seq+1)
	}
	at := headSize
	for at < len(b) {
		n, text := record(b[at:], seq+1, most)
		if text != "" {
			return records, int64(at), seq, text
		}
		records = append(records, b[at+recHead:at+n])
		at += n
		seq++
	}
	return records, int64(at), seq, ""
}

// record checks the record at the start of b and returns its length.
func record(b []byte, want uint64, most int) (int, string) {
	if len(b) < recHead {
		return 0, "ends within a record's head"
	}
	n := int(binary.LittleEndian.Uint32(b))
	seq := binary.LittleEndian.Uint64(b[8:])
	switch {
	case n == 0 || n > most:
		return 0, "length out of bounds"
	case len(b) < recHead+n:
		return 0, "ends within a record"
	case crc32.Checksum(b[8:recHead+n], castagnoli) != binary.LittleEndian.Uint32(b[4:]):
		return 0, "its sum is wrong"
	case want > 0 && seq != want:
		return 0, fmt.Sprintf("record %d, %d expected", seq, want)
	}
	return recHead + n, ""
}

// whole reports whether a whole record with a later number stands anywhere in b: then b is no torn tail.
func whole(b []byte, after uint64, most int) bool {
	for at := 1; at+recHead < len(b); at++ {
		if s := binary.LittleEndian.Uint64(b[at+8:]); s <= after || s > after+1<<20 {
			continue
		}
		if n, text := record(b[at:], 0, most); text == "" && n > 0 {
			return true
		}
	}
	return false
}

// read takes in one log. It reports whether all of it could be read. last is the log that is appended to.
func (j *Journal) read(g uint64, last bool, out *Contents) (bool, error) {
	name := logName(g)
	b, err := j.fs.ReadFile(name)
	if err != nil {
		return false, fmt.Errorf("journal: %w", err)
	}
	records, good, seq, bad := parse(b, j.seq, j.opt.MaxRecordBytes)
	for _, r := range records {
		out.Records = append(out.Records, bytes.Clone(r))
	}
	j.seq = seq
	rest := b[good:]
	torn := bad != "" && last && (good > 0 || len(b) < headSize) && !whole(rest, seq, j.opt.MaxRecordBytes)
	if bad != "" && !torn {
		out.Report.Damaged = append(out.Report.Damaged, Damage{File: name, Offset: good, Bytes: int64(len(rest)), Reason: bad})
		return false, nil
	}
	if !last {
		return true, nil
	}
	if bad != "" {
		out.Report.TornBytes = len(rest)
	}
	if good == 0 { // it died before its head was whole
		return true, j.create(g)
	}
	if j.log, err = j.fs.Append(name); err != nil {
		return false, fmt.Errorf("journal: %w", err)
	}
	j.size = good
	if torn {
		if err := j.log.Truncate(good); err != nil {
			return false, fmt.Errorf("journal: cut %s at %d: %w", name, good, err)
		}
		if err := j.log.Sync(); err != nil {
			return false, fmt.Errorf("journal: %w", err)
		}
	}
	return true, nil
}

// create begins the log of a generation.
func (j *Journal) create(g uint64) error {
	f, err := j.fs.Create(logName(g))
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	h := head(logMagic, j.seq+1, nil)
	if _, err := f.Write(h); err != nil {
		f.Close()
		return fmt.Errorf("journal: %w", err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.fs.SyncDir(); err != nil {
		f.Close()
		return fmt.Errorf("journal: %w", err)
	}
	j.gen, j.log, j.size = g, f, int64(len(h))
	return nil
}

// fresh sets files in doubt aside and writes what could be read as a generation of its own: what was a snapshot and
// records becomes the same snapshot and the same records, in files without damage.
func (j *Journal) fresh(g uint64, out *Contents) error {
	base := j.seq - uint64(len(out.Records))
	for k := range out.Report.Damaged {
		d := &out.Report.Damaged[k]
		d.KeptAs = "damaged-" + d.File
		if err := j.fs.Rename(d.File, d.KeptAs); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	seq := j.seq
	j.seq = base
	if err := j.create(g); err != nil {
		return err
	}
	if len(out.Records) > 0 {
		if err := j.Append(out.Records...); err != nil {
			return err
		}
	}
	if j.seq != seq {
		return fmt.Errorf("journal: %d records written, %d expected", j.seq, seq)
	}
	return j.install(g, out.Snapshot, base) // an empty one too: a log counts only with its snapshot
}

// Append writes records and returns when they are on disk; then, and only then, they count. After an error none of
// them counts. A full disk leaves the journal as it was, and a later Append may succeed.
func (j *Journal) Append(records ...[]byte) error {
	if j.broken != nil {
		return j.broken
	}
	j.buf = j.buf[:0]
	for k, r := range records {
		if len(r) == 0 || len(r) > j.opt.MaxRecordBytes {
			return fmt.Errorf("%w: %d bytes", ErrRecordSize, len(r))
		}
		var h [recHead]byte
		binary.LittleEndian.PutUint32(h[:], uint32(len(r)))
		binary.LittleEndian.PutUint64(h[8:], j.seq+uint64(k)+1)
		sum := crc32.Update(crc32.Checksum(h[8:], castagnoli), castagnoli, r)
		binary.LittleEndian.PutUint32(h[4:], sum)
		j.buf = append(append(j.buf, h[:]...), r...)
	}
	n, err := j.log.Write(j.buf)
	if err == nil && n < len(j.buf) {
		err = errors.New("short write")
	}
	if err != nil {
		// Not one byte of it may stay: what follows would stand behind half a record.
		if cut := j.log.Truncate(j.size); cut != nil {
			j.broken = fmt.Errorf("%w: %v, and then: %v", ErrBroken, err, cut)
		}
		return fmt.Errorf("journal: %w", err)
	}
	if err := j.log.Sync(); err != nil {
		// What is on disk is unknown now, and asking again does not tell: the kernel may have dropped the pages.
		j.broken = fmt.Errorf("%w: %v", ErrBroken, err)
		return fmt.Errorf("journal: %w", err)
	}
	j.size += int64(len(j.buf))
	j.seq += uint64(len(records))
	return nil
}

// Compact replaces everything so far by a snapshot of it. When it fails the journal goes on as it was.
func (j *Journal) Compact(snapshot []byte) error {
	if j.broken != nil {
		return j.broken
	}
	old := *j
	g := j.gen + 1
	if err := j.create(g); err != nil {
		j.gen, j.log, j.size = old.gen, old.log, old.size
		j.fs.Remove(logName(g)) // what is left of it is removed by the next Open as well
		return err
	}
	if err := j.install(g, snapshot, j.seq); err != nil {
		// Whether the rename has come to be is unknown; if so, records must go to the new log, else to the old one.
		j.broken = fmt.Errorf("%w: %v", ErrBroken, err)
		return err
	}
	old.log.Close()
	names, err := j.fs.List()
	if err != nil {
		return nil // only tidying is left
	}
	for _, k := range numbered(names, "snap-") {
		if k+1 < g {
			j.fs.Remove(snapName(k))
		}
	}
	for _, k := range numbered(names, "log-") {
		if k+1 < g {
			j.fs.Remove(logName(k))
		}
	}
	return nil
}

// install puts a snapshot in its place.
func (j *Journal) install(g uint64, snapshot []byte, seq uint64) error {
	f, err := j.fs.Create("new-snap")
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if _, err = f.Write(head(snapMagic, seq, snapshot)); err == nil {
		err = f.Sync()
	}
	if cl := f.Close(); err == nil {
		err = cl
	}
	if err == nil {
		err = j.fs.Rename("new-snap", snapName(g))
	}
	if err == nil {
		err = j.fs.SyncDir()
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Size is the log's length in bytes; it starts small after each compaction.
func (j *Journal) Size() int64 { return j.size }

// LastSequence is the number of the last record that counts.
func (j *Journal) LastSequence() uint64 { return j.seq }

// Err is why nothing more can be written, or nil.
func (j *Journal) Err() error { return j.broken }

// Close ends it. Everything that counts is on disk already.
func (j *Journal) Close() error { return j.log.Close() }

// IsRetryable reports whether an error is that of a full disk, after which the journal is as it was.
func IsRetryable(err error) bool {
	return errors.Is(err, errNoSpace) || errors.Is(err, os.ErrPermission)
}
