package policy_test

import (
	"fmt"
	"time"

	"poppyarch/policy"
)

func Example() {
	s, err := policy.New(policy.Config{
		Hosts: 1, MaxAttempts: 2, MeanUnits: 2,
		Classes: []policy.Class{{Name: "read", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1}},
		Plans:   []policy.Plan{{Name: "basic", Weight: 1, Price: 1, Rate: 10, Reserve: 5}},
	})
	if err != nil {
		panic(err)
	}
	now := time.Hour // any clock that only advances
	acts := s.Step(now, []policy.Event{
		{Kind: policy.ListFull, Members: []policy.Member{{Node: "node-1", Shard: 0}}},
		{Kind: policy.Arrived, ID: 7, Arrival: policy.Arrival{
			Volume: "v", Key: "k", Units: 2, Shard: 0, Hosts: 1, Due: now + 4*time.Second}},
	}, nil)
	for _, a := range acts {
		if a.Kind == policy.Send {
			fmt.Println("send", a.ID, "to", a.Node, "for at most", a.After)
		}
	}
	// Output: send 7 to node-1 for at most 1s
}
