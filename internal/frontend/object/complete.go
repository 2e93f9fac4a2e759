package object

import (
	"errors"
	"net/http"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/timing/clock"
)

// completeUpload creates the object from the parts of an upload. The request is not resent once it may have been
// executed. If its result is unknown, or the upload does not exist any more because an earlier request has completed
// it, the object is read back: its entity tag shows whether it was created from these parts.
func (x *exchange) completeUpload() error {
	upload, err := x.uploadID()
	if err != nil {
		return err
	}
	if err := x.readBody(x.server.lim.MaxCompletionBytes); err != nil {
		return err
	}
	wantETag, err := parseCompletion(x.body, x.server.lim.MaxParts)
	if err != nil {
		return err
	}
	// A part of the time until the answer is due is reserved for reading back.
	now := x.server.clock.Now()
	due := x.answerDue()
	deadline := due - min(x.server.lim.ReadBackTime, (due-now)/3)
	resp, err := x.forward(x.backendRequest(x.class, upload.shard, http.MethodPost, "?"+upload.nodeQuery(), deadline))
	switch {
	case err == nil && resp.Status != http.StatusNotFound:
		return x.writeResponse(resp)
	case errors.Is(err, errSlowDown), errors.Is(err, errDraining): // nothing was executed
		return err
	case wantETag != "":
		return x.readBackCompletion(upload.shard, wantETag, resp, err)
	case err != nil:
		return err
	}
	return x.writeResponse(resp)
}

// readBackCompletion checks whether the object has the entity tag that the completion gives it. The completion has
// ended with resp if the upload was not found, or else with completionErr. In that case it may still be in progress at
// the node, and the check is repeated until the answer is due.
func (x *exchange) readBackCompletion(shard int, wantETag string, resp *objectstore.Response, completionErr error) error {
	s := x.server
	for {
		if object, ok := x.readBack(shard, wantETag); ok {
			s.log.Info("upload completion confirmed by reading the object back",
				"bucket", x.bucket, "key", x.key, "request", x.id)
			return x.writeDocument(object, completeUploadResult{
				Xmlns:    xmlNamespace,
				Location: "/" + x.bucket + "/" + x.key,
				Bucket:   x.bucket,
				Key:      x.key,
				ETag:     wantETag,
			})
		}
		if completionErr == nil { // the upload does not exist, and the object was not created from these parts
			return x.writeResponse(resp)
		}
		if !x.awaitNextReadBack() {
			return completionErr
		}
	}
}

// awaitNextReadBack waits until the object may be read back again. It returns false if there is no time for that before the
// answer is due, or if the client has left.
func (x *exchange) awaitNextReadBack() bool {
	s := x.server
	if s.clock.Now()+s.lim.ReadBackInterval >= x.answerDue() {
		return false
	}
	select {
	case <-x.r.Context().Done():
		return false
	case <-s.base.Done(): // the end of a drain that has begun meanwhile
		return false
	case <-time.After(clock.Duration(s.lim.ReadBackInterval)):
		return true
	}
}

// readBack requests the object's header and reports whether the object exists and has the entity tag.
func (x *exchange) readBack(shard int, wantETag string) (*objectstore.Response, bool) {
	defer x.w.Header().Del("Retry-After") // that of a read: a retry of the completion may not be safe
	cfg := x.server.cfg
	readClass := cfg.ClassIndex(cfg.Object.ReadClass)
	req := x.backendRequest(readClass, shard, http.MethodHead, "", x.answerDue())
	req.Work.Header = http.Header{}
	req.Work.Body = nil
	resp, err := x.forward(req)
	if err != nil || resp.Status != http.StatusOK {
		return nil, false
	}
	return resp, resp.Header.Get("ETag") == wantETag
}
