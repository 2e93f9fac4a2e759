package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"poppyarch/internal/nodes/routing"
)

// subsetNodes returns n nodes of which the first ones are removed.
func subsetNodes(n, removed int) (nodes []routing.Node) {
	for k := removed; k < n; k++ {
		nodes = append(nodes, routing.Node{ID: fmt.Sprintf("node-%05d", k), Weight: 1})
	}
	return nodes
}

func subsetBrokers(n int) (names []string) {
	for k := range n {
		names = append(names, fmt.Sprintf("broker-%03d", k))
	}
	return names
}

// rendezvous assigns nodes to each broker by weighted rendezvous hashing.
func rendezvous(brokers []string, nodes []routing.Node, size int) map[string][]string {
	subsets := map[string][]string{}
	for _, name := range brokers {
		subsets[name] = routing.Rendezvous(name, nodes, size)
	}
	return subsets
}

// subsetCommand compares algorithms that assign a subset of the nodes to each broker: how evenly nodes are used, and
// how many connections move when nodes are removed.
func subsetCommand() *cobra.Command {
	return &cobra.Command{Use: "subset", Short: "compare algorithms that assign a subset of the nodes to each broker",
		Run: func(*cobra.Command, []string) { compareSubsets() }}
}

// subsetSize is the number of nodes assigned to each broker.
const subsetSize = 20

// subsetAlgorithm assigns a subset of the nodes to each broker.
type subsetAlgorithm struct {
	name   string
	assign func(brokers []string, nodes []routing.Node, size int) map[string][]string
}

var subsetAlgorithms = []subsetAlgorithm{
	{"rounds of shuffles", routing.ShuffledRounds},
	{"weighted rendezvous", rendezvous},
	{"weighted rendezvous, bounded", routing.Bounded},
}

func compareSubsets() {
	fmt.Println("| nodes | brokers | way | picks of the most picked, against the mean | not picked at all | deviation, against the mean | connections moved at 1 % of the nodes removed, besides theirs | at 20 % |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ nodes, brokers int }{{100, 40}, {1000, 200}, {10000, 400}} {
		for _, algorithm := range subsetAlgorithms {
			fmt.Println(algorithm.measure(size.nodes, size.brokers))
		}
	}
}

// measure returns the algorithm's row of the table.
func (a subsetAlgorithm) measure(nodes, brokers int) string {
	names := subsetBrokers(brokers)
	before := a.assign(names, subsetNodes(nodes, 0), subsetSize)
	picks := countPicks(before, nodes)
	mean := stat.Mean(picks, nil)
	_, deviation := stat.MeanStdDev(picks, nil)
	unpicked := 0
	for _, n := range picks {
		if n == 0 {
			unpicked++
		}
	}
	connections := mean * float64(nodes)
	var moved [2]float64
	for i, share := range []float64{0.01, 0.2} {
		removed := int(share * float64(nodes))
		after := a.assign(names, subsetNodes(nodes, removed), subsetSize)
		moved[i] = 100 * float64(countMoved(before, after, removed, nodes)) / connections
	}
	return fmt.Sprintf("| %d | %d | %s | %.2f | %.1f %% | %.2f | %.1f %% | %.1f %% |", nodes, brokers, a.name, slices.Max(picks)/mean,
		100*float64(unpicked)/float64(nodes), deviation/mean, moved[0], moved[1])
}

// countPicks returns the number of brokers that each node is assigned to.
func countPicks(subsets map[string][]string, nodes int) []float64 {
	count := map[string]float64{}
	for _, subset := range subsets {
		for _, id := range subset {
			count[id]++
		}
	}
	picks := make([]float64, 0, nodes)
	for _, n := range subsetNodes(nodes, 0) {
		picks = append(picks, count[n.ID])
	}
	return picks
}

// countMoved returns the number of assignments that no longer exist although their node was not removed.
func countMoved(before, after map[string][]string, removed, nodes int) int {
	isRemoved := map[string]bool{}
	for _, n := range subsetNodes(nodes, 0)[:removed] {
		isRemoved[n.ID] = true
	}
	moved := 0
	for broker, subset := range before {
		for _, id := range subset {
			if !isRemoved[id] && !slices.Contains(after[broker], id) {
				moved++
			}
		}
	}
	return moved
}
