// Package discovery keeps the list of storage nodes up to date: it reads the full list from the discovery service over
// HTTP and then watches for changes with long polls.
//
// Only the goroutine that runs Client.Run polls and modifies the client's state. Other goroutines may call SetAddress
// and Revision. The names and values of the service's JSON are mapped to the broker's terms in wire.go only.
package discovery
