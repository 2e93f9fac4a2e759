package decision

import "time"

// ActionKind identifies the kind of an action.
type ActionKind uint8

// The kinds of actions, each with the fields of Action that apply.
const (
	Forward        ActionKind = iota // ID, Node, After (the time-out of the attempt), NotAfter
	Shed                             // ID, After (the Retry-After of the rejection)
	Fail                             // ID
	SetTimer                         // After, Token
	WatchEndpoints                   // poll or watch the endpoint list
	WriteLog                         // Text
)

// Action is something that the broker must do. Kind determines which fields apply. The actions of a step are carried
// out in order.
type Action struct {
	Kind     ActionKind
	ID       uint64 // of the request
	Node     string
	After    time.Duration
	NotAfter time.Duration // the attempt must not start later than this time on the clock of Step; 0 for no limit
	Token    uint64
	Text     string
}
