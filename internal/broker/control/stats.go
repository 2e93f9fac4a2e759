package control

import "poppyarch/internal/timing/clock"

// Stats are the statistics of a broker over a time span. Durations are in microseconds.
type Stats struct {
	Span     clock.Micros   `json:"span"`
	Requests []RequestStats `json:"groups"`
	Nodes    []NodeStats    `json:"nodes"`
	Volumes  []VolumeStats  `json:"volumes"`           // those with the most requests
	Dropped  uint64         `json:"dropped,omitempty"` // records dropped since the boot because the buffer was full
}

// RequestStats counts the requests of one class and plan.
type RequestStats struct {
	Class    string       `json:"class"`
	Plan     string       `json:"plan"`
	Served   uint64       `json:"served"`
	Late     uint64       `json:"late"` // served requests that missed the latency objective
	Rejected uint64       `json:"refused"`
	Failed   uint64       `json:"failed"`
	P50      clock.Micros `json:"p50"`
	P99      clock.Micros `json:"p99"`
}

// VolumeStats counts the requests of one volume. Count is an estimate that is too high by at most CountError.
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
