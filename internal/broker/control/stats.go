package control

import "poppyarch/internal/timing/clock"

// Stats counts what a broker did in a span of time. Durations are microseconds.
type Stats struct {
	Span     clock.Micros   `json:"span"`
	Requests []RequestStats `json:"groups"`
	Nodes    []NodeStats    `json:"nodes"`
	Volumes  []VolumeStats  `json:"volumes"`           // the most frequent ones
	Dropped  uint64         `json:"dropped,omitempty"` // records lost for want of buffer space, since the boot
}

// RequestStats counts the requests of one class and plan.
type RequestStats struct {
	Class    string       `json:"class"`
	Plan     string       `json:"plan"`
	Served   uint64       `json:"served"`
	Late     uint64       `json:"late"` // of the served, those that missed the latency objective
	Rejected uint64       `json:"refused"`
	Failed   uint64       `json:"failed"`
	P50      clock.Micros `json:"p50"`
	P99      clock.Micros `json:"p99"`
}

// VolumeStats counts the requests of one volume. Count may be too high by up to CountError.
type VolumeStats struct {
	Volume     string `json:"volume"`
	Count      uint64 `json:"count"`
	CountError uint64 `json:"error,omitempty"`
	Rejected   uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
	Late       uint64 `json:"late"`
}

// NodeStats counts the attempts sent to one storage node.
type NodeStats struct {
	Node     string       `json:"node"`
	Served   uint64       `json:"served"`
	TimedOut uint64       `json:"silent"`
	Other    uint64       `json:"other"` // attempts that ended in any other way
	P50      clock.Micros `json:"p50"`
	P99      clock.Micros `json:"p99"`
}
