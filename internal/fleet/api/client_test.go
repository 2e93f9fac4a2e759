package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// newClient returns a client of a server that uses the handler.
func newClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := NewClient(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(client.Close)
	return client
}

// writeError writes an error response as the manager does.
func writeError(t *testing.T, w http.ResponseWriter, err error) {
	t.Helper()
	response, status := NewErrorResponse(err)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(response); err != nil {
		t.Error(err)
	}
}

func TestErrorsKeepTheirKindAndTextAcrossTheWire(t *testing.T) {
	for _, w := range wireErrors {
		t.Run(w.code, func(t *testing.T) {
			sent := fmt.Errorf("revision 7: %w", w.err)
			client := newClient(t, func(rw http.ResponseWriter, _ *http.Request) { writeError(t, rw, sent) })
			_, err := client.History(t.Context(), 1)
			if !errors.Is(err, w.err) || err.Error() != sent.Error() {
				t.Errorf("error %q is received as %q", sent, err)
			}
			var remote *RemoteError
			if !errors.As(err, &remote) || remote.Code != w.code {
				t.Errorf("error %q is received as %#v, want a RemoteError with code %s", sent, err, w.code)
			}
		})
	}
}

func TestErrorWithoutCodeIsReceivedAsErrRequest(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { writeError(t, w, errors.New("spec: no instances")) })
	if _, err := client.History(t.Context(), 1); !errors.Is(err, ErrInvalidRequest) || err.Error() != "spec: no instances" {
		t.Errorf("got error %v, want ErrInvalidRequest with the text as sent", err)
	}
}

func TestErrorWithUnknownCodeIsReceivedAsErrRequest(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		if _, err := w.Write([]byte(`{"code":"later","error":"not yet"}`)); err != nil {
			t.Error(err)
		}
	})
	if _, err := client.History(t.Context(), 1); !errors.Is(err, ErrInvalidRequest) || err.Error() != "faulty request: not yet" {
		t.Errorf("got error %v, want ErrInvalidRequest with the text \"faulty request: not yet\"", err)
	}
}

func TestAttemptWithoutResponseIsRetried(t *testing.T) {
	var attempts atomic.Int32
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if attempts.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(`{"revisions":[]}`)); err != nil {
			t.Error(err)
		}
	})
	if _, err := client.History(t.Context(), 1); err != nil || attempts.Load() != 2 {
		t.Errorf("error %v after %d attempts, want success after 2", err, attempts.Load())
	}
}

func TestUnreachableManagerIsUnavailable(t *testing.T) {
	client := NewClient("unix:" + t.TempDir() + "/none")
	defer client.Close()
	if _, err := client.History(t.Context(), 1); !errors.Is(err, ErrUnavailable) {
		t.Errorf("got error %v, want ErrUnavailable", err)
	}
}
