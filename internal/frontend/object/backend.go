package object

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"poppyarch/internal/backend/objectstore"
	"poppyarch/internal/broker/core"
	"poppyarch/internal/broker/decision"
	"poppyarch/internal/broker/dispatcher"
	"poppyarch/internal/timing/clock"
)

// requestHeaders are forwarded to the object server, in addition to the object's metadata.
var requestHeaders = []string{
	"Range", "If-Range", "If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Content-Type",
	"Content-Md5", "Content-Encoding", "Content-Language", "Content-Disposition", "Cache-Control", "Expires",
}

// responseHeaders are forwarded to the client, in addition to the object's metadata.
var responseHeaders = []string{
	"Content-Type", "Content-Range", "Content-Encoding", "Content-Language", "Content-Disposition", "Etag",
	"Last-Modified", "Accept-Ranges", "Cache-Control", "Expires", "Vary",
}

// copyHeaders copies the named headers and the headers of the object's metadata.
func copyHeaders(dst, src http.Header, names []string) {
	for _, name := range names {
		if values := src.Values(name); len(values) > 0 {
			dst[name] = values
		}
	}
	for name, values := range src {
		if strings.HasPrefix(name, "X-Amz-Meta-") || strings.HasPrefix(name, "X-Amz-Checksum-") {
			dst[name] = values
		}
	}
}

// backendRequest returns the request of the given class that the broker forwards to an object server.
func (x *exchange) backendRequest(class, shard int, method, query string, deadline clock.Micros) core.Request[*objectstore.Request] {
	cfg := x.server.cfg
	header := http.Header{}
	copyHeaders(header, x.r.Header, requestHeaders)
	if !isValidRange(header.Get("Range")) {
		header.Del("Range")
	}
	plan, ok := cfg.Object.BucketPlans[x.bucket]
	if !ok {
		plan = cfg.Object.DefaultPlan
	}
	path := url.URL{Path: "/" + x.bucket + "/" + x.key}
	return core.Request[*objectstore.Request]{
		RequestInfo: dispatcher.RequestInfo{
			Class:    class,
			Plan:     cfg.PlanIndex(plan),
			Volume:   x.bucket,
			Key:      x.key,
			Units:    x.units(),
			Shard:    shard,
			Brokers:  cfg.Policy.Brokers,
			Deadline: deadline,
		},
		NotIdempotent:      cfg.Policy.Classes[class].Idempotency == decision.NotIdempotent,
		ClientDisconnected: clientDisconnected(x.r.Context()),
		Work: &objectstore.Request{
			Method: method,
			Target: path.EscapedPath() + query,
			Header: header,
			Body:   x.body,
		},
	}
}

// isValidRange reports whether a Range header is well-formed. RFC 9110 requires servers to ignore a malformed one, but
// not all object servers do so.
func isValidRange(header string) bool {
	ranges, ok := strings.CutPrefix(header, "bytes=")
	if !ok {
		return false
	}
	for _, r := range strings.Split(ranges, ",") {
		if !isValidByteRange(strings.Trim(r, " \t")) {
			return false
		}
	}
	return true
}

// isValidByteRange reports whether s has the form FIRST-LAST, FIRST- or -LENGTH.
func isValidByteRange(s string) bool {
	firstText, lastText, ok := strings.Cut(s, "-")
	if !ok || firstText == "" && lastText == "" {
		return false
	}
	first, firstErr := strconv.ParseUint(firstText, 10, 63)
	last, lastErr := strconv.ParseUint(lastText, 10, 63)
	switch {
	case firstText == "":
		return lastErr == nil
	case lastText == "":
		return firstErr == nil
	}
	return firstErr == nil && lastErr == nil && first <= last
}

// units returns the size of a request in units. It is the size of the request's body, or of its range if the request
// has a single one. The size of a complete object is not known before it is read; such a request counts as one unit.
func (x *exchange) units() float64 {
	size := int64(len(x.body))
	if size == 0 {
		size = rangeLength(x.r.Header.Get("Range"))
	}
	unitBytes := x.server.cfg.Object.UnitBytes
	units := float64((size + unitBytes - 1) / unitBytes)
	if maxUnits := x.server.cfg.Policy.MaxUnits; maxUnits > 0 {
		units = min(units, maxUnits)
	}
	return max(units, 1)
}

// rangeLength returns the length in bytes of a Range header's single range, or 0 if the length is not known.
func rangeLength(header string) int64 {
	r, ok := strings.CutPrefix(header, "bytes=")
	if !ok {
		return 0
	}
	firstText, lastText, _ := strings.Cut(r, "-")
	first, firstErr := strconv.ParseInt(firstText, 10, 64)
	last, lastErr := strconv.ParseInt(lastText, 10, 64)
	switch {
	case firstErr == nil && lastErr == nil && last >= first:
		return last - first + 1
	case firstText == "" && lastErr == nil:
		return last
	}
	return 0
}
