// Package agent runs the broker instances of an inventory on one machine: it starts them, restarts them with backoff
// when they crash, drains them, restarts them one at a time, and follows changes of the inventory.
//
// Agent holds the desired state and serializes the operations. Each instance has a runner with a goroutine that keeps
// its process in the desired state; Agent.Close waits for all of them. Handler is the server and Call the client of the
// agent's socket, which the command line uses to control the agent.
package agent
