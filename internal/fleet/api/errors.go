package api

import (
	"errors"
	"net/http"

	"poppyarch/internal/fleet/state"
)

// Errors of the manager, in addition to those of package state. Each is sent as a code.
var (
	ErrManagerRestarted = errors.New("the manager has restarted")            // its earlier sessions have ended
	ErrStorage          = errors.New("the manager cannot write its journal") // nothing has changed
	ErrInvalidRequest   = errors.New("faulty request")                       // a retry would fail again
)

// ErrUnavailable is the client's error if there was no response. Whether the manager has carried out the request is
// unknown.
var ErrUnavailable = errors.New("no manager answers")

// wireError maps an error to the code and HTTP status that it is sent as.
type wireError struct {
	err    error
	code   string
	status int
}

var wireErrors = []wireError{
	{ErrManagerRestarted, "epoch", http.StatusGone},
	{ErrStorage, "storage", http.StatusInsufficientStorage},
	{ErrInvalidRequest, "request", http.StatusBadRequest},
	{state.ErrConflict, "conflict", http.StatusConflict},
	{state.ErrRolloutActive, "overlap", http.StatusConflict},
	{state.ErrNotFound, "unknown", http.StatusNotFound},
	{state.ErrFenced, "fenced", http.StatusForbidden},
	{state.ErrInvalidState, "state", http.StatusConflict},
}

// ErrorResponse is the body of a response that carries an error.
type ErrorResponse struct {
	Code  string `json:"code"`
	Error string `json:"error"`
}

// NewErrorResponse returns the response body and the HTTP status for an error. An error without a code of its own is
// sent as ErrInvalidRequest.
func NewErrorResponse(err error) (response ErrorResponse, status int) {
	for _, w := range wireErrors {
		if errors.Is(err, w.err) {
			return ErrorResponse{Code: w.code, Error: err.Error()}, w.status
		}
	}
	return ErrorResponse{Code: "request", Error: err.Error()}, http.StatusBadRequest
}

// RemoteError is an error returned by the manager. It wraps the error that its code stands for.
type RemoteError struct {
	Code    string
	Message string
	kind    error
}

func (e *RemoteError) Error() string { return e.Message }

// Unwrap returns the error that the code stands for.
func (e *RemoteError) Unwrap() error { return e.kind }

// asError returns the error that a response stands for. A code that this version does not know is treated as
// ErrInvalidRequest.
func (r ErrorResponse) asError() error {
	for _, w := range wireErrors {
		if w.code == r.Code {
			return &RemoteError{Code: r.Code, Message: r.Error, kind: w.err}
		}
	}
	return &RemoteError{Code: r.Code, Message: ErrInvalidRequest.Error() + ": " + r.Error, kind: ErrInvalidRequest}
}
