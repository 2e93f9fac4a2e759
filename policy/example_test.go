package policy_test

import (
	"fmt"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/policy"
)

func Example() {
	s, err := policy.New(decision.Config{
		Brokers: 1, MaxAttempts: 2, MeanUnits: 2,
		Classes: []decision.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 4 * time.Second, PriorityWeight: 1}},
		Plans:   []decision.Plan{{Name: "basic", Weight: 1, PriceFactor: 1, UsualRate: 10, ReservedRate: 5}},
	})
	if err != nil {
		panic(err)
	}
	now := time.Hour // any clock that only advances
	acts := s.Step(now, []decision.Event{
		{Kind: decision.EndpointsReplaced, Endpoints: []decision.Endpoint{{Node: "node-1", Shard: 0}}},
		{Kind: decision.RequestArrived, ID: 7, Arrival: decision.Arrival{
			Volume: "v", Key: "k", Units: 2, Shard: 0, Brokers: 1, Deadline: now + 4*time.Second}},
	}, nil)
	for _, a := range acts {
		if a.Kind == decision.Forward {
			fmt.Println("send", a.ID, "to", a.Node, "for at most", a.After)
		}
	}
	// Output: send 7 to node-1 for at most 1s
}
