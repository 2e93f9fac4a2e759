package decision

import "time"

// ActionKind names an action.
type ActionKind uint8

// The actions, each with the fields of Action that apply.
const (
	Forward        ActionKind = iota // ID, Node, After: time-out of the attempt; NotAfter
	Shed                             // ID, After: Retry-After of the rejection
	Fail                             // ID
	SetTimer                         // After, Token
	WatchEndpoints                   // poll or watch the endpoint list
	WriteLog                         // Text
)

// Action is what the broker must do; actions are carried out in order. Kind says which fields apply.
type Action struct {
	Kind     ActionKind
	ID       uint64 // of the request
	Node     string
	After    time.Duration
	NotAfter time.Duration // the attempt must not begin later, on the clock of Step; 0: no bound
	Token    uint64
	Text     string
}
