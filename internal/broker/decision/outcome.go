package decision

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota
	NodeError
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Cancelled
	NotAttempted
	MalformedResponse // it was executed, but the response cannot be parsed; the node may be healthy
	SendIncomplete    // the connection was lost before the whole request was sent
)

// NotExecuted reports whether the outcome proves that the attempt was not executed.
func (o Outcome) NotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotAttempted || o == SendIncomplete
}

// IsResponse reports whether the node itself sent a response.
func (o Outcome) IsResponse() bool {
	return o == Served || o == NodeError || o == Rejected || o == MalformedResponse
}

// MayStillExecute reports whether the node may execute the attempt after its outcome is known.
func (o Outcome) MayStillExecute() bool {
	return o == TimedOut || o == ConnectionLost || o == Cancelled
}
