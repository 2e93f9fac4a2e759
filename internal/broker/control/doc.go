// Package control is the control endpoint of a broker, with its client: an agent reads the state of a broker process
// and sends it configuration changes over HTTP on a Unix socket or on loopback.
//
// An incarnation is one run of a broker process. Its Ledger decides whether a change is applied: each idempotency key
// at most once, only if the incarnation holds the revision that the change is based on, and only from the agent with
// the highest fencing token. Server applies the changes that the ledger admits. The names and values of the JSON fields
// are fixed by deployed agents.
package control
