package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"poppyarch/internal/broker/limits"
	"poppyarch/internal/timing/clock"
)

const (
	millisecond = clock.Micros(1000)
	second      = 1000 * millisecond

	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
	mostInFlight    = 4096
	requestBytes    = 16 << 10 // that a request in flight takes, apart from its message
	connBytes       = 14 << 10 // that a client connection takes, apart from what it sends and gets
	programBytes    = 13 << 20 // of the program's file, which count as memory of the process
	volumeBytes     = 512      // that the state of a volume takes
	recentIDBytes   = 64       // that the id of an executed request takes
	recentIDShare   = 16       // the part of the memory for such ids, as a divisor
	volumeShare     = 16       // the part of the memory for the state of volumes, as a divisor
	inFlightShare   = 6        // the part of the memory for requests in flight, as a divisor
	connShare       = 6        // the part of the memory for client connections, as a divisor
	ownDescriptors  = 32       // for the runtime, standard streams, listeners and discovery
)

// The platform sends SIGKILL after a grace period that follows from the longest deadline.
const (
	maxKillDeadline    = 3 * second        // longer deadlines are treated as this one
	killSlack          = 700 * millisecond // the grace period exceeds the deadline by this
	killMargin         = 150 * millisecond // all requests are answered this long before SIGKILL
	drainAnswerReserve = 250 * millisecond // time left to answer the last request that is admitted
)

// Polling of discovery, and idle connections to nodes.
const (
	localAgentMaxBackoff  = 150 * millisecond // an agent that serves a single broker can take frequent polls
	maxPollsPerSecond     = 100               // made by the whole fleet while nothing changes
	moveJitterPerBroker   = 5 * millisecond
	maxMoveJitter         = second + 500*millisecond // the old address still serves this long after a change of address
	keepAliveSafetyFactor = 3                        // idle connections are closed this factor earlier than by the node
)

// setLimits derives the limits from the machine size and the settings, and applies the overrides in tuning.
func (c *Config) setLimits(in *file, settings *connectionSettings) error {
	machine, err := in.Limits.withDefaults()
	if err != nil {
		return err
	}
	l := machine.defaultLimits()
	c.setConnectionLimits(l, settings)
	c.setDiscoveryLimits(l)
	c.setRequestLimits(l, settings)
	c.Policy.MaxVolumes = int(machine.MemoryMB << 20 / volumeShare / volumeBytes)
	if err := applyTuning(l, in.Tuning); err != nil {
		return err
	}
	c.Limits = *l
	return nil
}

// withDefaults validates the size and fills in defaults.
func (m machineSize) withDefaults() (machineSize, error) {
	if m.Cores < 0 || m.MemoryMB < 0 || m.Sockets < 0 {
		return m, &KeyError{Key: "limits", Err: errors.New("cores, memory_mb and sockets cannot be negative")}
	}
	m.Cores = cmp.Or(m.Cores, defaultCores)
	m.MemoryMB = cmp.Or(m.MemoryMB, defaultMemoryMB)
	m.Sockets = cmp.Or(m.Sockets, defaultSockets)
	if m.MemoryMB < minMemoryMB {
		return m, keyErrorf("limits.memory_mb", "%d is below the minimum of %d", m.MemoryMB, minMemoryMB)
	}
	if m.Sockets < minSockets {
		return m, keyErrorf("limits.sockets", "%d is below the minimum of %d", m.Sockets, minSockets)
	}
	return m, nil
}

