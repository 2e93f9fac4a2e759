package main

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"poppyarch/internal/nodes/routing"
)

// subsetNodes are n of them, without the first so many.
func subsetNodes(n, without int) (out []routing.Node) {
	for k := without; k < n; k++ {
		out = append(out, routing.Node{ID: fmt.Sprintf("node-%05d", k), Weight: 1})
	}
	return out
}

func subsetBrokers(n int) (out []string) {
	for k := range n {
		out = append(out, fmt.Sprintf("broker-%03d", k))
	}
	return out
}

func rendezvous(b []string, n []routing.Node, k int) map[string][]string {
	out := map[string][]string{}
	for _, name := range b {
		out[name] = routing.Rendezvous(name, n, k)
	}
	return out
}

// subsetCommand holds ways to give each broker a part of a fleet of nodes against each other: how unevenly nodes are picked,
// and how many connections move when nodes change.
func subsetCommand() *cobra.Command {
	return &cobra.Command{Use: "subset", Short: "compare ways to give each broker a part of the nodes",
		Run: func(*cobra.Command, []string) { compareSubsets() }}
}

// subsetSize is how many nodes each broker gets.
const subsetSize = 20

// subsetWay is a way to give each broker a part of the nodes.
type subsetWay struct {
	name string
	pick func(brokers []string, nodes []routing.Node, size int) map[string][]string
}

var subsetWays = []subsetWay{
	{"rounds of shuffles", routing.Rounds},
	{"weighted rendezvous", rendezvous},
	{"weighted rendezvous, bounded", routing.Bounded},
}

func compareSubsets() {
	fmt.Println("| nodes | brokers | way | picks of the most picked, against the mean | not picked at all | deviation, against the mean | connections moved at 1 % of the nodes removed, besides theirs | at 20 % |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ nodes, brokers int }{{100, 40}, {1000, 200}, {10000, 400}} {
		for _, way := range subsetWays {
			fmt.Println(way.measure(size.nodes, size.brokers))
		}
	}
}

// measure returns a row of the table.
func (w subsetWay) measure(nodes, brokers int) string {
	names := subsetBrokers(brokers)
	before := w.pick(names, subsetNodes(nodes, 0), subsetSize)
	picks := countPicks(before, nodes)
	mean := stat.Mean(picks, nil)
	_, deviation := stat.MeanStdDev(picks, nil)
	unpicked := 0
	for _, n := range picks {
		if n == 0 {
			unpicked++
		}
	}
	total := mean * float64(nodes)
	var moved [2]float64
	for i, share := range []float64{0.01, 0.2} {
		removed := int(share * float64(nodes))
		after := w.pick(names, subsetNodes(nodes, removed), subsetSize)
		moved[i] = 100 * float64(countMoved(before, after, removed, nodes)) / total
	}
	return fmt.Sprintf("| %d | %d | %s | %.2f | %.1f %% | %.2f | %.1f %% | %.1f %% |", nodes, brokers, w.name, slices.Max(picks)/mean,
		100*float64(unpicked)/float64(nodes), deviation/mean, moved[0], moved[1])
}

// countPicks returns how often each node is picked.
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

// countMoved counts the picks that are gone though their nodes are not among the removed ones.
func countMoved(before, after map[string][]string, removed, nodes int) int {
	gone := map[string]bool{}
	for _, n := range subsetNodes(nodes, 0)[:removed] {
		gone[n.ID] = true
	}
	moved := 0
	for broker, subset := range before {
		for _, id := range subset {
			if !gone[id] && !slices.Contains(after[broker], id) {
				moved++
			}
		}
	}
	return moved
}
