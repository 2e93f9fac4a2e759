package object

import (
	"encoding/xml"
	"errors"
	"net/http"
	"strconv"
)

// apiError is an S3 error response.
type apiError struct {
	status  int // HTTP status
	code    string
	message string
}

func (e *apiError) Error() string { return e.code + ": " + e.message }

// Errors that this server returns itself. Error responses of object servers are forwarded to the client.
var (
	errNoSuchUpload      = &apiError{404, "NoSuchUpload", "The specified upload does not exist."}
	errMalformedXML      = &apiError{400, "MalformedXML", "The XML you provided was not well-formed or did not validate."}
	errInvalidPartOrder  = &apiError{400, "InvalidPartOrder", "The list of parts was not in ascending order."}
	errInvalidPartNumber = &apiError{400, "InvalidArgument", "Part number is out of bounds."}
	errMissingLength     = &apiError{411, "MissingContentLength", "You must provide the Content-Length HTTP header."}
	errTooLarge          = &apiError{400, "EntityTooLarge", "Your proposed upload exceeds the maximum allowed size."}
	errIncompleteBody    = &apiError{400, "IncompleteBody", "The request body ended early."}
	errInvalidURI        = &apiError{400, "InvalidURI", "Couldn't parse the specified URI."}
	errInvalidTimeout    = &apiError{400, "InvalidArgument", "X-Timeout-Ms must be a number of milliseconds above 0."}
	errMethodNotAllowed  = &apiError{405, "MethodNotAllowed", "The specified method is not allowed against this resource."}
	errNotImplemented    = &apiError{501, "NotImplemented", "A header or query you provided implies functionality that is not implemented."}
	errBodyStalled       = &apiError{400, "RequestTimeout", "The request body was not received in time. Nothing was done."}
	errNoMemory          = &apiError{503, "SlowDown", "Please reduce your request rate. Nothing was done."}
	errDraining          = &apiError{503, "SlowDown", "Please reduce your request rate. Nothing was done."}
	errExpired           = &apiError{503, "SlowDown", "The request was not read within its time. Nothing was done."}
	errSlowDown          = &apiError{503, "SlowDown", "Please reduce your request rate. Nothing was done."}
	errTimeout           = &apiError{504, "GatewayTimeout", "The request was not answered in time. It may have been carried out."}
	errInternal          = &apiError{500, "InternalError", "We encountered an internal error. The request may have been carried out."}
)

// errorDocument is the body of an error response.
type errorDocument struct {
	XMLName   xml.Name `xml:"Error"`
	Code      string   `xml:"Code"`
	Message   string   `xml:"Message"`
	Resource  string   `xml:"Resource"`
	RequestID string   `xml:"RequestId"`
}

// writeError writes an error response. An error that is not an apiError becomes an internal error.
func writeError(w http.ResponseWriter, r *http.Request, requestID string, err error) {
	var e *apiError
	if !errors.As(err, &e) {
		e = errInternal
	}
	body, err := marshal(errorDocument{
		Code:      e.code,
		Message:   e.message,
		Resource:  r.URL.Path,
		RequestID: requestID,
	})
	if err != nil { // the path has characters that XML cannot represent
		body = []byte(xml.Header + "<Error><Code>" + e.code + "</Code></Error>")
	}
	w.Header().Set("Content-Type", "application/xml")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.status)
	if r.Method != http.MethodHead {
		_, _ = w.Write(body) // a client that has disconnected needs no error
	}
}