// defaultLimits returns the default limits of a machine of this size.
func (m machineSize) defaultLimits() *limits.Limits {
	memoryBytes := m.MemoryMB << 20
	freeDescriptors := m.Sockets - ownDescriptors
	return &limits.Limits{
		Procs:       max(int(m.Cores), 1),
		MemoryBytes: min(memoryBytes*6/10, (memoryBytes-programBytes)*8/10),
		Descriptors: m.Sockets,
		ClientConns: min(freeDescriptors*2/3, int(memoryBytes/connShare/connBytes)),
		NodeConns:   freeDescriptors / 3,

		Clients: limits.ClientLimits{
			MaxPendingReplies:    1024,
			MaxParamCount:        64,
			MaxRecentIDs:         int(memoryBytes / recentIDShare / recentIDBytes),
			FreeAnswersPerSecond: 2000,
			FreeAnswerBurst:      256,
			MaxHeaderFields:      128,
			ObjectReceiveTimeout: 2*second + 500*millisecond,
		},

		MaxInFlight:                    int(min(memoryBytes/inFlightShare/requestBytes, mostInFlight)),
		MaxTotalBodyBytes:              min(memoryBytes/6, (memoryBytes-programBytes)/5),
		MaxPipeline:                    128,
		MaxMessageBytes:                72 << 10,
		MaxArgs:                        16,
		MaxValueBytes:                  64 << 10,
		MaxID:                          64,
		MaxParams:                      1024,
		ClientWriteTimeout:             5 * second,
		ClientFirstByteTimeout:         2*second + 500*millisecond,
		ClientStallTimeout:             second + 500*millisecond,
		ClientIdleConns:                m.Sockets/3 - m.Sockets/24, // clients may use a third, idle ones not all of it
		ClientIdleTimeoutUnderPressure: 2 * second,
		ClientIdleTimeout:              10 * second,
		ClientLingerTimeout:            200 * millisecond,
		BusyRetryAfter:                 200 * millisecond,
		ResponseMargin:                 5 * millisecond,
		DrainAcceptTime:                500 * millisecond,
		DrainTotalTime:                 5*second + 500*millisecond,

		ConnectTimeout:            250 * millisecond,
		NodeIdleTimeout:           10 * second,
		NodeReuseWindow:           5 * second,
		NodeReuseDelay:            20 * millisecond,
		ResponseCompletionTimeout: 150 * millisecond,
		MaxIdleConnsPerNode:       16,

		WatchTimeout:         second,
		WatchGracePeriod:     second,
		NotificationDeadline: 6 * second,
		WatchMinInterval:     100 * millisecond,
		MaxListBytes:         4 << 20,
		MaxListEndpoints:     10000,

		MaxObjectBytes:     16 << 20,
		MaxHeaderBytes:     16 << 10,
		ObjectBufferBytes:  64 << 10,
		MaxParts:           10000,
		ObjectIdleTimeout:  60 * second,
		ObjectStallTimeout: 10 * second,
		MaxCompletionBytes: 1 << 20,
		ReadBackTime:       second,
		ReadBackInterval:   100 * millisecond,
	}
}

// setConnectionLimits applies the settings for connections to storage nodes.
func (c *Config) setConnectionLimits(l *limits.Limits, settings *connectionSettings) {
	if v := settings.Limits.ConnectTimeout; v > 0 {
		l.ConnectTimeout = clock.FromDuration(time.Duration(v))
	}
	if v := settings.Limits.KeepAliveTimeout; v > 0 {
		l.NodeIdleTimeout = min(l.NodeIdleTimeout, clock.FromDuration(time.Duration(v))/keepAliveSafetyFactor)
		l.NodeReuseWindow = min(l.NodeReuseWindow, l.NodeIdleTimeout/2)
	}
	c.Policy.ConnectionReuseWindow = clock.Duration(l.NodeReuseWindow)
}

// setDiscoveryLimits scales the poll interval with the size of the fleet, since one discovery service serves all
// brokers. After a change of its address the first polls are spread over a longer time, because each broker then reads
// the full list, while the response to a poll without changes is small. A longer watch time-out is safe: a change only
// counts as known to the broker some time after the watch has timed out.
func (c *Config) setDiscoveryLimits(l *limits.Limits) {
	brokers := clock.Micros(c.Policy.Brokers)
	l.WatchTimeout = max(l.WatchTimeout, brokers*second/maxPollsPerSecond)
	if v := clock.FromDuration(c.Policy.MaxPollInterval); v > 0 {
		l.WatchTimeout = min(l.WatchTimeout, max(second, v/2))
	}
	if c.Policy.LocalDiscoveryAgent {
		l.DiscoveryMaxBackoff = localAgentMaxBackoff
	}
	l.DiscoveryMoveJitter = min(brokers*moveJitterPerBroker, maxMoveJitter)
}

