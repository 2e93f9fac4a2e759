package httpserver

// requestInput tracks whether bytes behind the current request have been read from its connection. net/http reads ahead
// and does not tell.
type requestInput struct {
	headEnded  bool
	headLines  int   // lines of the head so far; an upper bound if earlier requests were read together with this one
	lineEmpty  bool  // the current line of the head has no characters so far and is not the first one
	behindHead int64 // bytes read behind the head
	bodySize   int64 // size of the body; negative if it is not known
	pipelined  bool  // an earlier request was read together with bytes behind it, so the counts are not known
}

// read records bytes in the order in which they are read. An empty line ends the head.
func (in *requestInput) read(b []byte) {
	if in.headEnded {
		in.behindHead += int64(len(b))
		return
	}
	for i, c := range b {
		if c == '\n' {
			in.headLines++
		}
		switch {
		case c == '\n' && in.lineEmpty:
			in.headEnded = true
			in.behindHead = int64(len(b) - i - 1)
			return
		case c == '\n':
			in.lineEmpty = true
		case c != '\r':
			in.lineEmpty = false
		}
	}
}

// hasReadBeyondRequest reports whether bytes behind the current request have been read, or may have been.
func (in *requestInput) hasReadBeyondRequest() bool {
	return in.pipelined || in.bodySize < 0 || in.behindHead > in.bodySize
}

// endRequest prepares for the next request.
func (in *requestInput) endRequest() {
	*in = requestInput{pipelined: in.hasReadBeyondRequest()}
}
