package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"poppyarch/internal/broker/control"
)

// newIncarnationID returns a random identifier of an incarnation, which is one run of a broker process.
func newIncarnationID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// startControl starts the control endpoint, which serves until ctx is done. rejectChanges makes it reject all further
// changes.
func (b *broker) startControl(ctx context.Context) (rejectChanges func(), err error) {
	id := newIncarnationID()
	if b.recording != nil {
		id = b.recording.incarnationID // the control endpoint and the records use the same ID
	}
	ln, err := control.Listen(b.cfg.Control.Listen)
	if err != nil {
		return nil, fmt.Errorf("control.listen: %w", err)
	}
	s := control.NewServer(b.cfg.Name, id, b.cfg.Control.StartDigest, b.state, b.log)
	if b.reloader != nil {
		s.SetHook(b.reloader.ControlHook)
	}
	b.recording.observeControl(s)
	s.HandleNodes(b.state.explainNodes, b.state.acceptRemovals)
	b.log.Info("control: listening", "addr", b.cfg.Control.Listen)
	b.background.Go(func() {
		if err := s.Serve(ctx, ln); err != nil {
			b.log.Error("control: server failed, no more changes are accepted", "err", err)
		}
	})
	return s.Drain, nil
}
