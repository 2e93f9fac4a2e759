package object

import (
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// fault is an error answer in S3's terms.
type fault struct {
	status  int
	code    string
	message string
}

func (f *fault) Error() string { return f.code + ": " + f.message }

// The errors that this front words itself. All others are the object server's own.
var (
	errNoUpload       = &fault{404, "NoSuchUpload", "The specified upload does not exist."}
	errMalformedXML   = &fault{400, "MalformedXML", "The XML you provided was not well-formed or did not validate."}
	errPartOrder      = &fault{400, "InvalidPartOrder", "The list of parts was not in ascending order."}
	errPartNumber     = &fault{400, "InvalidArgument", "Part number is out of bounds."}
	errNoLength       = &fault{411, "MissingContentLength", "You must provide the Content-Length HTTP header."}
	errTooLarge       = &fault{400, "EntityTooLarge", "Your proposed upload exceeds the maximum allowed size."}
	errIncomplete     = &fault{400, "IncompleteBody", "The request body ended early."}
	errBadURI         = &fault{400, "InvalidURI", "Couldn't parse the specified URI."}
	errBadTimeout     = &fault{400, "InvalidArgument", "X-Timeout-Ms must be a number of milliseconds above 0."}
	errMethod         = &fault{405, "MethodNotAllowed", "The specified method is not allowed against this resource."}
	errNotImplemented = &fault{501, "NotImplemented", "A header or query you provided implies functionality that is not implemented."}
	errSlowDown       = &fault{503, "SlowDown", "Please reduce your request rate. Nothing was done."}
	errTimeout        = &fault{504, "GatewayTimeout", "The request was not answered in time. It may have been carried out."}
	errInternal       = &fault{500, "InternalError", "We encountered an internal error. The request may have been carried out."}
)

// xmlError is the body of an error answer.
type xmlError struct {
	XMLName   xml.Name `xml:"Error"`
	Code      string
	Message   string
	Resource  string
	RequestID string `xml:"RequestId"`
}

// created is the answer to a create call.
type created struct {
	XMLName  xml.Name `xml:"InitiateMultipartUploadResult"`
	Xmlns    string   `xml:"xmlns,attr,omitempty"`
	Bucket   string
	Key      string
	UploadID string `xml:"UploadId"`
}

// parts is the answer to a list-parts call.
type parts struct {
	XMLName              xml.Name `xml:"ListPartsResult"`
	Xmlns                string   `xml:"xmlns,attr,omitempty"`
	Bucket               string
	Key                  string
	UploadID             string `xml:"UploadId"`
	PartNumberMarker     int
	NextPartNumberMarker int
	MaxParts             int
	IsTruncated          bool
	Part                 []part
}

type part struct {
	PartNumber   int
	LastModified string `xml:",omitempty"`
	ETag         string
	Size         int64
}

// completion is the body of a complete call.
type completion struct {
	XMLName xml.Name `xml:"CompleteMultipartUpload"`
	Part    []struct {
		PartNumber int
		ETag       string
	}
}

// completed is the answer to it.
type completed struct {
	XMLName  xml.Name `xml:"CompleteMultipartUploadResult"`
	Xmlns    string   `xml:"xmlns,attr,omitempty"`
	Location string
	Bucket   string
	Key      string
	ETag     string
}

const xmlns = "http://s3.amazonaws.com/doc/2006-03-01/"

// parseCompletion checks the body of a complete call and works out the entity tag that the whole will have: the
// MD5 of the parts' MD5s, with their number. It is empty where a part's tag is not an MD5.
func parseCompletion(body []byte, most int) (etag string, err error) {
	var c completion
	if xml.Unmarshal(body, &c) != nil || len(c.Part) == 0 || len(c.Part) > most {
		return "", errMalformedXML
	}
	sum, known, last := md5.New(), true, 0
	for _, p := range c.Part {
		if p.PartNumber < 1 || p.PartNumber > most || p.ETag == "" {
			return "", errMalformedXML
		}
		if p.PartNumber <= last {
			return "", errPartOrder
		}
		last = p.PartNumber
		b, err := hex.DecodeString(strings.Trim(p.ETag, `"`))
		known = known && err == nil && len(b) == md5.Size
		sum.Write(b)
	}
	if !known {
		return "", nil
	}
	return fmt.Sprintf(`"%x-%d"`, sum.Sum(nil), len(c.Part)), nil
}

// uploadID names the shard that keeps the upload, so that any broker finds it, also one that started later.
func uploadID(shard int, own string) string { return strconv.Itoa(shard) + "-" + own }

// parseUpload takes an upload id apart.
func parseUpload(id string, shards int) (shard int, own string, err error) {
	head, own, ok := strings.Cut(id, "-")
	shard, bad := strconv.Atoi(head)
	if !ok || bad != nil || own == "" || shard < 0 || shard >= shards || uploadID(shard, own) != id {
		return 0, "", errNoUpload
	}
	return shard, own, nil
}

// marshal writes an XML document.
func marshal(v any) ([]byte, error) {
	b, err := xml.Marshal(v)
	return append([]byte(xml.Header), b...), err
}

// writeFault answers with an error.
func writeFault(w http.ResponseWriter, r *http.Request, id string, err error) {
	var f *fault
	if !errors.As(err, &f) {
		f = errInternal
	}
	b, err := marshal(xmlError{Code: f.code, Message: f.message, Resource: r.URL.Path, RequestID: id})
	if err != nil { // a path that XML cannot hold
		b = []byte(xml.Header + "<Error><Code>" + f.code + "</Code></Error>")
	}
	w.Header().Set("Content-Type", "application/xml")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(f.status)
	if r.Method != http.MethodHead {
		w.Write(b)
	}
}
