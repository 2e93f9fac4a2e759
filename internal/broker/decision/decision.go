// Package decision defines the input and output types of package policy: the settings of one broker, the events that
// are passed to the policy and the actions that it returns.
//
// Times are durations on the clock of policy.Scheduler.Step, which only advances.
package decision