// setRequestLimits derives limits from the classes' deadlines and latency objectives.
func (c *Config) setRequestLimits(l *limits.Limits, settings *connectionSettings) {
	if v := settings.Limits.MaxInFlight; v > 0 {
		l.MaxInFlight = min(l.MaxInFlight, v)
	}
	longest := clock.Micros(0)
	for _, k := range c.Policy.Classes {
		longest = max(longest, clock.FromDuration(k.Deadline))
		// Leaves enough time to retry an idempotent request whose response stalls.
		l.ResponseCompletionTimeout = min(l.ResponseCompletionTimeout, clock.FromDuration(k.LatencyObjective)/3)
	}
	l.ClientRequestTimeout = longest // the client has given up by then
	l.Clients.RequestIDRetention = 2 * longest
	l.DrainTotalTime = max(l.DrainTotalTime, longest+500*millisecond)
	l.DrainResponseTime = min(longest, maxKillDeadline) + killSlack - killMargin
	l.DrainServeTime = max(l.DrainResponseTime-drainAnswerReserve, l.DrainAcceptTime)
}

// descriptorReserve is the number of descriptors that connections must leave free.
const descriptorReserve = 16

// applyTuning overrides single limits and checks the result.
func applyTuning(l *limits.Limits, tuning json.RawMessage) error {
	if len(tuning) > 0 {
		d := json.NewDecoder(bytes.NewReader(tuning))
		d.DisallowUnknownFields()
		if err := d.Decode(l); err != nil {
			return fmt.Errorf("tuning: %w", jsonError(err))
		}
	}
	for _, limit := range positiveLimits(l) {
		if limit.value <= 0 {
			return keyErrorf("tuning."+limit.key, "%d is not above 0", limit.value)
		}
	}
	if l.ClientConns+l.NodeConns+descriptorReserve > l.Descriptors {
		return keyErrorf("tuning.client_conns", "%d and %d node_conns exceed the %d descriptors, of which %d are reserved",
			l.ClientConns, l.NodeConns, l.Descriptors, descriptorReserve)
	}
	return nil
}

// namedLimit is a limit with its key in the tuning object.
type namedLimit struct {
	key   string
	value int64
}

// positiveLimits returns the limits that must be above 0.
func positiveLimits(l *limits.Limits) []namedLimit {
	return []namedLimit{
		{"procs", int64(l.Procs)},
		{"client_conns", int64(l.ClientConns)},
		{"node_conns", int64(l.NodeConns)},
		{"max_open", int64(l.MaxInFlight)},
		{"max_message", int64(l.MaxMessageBytes)},
		{"max_pipeline", int64(l.MaxPipeline)},
		{"max_id", int64(l.MaxID)},
		{"max_params", int64(l.MaxParams)},
		{"max_args", int64(l.MaxArgs)},
		{"max_value", int64(l.MaxValueBytes)},
		{"client_write", int64(l.ClientWriteTimeout)},
		{"client_first", int64(l.ClientFirstByteTimeout)},
		{"client_stall", int64(l.ClientStallTimeout)},
		{"client_send", int64(l.ClientRequestTimeout)},
		{"client_lull", int64(l.ClientIdleTimeoutUnderPressure)},
		{"client_idle", int64(l.ClientIdleTimeout)},
		{"connect", int64(l.ConnectTimeout)},
		{"node_idle", int64(l.NodeIdleTimeout)},
		{"answer_rest", int64(l.ResponseCompletionTimeout)},
		{"list_wait", int64(l.WatchTimeout)},
		{"list_grace", int64(l.WatchGracePeriod)},
		{"list_told", int64(l.NotificationDeadline)},
		{"max_object", l.MaxObjectBytes},
		{"object_buffer", int64(l.ObjectBufferBytes)},
		{"object_stall", int64(l.ObjectStallTimeout)},
	}
}
