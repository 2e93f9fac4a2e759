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

// web is clients of object fronts. A volume is a bucket; what is read was stored before the first client came.
type web struct {
	addrs   []string
	unit    float64 // work of one, microseconds
	clients []*http.Client
}

// UnitBytes is the size of one unit of an object.
const UnitBytes = 1024

// Object is the path of an object whose requests take so many microseconds of a core at speed 1.
func Object(bucket, name string, work int64) string {
	return fmt.Sprintf("/%s/%s-%d", bucket, name, work)
}

// Work is what an object's path says, or 0.
func Work(path string) time.Duration {
	v, err := strconv.ParseInt(path[strings.LastIndexByte(path, '-')+1:], 10, 64)
	if err != nil || v < 0 {
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

func (w *web) path(a *model.Arrival, class *model.Class) string {
	if class.Writes {
		return Object(Bucket(a.Volume), fmt.Sprintf("w%x", a.Key), int64(a.Work))
	}
	// An object of its own for each amount of work would have to be stored for each read; so there is one for each size.
	return Object(Bucket(a.Volume), fmt.Sprintf("r%g", a.Units), int64(a.Units*w.unit))
}

// Bucket is a volume's bucket.
func Bucket(volume string) string { return "v" + volume }

// newWeb stores what will be read.
func newWeb(ctx context.Context, addrs []string, unit float64, all []model.Arrival, classes []model.Class) (*web, error) {
	w := &web{addrs: addrs, unit: unit}
	for range addrs {
		w.clients = append(w.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10, DisableCompression: true}})
	}
	seen := map[string]bool{}
	var wait sync.WaitGroup
	room, fail := make(chan struct{}, 32), make(chan error, 1)
	for i := range all {
		a := &all[i]
		at := w.path(a, &classes[a.Class])
		if classes[a.Class].Writes || seen[at] {
			continue
		}
		seen[at] = true
		wait.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if err := w.store(ctx, int(a.Broker), at, a.Units); err != nil {
				select {
				case fail <- err:
				default:
				}
			}
		})
	}
	wait.Wait()
	select {
	case err := <-fail:
		w.close()
		return nil, err
	default:
		return w, nil
	}
}

// store puts one object, as often as it takes.
func (w *web) store(ctx context.Context, broker int, at string, units float64) error {
	for try := 0; ; try++ {
		status, _, err := w.do(ctx, broker, http.MethodPut, at, units)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if try == 20 || ctx.Err() != nil {
			return errors.Join(fmt.Errorf("PUT %s at %s: status %d", at, w.addrs[broker], status), err, ctx.Err())
		}
		t := time.NewTimer(time.Duration(try+1) * 50 * time.Millisecond)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

func (w *web) close() {
	for _, c := range w.clients {
		c.CloseIdleConnections()
	}
}

// do makes one request and reads its answer to the end.
func (w *web) do(ctx context.Context, broker int, method, at string, units float64) (status int, hint time.Duration, err error) {
	var body io.Reader
	if method == http.MethodPut {
		body = bytes.NewReader(make([]byte, int(units*UnitBytes)))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addrs[broker]+at, body)
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

func (w *web) try(ctx context.Context, a *model.Arrival, class *model.Class, until time.Time) (outcome, time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	method := http.MethodGet
	if class.Writes {
		method = http.MethodPut
	}
	status, hint, err := w.do(ctx, int(a.Broker), method, w.path(a, class), a.Units)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return left, 0
	case err != nil:
		return cut, 0
	case status == http.StatusOK:
		return served, 0
	case status == http.StatusServiceUnavailable:
		return refused, hint
	case status == http.StatusNotFound:
		return wrong, 0
	}
	return failed, 0
}
