package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

// Names of the files. The names of logs and snapshots end with the number of their generation.
const (
	logPrefix         = "log-"
	snapshotPrefix    = "snap-"
	damagedPrefix     = "damaged-"
	temporarySnapshot = "new-snap"
)

// Magic values at the start of the files.
const (
	logMagic      = "PALOG\x00\x00\x01"
	snapshotMagic = "PASNAP\x00\x01"
)

// Sizes in bytes.
const (
	magicSize            = 8
	fileHeaderSize       = magicSize + 8 + 4 // magic, sequence number, checksum
	recordHeaderSize     = 4 + 4 + 8         // length, checksum, sequence number
	defaultMaxRecordSize = 64 << 20
)

// maxSequenceJump is the largest distance in sequence numbers at which the search of a damaged log accepts a later
// record. It keeps random bytes from being taken for the header of a record.
const maxSequenceJump = 1 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func logName(generation uint64) string {
	return logPrefix + strconv.FormatUint(generation, 10)
}

func snapshotName(generation uint64) string {
	return snapshotPrefix + strconv.FormatUint(generation, 10)
}

// generations returns, in ascending order, the generations of the files whose names have a prefix.
func generations(names []string, prefix string) []uint64 {
	var list []uint64
	for _, name := range names {
		number, found := strings.CutPrefix(name, prefix)
		if !found {
			continue
		}
		if generation, err := strconv.ParseUint(number, 10, 64); err == nil {
			list = append(list, generation)
		}
	}
	slices.Sort(list)
	return list
}

// encodeFile returns a file's header followed by a body. For a log the body is nil: its records are appended later.
func encodeFile(magic string, sequence uint64, body []byte) []byte {
	b := make([]byte, fileHeaderSize, fileHeaderSize+len(body))
	copy(b, magic)
	binary.LittleEndian.PutUint64(b[magicSize:], sequence)
	binary.LittleEndian.PutUint32(b[magicSize+8:], fileChecksum(b[magicSize:magicSize+8], body))
	return append(b, body...)
}

// fileChecksum returns the checksum in a file's header, which covers the encoded sequence number and the body.
func fileChecksum(sequence, body []byte) uint32 {
	return crc32.Checksum(body, castagnoli) ^ crc32.Checksum(sequence, castagnoli)
}

// decodeSnapshot returns the content of a snapshot and the sequence number of the last record that it covers.
func decodeSnapshot(b []byte) (body []byte, sequence uint64, err error) {
	if len(b) < fileHeaderSize || string(b[:magicSize]) != snapshotMagic {
		return nil, 0, errors.New("snapshot header is incomplete or has a wrong magic value")
	}
	encodedSequence := b[magicSize : magicSize+8]
	body = b[fileHeaderSize:]
	stored, computed := binary.LittleEndian.Uint32(b[magicSize+8:]), fileChecksum(encodedSequence, body)
	if stored != computed {
		return nil, 0, fmt.Errorf("snapshot checksum is %08x, content gives %08x", stored, computed)
	}
	return body, binary.LittleEndian.Uint64(encodedSequence), nil
}

// appendRecord appends the encoded form of a record to b.
func appendRecord(b []byte, sequence uint64, body []byte) []byte {
	var header [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(body)))
	binary.LittleEndian.PutUint64(header[8:], sequence)
	binary.LittleEndian.PutUint32(header[4:], recordChecksum(header[8:], body))
	b = append(b, header[:]...)
	return append(b, body...)
}

// recordChecksum returns the checksum in a record's header, which covers the encoded sequence number and the body.
func recordChecksum(sequence, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(sequence, castagnoli), castagnoli, body)
}

// decodedLog is the readable part of a log.
type decodedLog struct {
	records      [][]byte // contents of the records, which are slices of the file's bytes
	size         int64    // size of the readable part in bytes
	lastSequence uint64   // sequence number of the last readable record
	err          error    // why the rest cannot be read; nil if all of the file was read
}

// decodeLog reads a log whose first record must follow the one with sequence number lastSequence.
func decodeLog(b []byte, lastSequence uint64, maxRecordSize int) decodedLog {
	log := decodedLog{lastSequence: lastSequence}
	if len(b) < fileHeaderSize {
		log.err = fmt.Errorf("log header is incomplete: got %d of %d bytes", len(b), fileHeaderSize)
		return log
	}
	first := binary.LittleEndian.Uint64(b[magicSize:])
	if !bytes.Equal(b[:fileHeaderSize], encodeFile(logMagic, first, nil)) {
		log.err = errors.New("log header has a wrong magic value or checksum")
		return log
	}
	if first != lastSequence+1 {
		log.err = fmt.Errorf("log starts with record %d, expected record %d", first, lastSequence+1)
		return log
	}
	rest := b[fileHeaderSize:]
	log.size = fileHeaderSize
	for len(rest) > 0 {
		sequence, body, err := decodeRecord(rest, maxRecordSize)
		if err == nil && sequence != log.lastSequence+1 {
			err = fmt.Errorf("found record %d, expected record %d", sequence, log.lastSequence+1)
		}
		if err != nil {
			log.err = err
			return log
		}
		size := recordHeaderSize + len(body)
		log.records = append(log.records, body)
		log.size += int64(size)
		log.lastSequence++
		rest = rest[size:]
	}
	return log
}

// decodeRecord reads the record at the start of b.
func decodeRecord(b []byte, maxSize int) (sequence uint64, body []byte, err error) {
	if len(b) < recordHeaderSize {
		return 0, nil, fmt.Errorf("record header is incomplete: got %d of %d bytes", len(b), recordHeaderSize)
	}
	size := int(binary.LittleEndian.Uint32(b))
	if size == 0 || size > maxSize {
		return 0, nil, fmt.Errorf("record length is %d, expected 1 to %d", size, maxSize)
	}
	if len(b)-recordHeaderSize < size {
		return 0, nil, fmt.Errorf("record is incomplete: got %d of %d bytes", len(b)-recordHeaderSize, size)
	}
	body = b[recordHeaderSize : recordHeaderSize+size]
	stored, computed := binary.LittleEndian.Uint32(b[4:]), recordChecksum(b[8:recordHeaderSize], body)
	if stored != computed {
		return 0, nil, fmt.Errorf("record checksum is %08x, content gives %08x", stored, computed)
	}
	return binary.LittleEndian.Uint64(b[8:]), body, nil
}

// containsLaterRecord reports whether b contains a complete record with a sequence number above last.
func containsLaterRecord(b []byte, last uint64, maxRecordSize int) bool {
	for at := 1; at+recordHeaderSize < len(b); at++ {
		sequence := binary.LittleEndian.Uint64(b[at+8:])
		if sequence <= last || sequence > last+maxSequenceJump {
			continue
		}
		if _, _, err := decodeRecord(b[at:], maxRecordSize); err == nil {
			return true
		}
	}
	return false
}
