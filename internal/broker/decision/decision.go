// Package decision holds the types through which package policy is driven: the settings of one broker, the events
// that it is told of and the actions that it asks for. It decides nothing.
//
// Times are durations on the clock of policy.Scheduler.Step, which only advances.
package decision
