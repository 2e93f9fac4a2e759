package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	splitCallTimeout  = 30 * time.Second
	listenerCheckTime = time.Millisecond // between two checks whether a listener is closed
	firstCall         = "GET / HTTP/1.1\r\nHost: fake\r\n\r\n"
)

// CallAcrossStop makes an HTTP call that is under way while its server stops: after another call on the same connection
// it sends a part of the request, calls stop, waits until the server accepts no more clients, and sends the rest. It
// returns the response and its body.
func CallAcrossStop(network, addr, request string, stop func()) (*http.Response, string, error) {
	c, err := net.Dial(network, addr)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(splitCallTimeout)); err != nil {
		return nil, "", err
	}
	in := bufio.NewReader(c)
	if _, err := io.WriteString(c, firstCall); err != nil {
		return nil, "", err
	}
	if _, _, err := readResponse(in); err != nil {
		return nil, "", fmt.Errorf("first response: %w", err)
	}
	half := len(request) / 2
	if _, err := io.WriteString(c, request[:half]); err != nil {
		return nil, "", err
	}
	stop()
	if err := awaitClosed(network, addr); err != nil {
		return nil, "", err
	}
	if _, err := io.WriteString(c, request[half:]); err != nil {
		return nil, "", fmt.Errorf("rest of the request: %w", err)
	}
	return readResponse(in)
}

func readResponse(in *bufio.Reader) (*http.Response, string, error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), errors.Join(err, resp.Body.Close())
}

// awaitClosed waits until no server listens on the address.
func awaitClosed(network, addr string) error {
	for end := time.Now().Add(splitCallTimeout); time.Now().Before(end); time.Sleep(listenerCheckTime) {
		c, err := net.Dial(network, addr)
		if err != nil {
			return nil
		}
		_ = c.Close() // nothing was sent
	}
	return fmt.Errorf("%s still accepts clients", addr)
}
