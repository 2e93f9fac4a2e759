package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"poppyarch/internal/broker/limits"
)

// fillLimits derives the limits from what the machine and the settings allow; tuning overrides single figures.
func (c *Config) fillLimits(in *file, ex *extra) error {
	l, err := machineLimits(in)
	if err != nil {
		return err
	}
	c.limitConnections(l, ex)
	c.limitDiscovery(l)
	c.limitRequests(l, ex)
	if err := tune(l, in.Tuning); err != nil {
		return err
	}
	c.Limits = *l
	return nil
}

const (
	ms     = int64(1000) // in microseconds, as second
	second = 1000 * ms

	ownDescriptors = 32         // the runtime's own, standard streams, listeners, discovery
	longestKill    = 3 * second // the platform counts a longer deadline as this, when it kills
	killSlack      = 700 * ms   // and kills no sooner than so long after that
	killMargin     = 150 * ms   // all is answered so long ahead of it
	answerTime     = 250 * ms   // what is taken last has so long
	agentRetry     = 150 * ms   // an agent that serves one broker alone is asked again within this
)

// machineLimits are the defaults, and what follows from the machine alone.
func machineLimits(in *file) (*limits.Limits, error) {
	m := in.Limits
	if m.Cores < 0 || m.MemoryMB < 0 || m.Sockets < 0 {
		return nil, errors.New("limits: cores, memory_mb and sockets cannot be negative")
	}
	m.Cores = cmp.Or(m.Cores, 1)
	m.MemoryMB = cmp.Or(m.MemoryMB, 192)
	m.Sockets = cmp.Or(m.Sockets, 1024)
	if m.MemoryMB < 32 {
		return nil, fmt.Errorf("limits.memory_mb: %d is under 32", m.MemoryMB)
	}
	if m.Sockets < 64 {
		return nil, fmt.Errorf("limits.sockets: %d is under 64", m.Sockets)
	}
	memory := m.MemoryMB << 20
	free := m.Sockets - ownDescriptors
	return &limits.Limits{
		Procs: max(int(m.Cores), 1), MemoryBytes: memory * 6 / 10, Descriptors: m.Sockets,
		ClientConns: free * 2 / 3, NodeConns: free / 3,
		MaxInFlight: 4096, MaxBodyBytes: memory / 6, MaxPipeline: 128, MaxMessageBytes: 72 << 10, MaxArgs: 16, MaxValueBytes: 64 << 10,
		MaxID: 64, MaxParams: 1024, ClientWriteTimeout: 5 * second, ClientFirstByteTimeout: 2*second + 500*ms, ClientStallTimeout: second + 500*ms,
		ClientIdleConns:                m.Sockets/3 - m.Sockets/24, // clients may hold a third: idle ones must not use that up
		ClientIdleTimeoutUnderPressure: 2 * second, ClientIdleTimeout: 10 * second, ClientLingerTimeout: 200 * ms, BusyRetryAfter: 200 * ms,
		AnswerMargin: 5 * ms, DrainAcceptTime: 500 * ms, DrainTotalTime: 5*second + 500*ms,
		ConnectTimeout: 250 * ms, NodeIdleTimeout: 10 * second, NodeReuseWindow: 5 * second, NodeReuseDelay: 20 * ms, ResponseCompletionTimeout: 150 * ms, MaxIdleConnsPerNode: 16,
		WatchTimeout: second, WatchGracePeriod: second, NotificationDeadline: 6 * second, WatchMinInterval: 100 * ms, MaxListBytes: 4 << 20, MaxListEndpoints: 10000,
		MaxObjectBytes: 16 << 20, MaxHeaderBytes: 16 << 10, ObjectBufferBytes: 64 << 10, MaxParts: 10000, ObjectIdleTimeout: 60 * second,
		ObjectStallTimeout: 10 * second, MaxCompletionBytes: 1 << 20, ReadBackTime: second, ReadBackInterval: 100 * ms,
	}, nil
}

