package object

import (
	"encoding/xml"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/timing/clock"
)

// create opens an upload at the object's node. Its id names the node's shard from then on.
func (x *exchange) create(class int) error {
	shard := x.shard()
	res, err := x.ask(x.request(class, shard, http.MethodPost, "?uploads", x.due))
	if err != nil {
		return err
	}
	var out created
	if res.Status != http.StatusOK {
		return x.answer(res)
	}
	if xml.Unmarshal(res.Body, &out) != nil || out.UploadID == "" {
		return errInternal
	}
	out.XMLName, out.Xmlns = xml.Name{}, xmlns
	out.Bucket, out.Key, out.UploadID = x.bucket, x.key, uploadID(shard, out.UploadID)
	return x.document(res, out)
}

// document answers with a document of this front's.
func (x *exchange) document(res *objectstore.Response, v any) error {
	b, err := marshal(v)
	if err != nil {
		return errInternal
	}
	res.Body = b
	res.Header = http.Header{"Content-Type": {"application/xml"}}
	return x.answer(res)
}

// part stores one part.
func (x *exchange) part(class int, q url.Values) error {
	shard, own, err := parseUpload(q.Get("uploadId"), x.cfg.Object.Shards)
	if err != nil {
		return err
	}
	n, bad := strconv.Atoi(q.Get("partNumber"))
	if bad != nil || n < 1 || n > x.lim.MaxParts {
		return errPartNumber
	}
	return x.put(class, shard, "?partNumber="+strconv.Itoa(n)+"&uploadId="+url.QueryEscape(own))
}

// list shows the parts that an upload has.
func (x *exchange) list(class int, q url.Values) error {
	shard, own, err := parseUpload(q.Get("uploadId"), x.cfg.Object.Shards)
	if err != nil {
		return err
	}
	pass := url.Values{"uploadId": {own}}
	for name, v := range q {
		switch name {
		case "uploadId":
		case "max-parts", "part-number-marker":
			if n, err := strconv.Atoi(v[0]); err != nil || n < 0 {
				return errPartNumber
			}
			pass.Set(name, v[0])
		default:
			return errNotImplemented
		}
	}
	res, err := x.ask(x.request(class, shard, http.MethodGet, "?"+pass.Encode(), x.due))
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return x.answer(res)
	}
	var out parts
	if xml.Unmarshal(res.Body, &out) != nil {
		return errInternal
	}
	out.XMLName, out.Xmlns = xml.Name{}, xmlns
	out.Bucket, out.Key, out.UploadID = x.bucket, x.key, q.Get("uploadId")
	return x.document(res, out)
}

// complete makes the object of its parts, at most once. The call is never sent a second time once it may have
// run. Where its end is unclear, or the upload is gone because an earlier call completed it, a safe request reads
// back whether the object is the one that these parts make: its entity tag says so.
func (x *exchange) complete(class int, q url.Values) error {
	shard, own, err := parseUpload(q.Get("uploadId"), x.cfg.Object.Shards)
	if err != nil {
		return err
	}
	if err := x.readBody(x.lim.MaxCompletionBytes); err != nil {
		return err
	}
	want, err := parseCompletion(x.body, x.lim.MaxParts)
	if err != nil {
		return err
	}
	// Some of the client's time is kept for the reading back.
	due := x.due - min(x.lim.ReadBackTime, (x.due-x.clock.Now())/3)
	res, err := x.ask(x.request(class, shard, http.MethodPost, "?uploadId="+url.QueryEscape(own), due))
	if err == nil && res.Status != http.StatusNotFound {
		return x.answer(res)
	}
	if err == errSlowDown || want == "" {
		if err == nil {
			return x.answer(res)
		}
		return err // nothing ran, or nothing to compare with
	}
	for {
		head := x.request(x.cfg.Class(x.cfg.Object.Read), shard, http.MethodHead, "", x.due)
		head.Work.Header, head.Work.Body = http.Header{}, nil
		state, seen := x.ask(head)
		if seen == nil && state.Status == http.StatusOK && state.Header.Get("ETag") == want {
			x.log.Info("object: completion confirmed by reading back", "bucket", x.bucket, "key", x.key, "request", x.id)
			x.w.Header().Del("Retry-After")
			state.Status = http.StatusOK
			return x.document(state, completed{Xmlns: xmlns, Location: "/" + x.bucket + "/" + x.key, Bucket: x.bucket,
				Key: x.key, ETag: want})
		}
		if err == nil { // the upload is gone and the object is not the one that these parts make
			return x.answer(res)
		}
		// It may still be running at the node.
		if x.clock.Now()+x.lim.ReadBackInterval >= x.due {
			x.w.Header().Del("Retry-After") // it is not known to be harmless
			return err
		}
		select {
		case <-x.r.Context().Done():
			return err
		case <-time.After(clock.Duration(x.lim.ReadBackInterval)):
		}
	}
}
