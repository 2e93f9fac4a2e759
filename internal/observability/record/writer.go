package record

import (
	"time"

	"poppyarch/internal/timing/clock"
)

const (
	// incarnationInterval is the time between two copies of the Incarnation event. It is repeated because earlier
	// segments may have been deleted when the records are read.
	incarnationInterval clock.Micros = 5_000_000

	// summaryInterval is the time between two summaries.
	summaryInterval clock.Micros = 1_000_000

	// reportedVolumes is the maximum number of volumes in a summary.
	reportedVolumes = 16
)

// writer is the state of Run: the last frame number, the counts since the last summary, and the times of the last
// periodic events.
type writer struct {
	recorder *Recorder
	seq      uint64 // number of the last frame
	counts   counts // counts since the last summary

	lastHeartbeat   clock.Micros
	lastSummary     clock.Micros
	lastIncarnation clock.Micros

	unwritten *Lost // events of frames that the sink failed to write, not yet reported; nil if there are none
}

// Run writes frames, heartbeats and summaries until Close is called, and then closes the sink.
func (r *Recorder) Run() {
	defer close(r.done)
	defer func() { _ = r.sink.Close() }() // frames lost by a failed close show as a gap in the frame numbers
	ticker := time.NewTicker(r.options.FlushInterval)
	defer ticker.Stop()
	w := newWriter(r)
	for stopping := false; !stopping; {
		select {
		case <-ticker.C:
		case <-r.stop:
			stopping = true
		}
		w.flush(r.now(), stopping)
	}
}

// newWriter returns a writer after writing the first frame, which holds the Incarnation event.
func newWriter(r *Recorder) *writer {
	startedAt := r.now()
	r.incarnation.StartedAt = startedAt
	r.incarnation.WallClock = clock.Micros(time.Now().UnixMicro())
	w := &writer{recorder: r, lastHeartbeat: startedAt, lastSummary: startedAt, lastIncarnation: startedAt}
	w.counts.reset()
	event := Event{At: startedAt, Kind: KindIncarnation, Incarnation: &r.incarnation}
	w.writeOrCountLost(event.Append(nil, startedAt), startedAt, startedAt)
	return w
}

// flush writes the buffered events, the lost counts, and the heartbeat and the summary if they are due. With last set,
// both are written regardless of their intervals.
func (w *writer) flush(now clock.Micros, last bool) {
	w.writeBuffers(now)
	events := w.appendOverflow(nil, now)
	w.reportUnwritten(now)
	if now-w.lastHeartbeat >= clock.FromDuration(w.recorder.options.HeartbeatInterval) || last {
		events = w.appendHeartbeat(events, now)
	}
	if now-w.lastSummary >= summaryInterval || last {
		events = w.appendSummary(events, now)
	}
	if len(events) > 0 {
		w.writeOrCountLost(events, now, now)
	}
}

// writeBuffers writes each buffer as a separate frame, since the event times of a buffer are relative to its base.
func (w *writer) writeBuffers(now clock.Micros) {
	for i := range w.recorder.buffers {
		b := &w.recorder.buffers[i]
		b.mu.Lock()
		if len(b.events) > 0 {
			w.writeOrCountLost(b.events, b.base, now)
		}
		w.counts.merge(&b.counts)
		b.reset()
		b.mu.Unlock()
	}
}

// appendOverflow appends a Lost event if events did not fit into the buffers.
func (w *writer) appendOverflow(events []byte, now clock.Micros) []byte {
	lost := w.recorder.overflow.take()
	if lost == nil {
		return events
	}
	w.recorder.dropped.Add(lost.Events)
	event := Event{At: now, Kind: KindLost, Lost: lost}
	return event.Append(events, now)
}

// reportUnwritten writes a Lost event for the frames that the sink failed to write. If that fails too, it is tried
// again at the next flush.
func (w *writer) reportUnwritten(now clock.Micros) {
	if w.unwritten == nil {
		return
	}
	event := Event{At: now, Kind: KindLost, Lost: w.unwritten}
	if w.write(event.Append(nil, now), now) == nil {
		w.unwritten = nil
	}
}

func (w *writer) appendHeartbeat(events []byte, now clock.Micros) []byte {
	w.lastHeartbeat = now
	heartbeat := &Heartbeat{WallClock: clock.Micros(time.Now().UnixMicro())}
	w.recorder.fillHeartbeat(heartbeat)
	event := Event{At: now, Kind: KindHeartbeat, Heartbeat: heartbeat}
	events = event.Append(events, now)
	if now-w.lastIncarnation >= incarnationInterval {
		w.lastIncarnation = now
		repeated := Event{At: now, Kind: KindIncarnation, Incarnation: &w.recorder.incarnation}
		events = repeated.Append(events, now)
	}
	return events
}

func (w *writer) appendSummary(events []byte, now clock.Micros) []byte {
	summary := w.counts.summary(now - w.lastSummary)
	w.lastSummary = now
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
			Rejected:   volume.Extra[volumeRejected],
			Failed:     volume.Extra[volumeFailed],
			Late:       volume.Extra[volumeLate],
		})
	}
	return summary
}

// write writes events to the sink as a frame. A frame that the sink fails to write leaves a gap in the frame numbers.
func (w *writer) write(events []byte, base clock.Micros) error {
	w.seq++
	return w.recorder.sink.Write(&Frame{Seq: w.seq, BaseTime: base, WrittenAt: w.recorder.now(), Events: events})
}

// writeOrCountLost writes a frame. If the sink fails to write it, its events are counted as lost, to be reported later.
func (w *writer) writeOrCountLost(events []byte, base, now clock.Micros) {
	if w.write(events, base) == nil {
		return
	}
	if w.unwritten == nil {
		w.unwritten = &Lost{From: base, To: now, Reason: "disk"}
	}
	decoder := NewDecoder()
	decoder.Reset(events, base)
	var event Event
	for {
		more, err := decoder.Next(&event)
		if !more || err != nil { // events encoded by the recorder are never malformed
			return
		}
		w.unwritten.add(&event)
	}
}

// add counts an event that was not recorded.
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
