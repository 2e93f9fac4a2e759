package record

import (
	"time"

	"poppyarch/internal/timing/clock"
)

const (
	// bootInterval is how often the particulars of an incarnation are repeated: earlier segments may have
	// been deleted when somebody reads.
	bootInterval clock.Micros = 5_000_000

	// summaryInterval is the time between two summaries.
	summaryInterval clock.Micros = 1_000_000

	// reportedVolumes is how many of the most frequent volumes a summary has.
	reportedVolumes = 16
)

// writer is the state of Run: what has been written, and when. Times are the broker's clock in microseconds.
type writer struct {
	recorder *Recorder
	seq      uint64 // of the last frame
	counts   counts // since the last summary

	heartbeatAt clock.Micros
	summaryAt   clock.Micros
	bootAt      clock.Micros

	rejected *Lost // events of frames that the sink did not take, until it takes one again
}

// Run writes frames, heartbeats and summaries until Close. It closes the sink.
func (r *Recorder) Run() {
	defer close(r.done)
	defer func() { _ = r.sink.Close() }() // frames that are lost with it show as a gap in the numbers
	ticker := time.NewTicker(r.options.FlushInterval)
	defer ticker.Stop()
	w := newWriter(r)
	for stopping := false; !stopping; {
		select {
		case <-ticker.C:
		case <-r.stop:
			stopping = true
		}
		w.turn(r.now(), stopping)
	}
}

// newWriter writes the first frame, which has the particulars of the incarnation.
func newWriter(r *Recorder) *writer {
	began := r.now()
	r.boot.StartedAt = began
	r.boot.WallClock = clock.Micros(time.Now().UnixMicro())
	w := &writer{recorder: r, heartbeatAt: began, summaryAt: began, bootAt: began}
	w.counts.reset()
	boot := Event{At: began, Kind: KindIncarnation, Incarnation: &r.boot}
	w.writeOrRemember(boot.Append(nil, began), began, began)
	return w
}

// turn writes what has come since the last turn, and what is due; on the last one everything is due.
func (w *writer) turn(now clock.Micros, last bool) {
	w.writeBuffers(now)
	own := w.appendOverflow(nil, now)
	w.writeRejected(now)
	if now-w.heartbeatAt >= clock.FromDuration(w.recorder.options.HeartbeatInterval) || last {
		own = w.appendHeartbeat(own, now)
	}
	if now-w.summaryAt >= summaryInterval || last {
		own = w.appendSummary(own, now)
	}
	if len(own) > 0 {
		w.writeOrRemember(own, now, now)
	}
}

// writeBuffers writes each buffer as a frame of its own, since a buffer's events count from its own base.
func (w *writer) writeBuffers(now clock.Micros) {
	for i := range w.recorder.buffers {
		b := &w.recorder.buffers[i]
		b.mu.Lock()
		if len(b.events) > 0 {
			w.writeOrRemember(b.events, b.base, now)
		}
		w.counts.merge(&b.counts)
		b.reset()
		b.mu.Unlock()
	}
}

// appendOverflow encodes how many events found no space.
func (w *writer) appendOverflow(events []byte, now clock.Micros) []byte {
	lost := w.recorder.overflow.take()
	if lost == nil {
		return events
	}
	w.recorder.dropped.Add(lost.Events)
	event := Event{At: now, Kind: KindLost, Lost: lost}
	return event.Append(events, now)
}

// writeRejected reports the events that the sink did not take, once it takes a frame again.
func (w *writer) writeRejected(now clock.Micros) {
	if w.rejected == nil {
		return
	}
	event := Event{At: now, Kind: KindLost, Lost: w.rejected}
	if w.write(event.Append(nil, now), now) == nil {
		w.rejected = nil
	}
}

func (w *writer) appendHeartbeat(events []byte, now clock.Micros) []byte {
	w.heartbeatAt = now
	heartbeat := &Heartbeat{WallClock: clock.Micros(time.Now().UnixMicro())}
	w.recorder.levels(heartbeat)
	event := Event{At: now, Kind: KindHeartbeat, Heartbeat: heartbeat}
	events = event.Append(events, now)
	if now-w.bootAt >= bootInterval {
		w.bootAt = now
		boot := Event{At: now, Kind: KindIncarnation, Incarnation: &w.recorder.boot}
		events = boot.Append(events, now)
	}
	return events
}

func (w *writer) appendSummary(events []byte, now clock.Micros) []byte {
	summary := w.counts.summary(now - w.summaryAt)
	w.summaryAt = now
	w.counts.reset()
	w.recorder.latestMu.Lock()
	w.recorder.latest = summary
	w.recorder.latestMu.Unlock()
	if len(summary.Groups) == 0 && len(summary.Nodes) == 0 {
		return events
	}
	event := Event{At: now, Kind: KindSummary, Summary: summary}
	return event.Append(events, now)
}

func (c *counts) summary(span clock.Micros) *Summary {
	summary := &Summary{Span: span}
	for _, group := range c.groups {
		summary.Groups = append(summary.Groups, *group)
	}
	for _, node := range c.nodes {
		summary.Nodes = append(summary.Nodes, *node)
	}
	for _, volume := range c.volumes.List(reportedVolumes) {
		summary.Volumes = append(summary.Volumes, VolumeCount{
			Volume:     volume.Key,
			Count:      volume.Count,
			CountError: volume.Error,
			Rejected:   volume.Extra[volumeRefused],
			Failed:     volume.Extra[volumeFailed],
			Late:       volume.Extra[volumeLate],
		})
	}
	return summary
}

// write hands events to the sink as a frame. A frame that it does not take leaves a gap in the numbers.
func (w *writer) write(events []byte, base clock.Micros) error {
	w.seq++
	return w.recorder.sink.Write(&Frame{Seq: w.seq, BaseTime: base, WrittenAt: w.recorder.now(), Events: events})
}

// writeOrRemember writes a frame. If the sink does not take it, its events are counted for a later report.
func (w *writer) writeOrRemember(events []byte, base, now clock.Micros) {
	if w.write(events, base) == nil {
		return
	}
	if w.rejected == nil {
		w.rejected = &Lost{From: base, To: now, Reason: "disk"}
	}
	decoder := NewDecoder()
	decoder.Reset(events, base)
	var event Event
	for {
		more, err := decoder.Next(&event)
		if !more || err != nil { // the recorder's own encoding is never malformed
			return
		}
		w.rejected.add(&event)
	}
}

// add counts an event that was not kept.
func (l *Lost) add(event *Event) {
	if event.Kind == KindLost {
		l.Events += event.Lost.Events
		l.Requests += event.Lost.Requests
		l.From = min(l.From, event.Lost.From)
		return
	}
	l.Events++
	if event.Kind == KindRequest {
		l.Requests++
	}
	l.From = min(l.From, event.At)
	l.To = max(l.To, event.At)
}
