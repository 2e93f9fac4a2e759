// Package discovery keeps the list of storage nodes up to date: over HTTP it reads the full list from the discovery service
// and then watches for changes with long polls.
//
// Client.Run is the only goroutine that polls and that changes what the client knows. Other goroutines may call SetAddress
// and Revision. The names and values of the service's JSON are mapped to the broker's terms in wire.go and nowhere else.
package discovery
