package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"poppyarch/internal/lab/model"
)

// objectClients are the clients of the brokers' object APIs. A volume is a bucket; the objects that will be read are
// stored before the first client starts.
type objectClients struct {
	addrs    []string
	unitWork float64 // work of one unit, in microseconds
	clients  []*http.Client
}

// UnitBytes is the size in bytes of one unit of an object.
const UnitBytes = 1024

// ObjectPath returns the path of an object. It carries the work of a request for the object, in microseconds of a core
// at speed 1.
func ObjectPath(bucket, name string, work int64) string {
	return fmt.Sprintf("/%s/%s-%d", bucket, name, work)
}

// ObjectWork returns the work that an object's path carries, or 0 if there is none.
func ObjectWork(path string) time.Duration {
	v, err := strconv.ParseInt(path[strings.LastIndexByte(path, '-')+1:], 10, 64)
	if err != nil || v < 0 {
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

func (w *objectClients) objectPath(a *model.Arrival, class *model.Class) string {
	if class.Writes {
		return ObjectPath(Bucket(a.Volume), fmt.Sprintf("w%x", a.Key), int64(a.Work))
	}
	// Reads of the same size share one object. Otherwise one would have to be stored for each read, as each has its own
	// amount of work.
	return ObjectPath(Bucket(a.Volume), fmt.Sprintf("r%g", a.Units), int64(a.Units*w.unitWork))
}

// Bucket returns the name of a volume's bucket.
func Bucket(volume string) string { return "v" + volume }

// newObjectClients returns clients for the given addresses, and stores the objects that will be read.
func newObjectClients(ctx context.Context, addrs []string, unitWork float64, all []model.Arrival, classes []model.Class) (*objectClients, error) {
	w := &objectClients{addrs: addrs, unitWork: unitWork}
	for range addrs {
		w.clients = append(w.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10, DisableCompression: true}})
	}
	seen := map[string]bool{}
	var running sync.WaitGroup
	slots, fail := make(chan struct{}, 32), make(chan error, 1)
	for i := range all {
		a := &all[i]
		path := w.objectPath(a, &classes[a.Class])
		if classes[a.Class].Writes || seen[path] {
			continue
		}
		seen[path] = true
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := w.putObject(ctx, int(a.Broker), path, a.Units); err != nil {
				select {
				case fail <- err:
				default:
				}
			}
		})
	}
	running.Wait()
	select {
	case err := <-fail:
		w.close()
		return nil, err
	default:
		return w, nil
	}
}

// putObject stores an object. It retries up to 20 times, with increasing delays.
func (w *objectClients) putObject(ctx context.Context, broker int, path string, units float64) error {
	for failures := 0; ; failures++ {
		status, _, err := w.exchange(ctx, broker, http.MethodPut, path, units)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if failures == 20 || ctx.Err() != nil {
			return errors.Join(fmt.Errorf("PUT %s at %s: status %d", path, w.addrs[broker], status), err, ctx.Err())
		}
		t := time.NewTimer(time.Duration(failures+1) * 50 * time.Millisecond)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

func (w *objectClients) close() {
	for _, c := range w.clients {
		c.CloseIdleConnections()
	}
}

// exchange sends a request and reads its response to the end.
func (w *objectClients) exchange(ctx context.Context, broker int, method, path string, units float64) (status int, hint time.Duration, err error) {
	var body io.Reader
	if method == http.MethodPut {
		body = bytes.NewReader(make([]byte, int(units*UnitBytes)))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addrs[broker]+path, body)
	if err != nil {
		return 0, 0, err
	}
	resp, err := w.clients[broker].Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		hint = time.Duration(s) * time.Second
	}
	return resp.StatusCode, hint, nil
}

// attempt makes one attempt over the object API.
func (w *objectClients) attempt(ctx context.Context, a *model.Arrival, class *model.Class, deadline time.Time) (outcome, time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	method := http.MethodGet
	if class.Writes {
		method = http.MethodPut
	}
	status, hint, err := w.exchange(ctx, int(a.Broker), method, w.objectPath(a, class), a.Units)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return abandoned, 0
	case err != nil:
		return connectionLost, 0
	case status == http.StatusOK:
		return served, 0
	case status == http.StatusServiceUnavailable:
		return refused, hint
	case status == http.StatusNotFound:
		return wrongResponse, 0
	}
	return failed, 0
}
