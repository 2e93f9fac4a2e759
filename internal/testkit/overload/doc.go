// Package overload holds tests that play clients which flood, stall or leave a broker, while usual clients send requests.
// The broker is a process of its own, built without the race detector and limited as its configuration says, so that its
// memory and the time of its answers are those of a deployment.
package overload
