package object

import (
	"encoding/xml"
	"net/http"
	"net/url"
	"strconv"
)

// Names of query parameters in the API.
const (
	queryUploadID   = "uploadId"
	queryPartNumber = "partNumber"
)

// operation is an operation of the API.
type operation uint8

const (
	opUnknownMethod operation = iota
	opUnknownQuery
	opGetOrDeleteObject // GET, HEAD and DELETE of an object
	opPutObject
	opCreateUpload
	opUploadPart
	opCompleteUpload
	opAbortUpload
	opListParts
)

// routes lists the operations that have a fixed set of query parameters.
var routes = []struct {
	method string
	query  []string
	op     operation
}{
	{http.MethodGet, nil, opGetOrDeleteObject},
	{http.MethodHead, nil, opGetOrDeleteObject},
	{http.MethodDelete, nil, opGetOrDeleteObject},
	{http.MethodPut, nil, opPutObject},
	{http.MethodPost, []string{"uploads"}, opCreateUpload},
	{http.MethodPut, []string{queryPartNumber, queryUploadID}, opUploadPart},
	{http.MethodPost, []string{queryUploadID}, opCompleteUpload},
	{http.MethodDelete, []string{queryUploadID}, opAbortUpload},
}

// operationOf returns the operation of a method and a query.
func operationOf(method string, query url.Values) operation {
	for i := range routes {
		if routes[i].method == method && hasExactly(query, routes[i].query) {
			return routes[i].op
		}
	}
	switch {
	case method == http.MethodGet && query.Has(queryUploadID):
		return opListParts
	case len(query) > 0:
		return opUnknownQuery
	}
	return opUnknownMethod
}

// hasExactly reports whether a query has exactly the named parameters.
func hasExactly(query url.Values, names []string) bool {
	for _, name := range names {
		if !query.Has(name) {
			return false
		}
	}
	return len(query) == len(names)
}

// execute executes an operation and writes its response.
func (x *exchange) execute(op operation) error {
	switch op {
	case opGetOrDeleteObject:
		return x.getOrDelete(x.shard(), "")
	case opPutObject:
		return x.put(x.shard(), "")
	case opCreateUpload:
		return x.createUpload()
	case opUploadPart:
		return x.uploadPart()
	case opCompleteUpload:
		return x.completeUpload()
	case opAbortUpload:
		return x.abortUpload()
	case opListParts:
		return x.listParts()
	case opUnknownQuery:
		return errNotImplemented
	}
	return errMethodNotAllowed
}

// getOrDelete forwards a GET, HEAD or DELETE request with the given query, and the response to it.
func (x *exchange) getOrDelete(shard int, query string) error {
	req := x.backendRequest(x.class, shard, x.r.Method, query, x.deadline)
	if x.r.Method == http.MethodGet && query == "" {
		req.Work.Stream = x.startStream
	}
	resp, err := x.forward(req)
	if err != nil {
		return err
	}
	return x.writeResponse(resp)
}

// put stores an object, or a part of an upload if the query names one. The body is read completely before the request
// is passed to the broker, so that no node waits for a slow client and every attempt has the complete body.
func (x *exchange) put(shard int, query string) error {
	if err := x.readBody(x.server.lim.MaxObjectBytes); err != nil {
		return err
	}
	resp, err := x.forward(x.backendRequest(x.class, shard, http.MethodPut, query, x.deadline))
	if err != nil {
		return err
	}
	return x.writeResponse(resp)
}

// createUpload creates an upload at the object's storage node. The upload id that the client gets contains the node's
// shard.
func (x *exchange) createUpload() error {
	shard := x.shard()
	resp, err := x.forward(x.backendRequest(x.class, shard, http.MethodPost, "?uploads", x.deadline))
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return x.writeResponse(resp)
	}
	var result createUploadResult
	if xml.Unmarshal(resp.Body, &result) != nil || result.UploadID == "" {
		return errInternal
	}
	result.XMLName = xml.Name{}
	result.Xmlns = xmlNamespace
	result.Bucket = x.bucket
	result.Key = x.key
	result.UploadID = uploadID{shard: shard, nodeID: result.UploadID}.String()
	return x.writeDocument(resp, result)
}

// uploadPart stores one part of an upload.
func (x *exchange) uploadPart() error {
	upload, err := x.uploadID()
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(x.query.Get(queryPartNumber))
	if err != nil || number < 1 || number > x.server.lim.MaxParts {
		return errInvalidPartNumber
	}
	return x.put(upload.shard, "?"+queryPartNumber+"="+strconv.Itoa(number)+"&"+upload.nodeQuery())
}

// abortUpload deletes an upload.
func (x *exchange) abortUpload() error {
	upload, err := x.uploadID()
	if err != nil {
		return err
	}
	return x.getOrDelete(upload.shard, "?"+upload.nodeQuery())
}

// listParts lists the parts of an upload.
func (x *exchange) listParts() error {
	upload, err := x.uploadID()
	if err != nil {
		return err
	}
	query, err := listPartsQuery(x.query, upload)
	if err != nil {
		return err
	}
	resp, err := x.forward(x.backendRequest(x.class, upload.shard, http.MethodGet, "?"+query.Encode(), x.deadline))
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return x.writeResponse(resp)
	}
	var result listPartsResult
	if xml.Unmarshal(resp.Body, &result) != nil {
		return errInternal
	}
	result.XMLName = xml.Name{}
	result.Xmlns = xmlNamespace
	result.Bucket = x.bucket
	result.Key = x.key
	result.UploadID = upload.String()
	return x.writeDocument(resp, result)
}

// listPartsQuery returns the query for the storage node of a request that lists parts.
func listPartsQuery(query url.Values, upload uploadID) (url.Values, error) {
	out := url.Values{queryUploadID: {upload.nodeID}}
	for name, values := range query {
		switch name {
		case queryUploadID:
		case "max-parts", "part-number-marker":
			if n, err := strconv.Atoi(values[0]); err != nil || n < 0 {
				return nil, errInvalidPartNumber
			}
			out.Set(name, values[0])
		default:
			return nil, errNotImplemented
		}
	}
	return out, nil
}

// uploadID returns the upload that the query names.
func (x *exchange) uploadID() (uploadID, error) {
	return parseUploadID(x.query.Get(queryUploadID), x.server.cfg.Object.Shards)
}
