package config

import "cmp"

const (
	defaultSegmentBytes      = 8 << 20
	defaultTotalBytes        = 256 << 20
	defaultRingBytes         = 8 << 20
	minRecordBytes           = 64 << 10
	defaultFlushIntervalMS   = 50
	maxFlushIntervalMS       = 10_000
	defaultRecordHeartbeatMS = 500
	maxRecordHeartbeatMS     = 60_000
	defaultSampleFraction    = 1.0
	minSegmentsOfDiskRecord  = 2
)

// Recording configures the recorder.
type Recording struct {
	Dir             string  `json:"dir"`           // directory of the segments; empty for a ring buffer in memory
	SampleFraction  float64 `json:"sample"`        // fraction of requests recorded individually; all are counted; default 1
	SegmentBytes    int64   `json:"segment_bytes"` // default 8 MiB
	TotalBytes      int64   `json:"total_bytes"`   // limit of all segments (default 256 MiB) or of the ring (default 8 MiB)
	FlushIntervalMS int64   `json:"flush_ms"`      // default 50
	HeartbeatMS     int64   `json:"beat_ms"`       // default 500
}

// check validates the recorder's keys and fills in defaults.
func (r *Recording) check() error {
	inMemory := r.Dir == ""
	total := int64(defaultTotalBytes)
	if inMemory {
		total = defaultRingBytes
	}
	r.SampleFraction = cmp.Or(r.SampleFraction, defaultSampleFraction)
	r.SegmentBytes = cmp.Or(r.SegmentBytes, defaultSegmentBytes)
	r.TotalBytes = cmp.Or(r.TotalBytes, total)
	r.FlushIntervalMS = cmp.Or(r.FlushIntervalMS, defaultFlushIntervalMS)
	r.HeartbeatMS = cmp.Or(r.HeartbeatMS, defaultRecordHeartbeatMS)
	switch {
	case !(r.SampleFraction > 0 && r.SampleFraction <= 1): // also NaN
		return keyErrorf("sample", "%v is not above 0 and at most 1", r.SampleFraction)
	case r.SegmentBytes < minRecordBytes:
		return keyErrorf("segment_bytes", "%d is below the minimum of %d", r.SegmentBytes, minRecordBytes)
	case r.TotalBytes < minSegmentsOfDiskRecord*r.SegmentBytes && !inMemory:
		return keyErrorf("total_bytes", "%d is less than two segments of %d bytes", r.TotalBytes, r.SegmentBytes)
	case r.TotalBytes < minRecordBytes:
		return keyErrorf("total_bytes", "%d is below the minimum of %d", r.TotalBytes, minRecordBytes)
	case r.FlushIntervalMS < 1 || r.FlushIntervalMS > maxFlushIntervalMS:
		return keyErrorf("flush_ms", "%d is not between 1 and %d", r.FlushIntervalMS, maxFlushIntervalMS)
	case r.HeartbeatMS < r.FlushIntervalMS || r.HeartbeatMS > maxRecordHeartbeatMS:
		return keyErrorf("beat_ms", "%d is not between flush_ms (%d) and %d", r.HeartbeatMS, r.FlushIntervalMS, maxRecordHeartbeatMS)
	}
	return nil
}
