package rules

import (
	"slices"

	"poppyarch/internal/lab/history"
)

// orderKey identifies requests that a broker must run one at a time, in the order of their arrival.
type orderKey struct {
	broker int32
	class  int32
	key    uint64
}

// keyQueue is the open requests of a key, in the order of their arrival.
type keyQueue struct {
	requests     []uint64
	unknownSince int64 // end of the latest attempt whose outcome is unknown; 0 if there is none
}

func orderKeyOf(q *request) orderKey {
	return orderKey{broker: q.received.Broker, class: q.received.Class, key: q.received.Key}
}

// keyQueueOf returns the queue of a request's key, or nil if its class is not ordered.
func (c *Checker) keyQueueOf(q *request) *keyQueue {
	if !c.settings.Classes[q.received.Class].Ordered {
		return nil
	}
	return c.keys[orderKeyOf(q)]
}

func (c *Checker) enqueueKey(q *request) {
	if !c.settings.Classes[q.received.Class].Ordered {
		return
	}
	key := orderKeyOf(q)
	if c.keys[key] == nil {
		c.keys[key] = &keyQueue{}
	}
	c.keys[key].requests = append(c.keys[key].requests, q.received.Request)
}

func (c *Checker) dequeueKey(q *request) {
	k := c.keyQueueOf(q)
	if k == nil {
		return
	}
	if i := slices.Index(k.requests, q.received.Request); i >= 0 {
		k.requests = slices.Delete(k.requests, i, i+1)
	}
	quiet := k.unknownSince == 0 || c.now >= k.unknownSince+c.settings.KeyQuietTime
	if len(k.requests) == 0 && quiet {
		delete(c.keys, orderKeyOf(q))
	}
}

// checkOrder checks the first attempt of an ordered request.
func (c *Checker) checkOrder(q *request, r *history.Record) {
	k := c.keyQueueOf(q)
	if k == nil || len(q.attempts) > 0 {
		return
	}
	if k.requests[0] != r.Request {
		c.violate(ruleOrder, r, "sent while request %x of its key is open", k.requests[0])
	}
	quiet := c.settings.KeyQuietTime
	if quiet > 0 && k.unknownSince > 0 && r.At < k.unknownSince+quiet {
		c.violate(ruleOrder, r, "sent %d us after an attempt of its key with an open end", r.At-k.unknownSince)
	}
}
