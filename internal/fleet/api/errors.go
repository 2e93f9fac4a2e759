package api

import (
	"errors"
	"net/http"

	"poppyarch/internal/fleet/state"
)

// Errors of the manager, besides those of package state. They cross the wire by their codes.
var (
	ErrEpoch   = errors.New("the manager has restarted")            // sessions with its earlier incarnation have ended
	ErrStorage = errors.New("the manager cannot write its journal") // nothing has changed
	ErrRequest = errors.New("faulty request")                       // a retry would fail again
)

// ErrUnavailable is the client's error where no answer came. Whether the manager acted is unknown.
var ErrUnavailable = errors.New("no manager answers")

// wireError is one row of the table of errors on the wire.
type wireError struct {
	err    error
	code   string
	status int
}

var wireErrors = []wireError{
	{ErrEpoch, "epoch", http.StatusGone},
	{ErrStorage, "storage", http.StatusInsufficientStorage},
	{ErrRequest, "request", http.StatusBadRequest},
	{state.ErrConflict, "conflict", http.StatusConflict},
	{state.ErrRolloutActive, "overlap", http.StatusConflict},
	{state.ErrNotFound, "unknown", http.StatusNotFound},
	{state.ErrFenced, "fenced", http.StatusForbidden},
	{state.ErrInvalidState, "state", http.StatusConflict},
}

// ErrorResponse is an error as it crosses the wire.
type ErrorResponse struct {
	Code  string `json:"code"`
	Error string `json:"error"`
}

// NewErrorResponse returns the body and the HTTP status for an error. One that has no code of its own is sent as a faulty
// request.
func NewErrorResponse(err error) (response ErrorResponse, status int) {
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return ErrorResponse{Code: w.code, Error: err.Error()}, w.status
		}
	}
	return ErrorResponse{Code: "request", Error: err.Error()}, http.StatusBadRequest
}

// RemoteError is an error that the manager answered with. It wraps the error that its code stands for.
type RemoteError struct {
	Code    string
	Message string
	kind    error
}

func (e *RemoteError) Error() string { return e.Message }

// Unwrap returns the error that the code stands for.
func (e *RemoteError) Unwrap() error { return e.kind }

// asError returns the error that a response stands for. One with a code that this version does not know is taken for a
// faulty request.
func (r ErrorResponse) asError() error {
	for _, w := range wireErrors {
		if w.code == r.Code {
			return &RemoteError{Code: r.Code, Message: r.Error, kind: w.err}
		}
	}
	return &RemoteError{Code: r.Code, Message: ErrRequest.Error() + ": " + r.Error, kind: ErrRequest}
}
