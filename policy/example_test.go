package policy_test

import (
	"fmt"
	"time"

	"poppyarch/internal/broker/decision"
	"poppyarch/policy"
)

func Example() {
	s, err := policy.New(decision.Config{
		Hosts: 1, MaxAttempts: 2, MeanUnits: 2,
		Classes: []decision.Class{{Name: "read", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
		Plans:   []decision.Plan{{Name: "basic", Weight: 1, Price: 1, Rate: 10, Reserve: 5}},
	})
	if err != nil {
		panic(err)
	}
	now := time.Hour // any clock that only advances
	acts := s.Step(now, []decision.Event{
		{Kind: decision.ListFull, Members: []decision.Member{{Node: "node-1", Shard: 0}}},
		{Kind: decision.Arrived, ID: 7, Arrival: decision.Arrival{
			Volume: "v", Key: "k", Units: 2, Shard: 0, Hosts: 1, Due: now + 4*time.Second}},
	}, nil)
	for _, a := range acts {
		if a.Kind == decision.Send {
			fmt.Println("send", a.ID, "to", a.Node, "for at most", a.After)
		}
	}
	// Output: send 7 to node-1 for at most 1s
}
