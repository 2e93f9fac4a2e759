// Package agent runs the broker instances of an inventory on one machine: it starts them, restarts them with backoff when
// they crash, drains them, restarts them one at a time, and follows changes of the inventory.
//
// Agent holds the desired state and serializes the operations. Each instance has a runner, a goroutine that brings its
// process into the desired state; Agent.Close waits for all of them. Handler and Call are the two ends of the agent's
// socket, on which the command line talks to it.
package agent