// limitConnections follows what the settings say of connections to storage nodes.
func (c *Config) limitConnections(l *limits.Limits, ex *extra) {
	if v := ex.Limits.Connect; v > 0 {
		l.ConnectTimeout = v / 1000
	}
	if v := ex.Limits.Keepalive; v > 0 { // well before the nodes close it
		l.NodeIdleTimeout = min(l.NodeIdleTimeout, v/1000/3)
		l.NodeReuseWindow = min(l.NodeReuseWindow, l.NodeIdleTimeout/2)
	}
	c.Policy.ConnectionReuseWindow = time.Duration(l.NodeReuseWindow) * time.Microsecond
}

// limitDiscovery follows the size of the fleet. One discovery serves all brokers and bears some hundreds of calls a second at
// best. A list without news has no lines, a full one has a line for each node, so the move of a fleet is spread further than
// its watches. A longer wait costs no safety: what a call should have told counts as told so long after its wait is over.
func (c *Config) limitDiscovery(l *limits.Limits) {
	hosts := int64(c.Policy.Brokers)
	l.WatchTimeout = max(l.WatchTimeout, hosts*second/100)
	if v := c.Policy.MaxPollInterval.Microseconds(); v > 0 {
		l.WatchTimeout = min(l.WatchTimeout, max(second, v/2))
	}
	if c.Policy.LocalDiscoveryAgent {
		l.DiscoveryMaxBackoff = agentRetry
	}
	l.DiscoveryMoveJitter = min(hosts*5*ms, second+500*ms) // the old address serves on for so long
}

// limitRequests follows the classes' deadlines and aims. The platform kills no sooner than the longest deadline, counted as
// longestKill where it is longer, and killSlack after SIGTERM.
func (c *Config) limitRequests(l *limits.Limits, ex *extra) {
	if v := ex.Limits.MaxOpen; v > 0 {
		l.MaxInFlight = min(l.MaxInFlight, v)
	}
	longest := int64(0)
	for _, k := range c.Policy.Classes {
		longest = max(longest, k.Deadline.Microseconds())
		l.ResponseCompletionTimeout = min(l.ResponseCompletionTimeout, k.LatencyObjective.Microseconds()/3) // so that what may run twice can go again in time
	}
	l.ClientRequestTimeout = longest // by then its client has given up
	l.DrainTotalTime = max(l.DrainTotalTime, longest+500*ms)
	l.DrainAnswerTime = min(longest, longestKill) + killSlack - killMargin
	l.DrainServeTime = max(l.DrainAnswerTime-answerTime, l.DrainAcceptTime)
}

// tune overrides single figures and checks the result.
func tune(l *limits.Limits, tuning json.RawMessage) error {
	if len(tuning) > 0 {
		d := json.NewDecoder(bytes.NewReader(tuning))
		d.DisallowUnknownFields()
		if err := d.Decode(l); err != nil {
			return fmt.Errorf("tuning: %w", named(err))
		}
	}
	for key, v := range map[string]int64{
		"procs": int64(l.Procs), "client_conns": int64(l.ClientConns), "node_conns": int64(l.NodeConns),
		"max_open": int64(l.MaxInFlight), "max_message": int64(l.MaxMessageBytes), "max_pipeline": int64(l.MaxPipeline),
		"max_id": int64(l.MaxID), "max_params": int64(l.MaxParams), "client_first": l.ClientFirstByteTimeout,
		"client_stall": l.ClientStallTimeout, "client_send": l.ClientRequestTimeout, "client_lull": l.ClientIdleTimeoutUnderPressure, "client_idle": l.ClientIdleTimeout,
		"max_args": int64(l.MaxArgs), "max_value": int64(l.MaxValueBytes), "connect": l.ConnectTimeout, "node_idle": l.NodeIdleTimeout, "answer_rest": l.ResponseCompletionTimeout,
		"list_wait": l.WatchTimeout, "list_grace": l.WatchGracePeriod, "list_told": l.NotificationDeadline, "client_write": l.ClientWriteTimeout,
		"max_object": l.MaxObjectBytes, "object_buffer": int64(l.ObjectBufferBytes), "object_stall": l.ObjectStallTimeout,
	} {
		if v <= 0 {
			return fmt.Errorf("tuning.%s: %d is not above 0", key, v)
		}
	}
	if l.ClientConns+l.NodeConns+16 > l.Descriptors {
		return fmt.Errorf("tuning.client_conns: %d with %d node_conns do not fit %d descriptors",
			l.ClientConns, l.NodeConns, l.Descriptors)
	}
	return nil
}
