package httpserver

import "testing"

func TestRequestInputTellsWhetherMoreThanTheRequestWasRead(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: b\r\n\r\n"
	const put = "PUT / HTTP/1.1\r\nHost: b\r\nContent-Length: 4\r\n\r\n"
	for name, x := range map[string]struct {
		reads    []string
		bodySize int64
		want     bool
	}{
		"whole head":                  {[]string{get}, 0, false},
		"head in pieces":              {[]string{"GET / HTTP/1.1\r", "\nHost: b\r\n\r", "\n"}, 0, false},
		"head with bare line feeds":   {[]string{"GET / HTTP/1.1\nHost: b\n\n"}, 0, false},
		"second request in one read":  {[]string{get + get}, 0, true},
		"first byte of the next":      {[]string{get, "G"}, 0, true},
		"empty line in the body":      {[]string{put + "\r\n\r\n"}, 4, false},
		"body in pieces":              {[]string{put, "ab", "cd"}, 4, false},
		"body has not arrived":        {[]string{put, "ab"}, 4, false},
		"second request behind body":  {[]string{put, "abcdGET"}, 4, true},
		"size of the body is unknown": {[]string{put}, -1, true},
	} {
		in := requestInput{bodySize: x.bodySize}
		for _, b := range x.reads {
			in.read([]byte(b))
		}
		if got := in.hasReadBeyondRequest(); got != x.want {
			t.Errorf("%s: %v, want %v", name, got, x.want)
		}
		in.endRequest()
		in.read([]byte(get))
		if got := in.hasReadBeyondRequest(); got != x.want {
			t.Errorf("%s: %v for the next request, want %v", name, got, x.want)
		}
	}
}
