package main

import (
	"fmt"
	"math"

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

func compareSubsets() {
	const k = 20
	fmt.Println("| nodes | brokers | way | picks of the most picked, against the mean | not picked at all | deviation, against the mean | connections moved at 1 % of the nodes removed, besides theirs | at 20 % |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, x := range []struct{ nodes, brokers int }{{100, 40}, {1000, 200}, {10000, 400}} {
		b := subsetBrokers(x.brokers)
		for _, way := range []struct {
			name string
			f    func([]string, []routing.Node, int) map[string][]string
		}{{"rounds of shuffles", routing.Rounds}, {"weighted rendezvous", rendezvous}, {"weighted rendezvous, bounded", routing.Bounded}} {
			before := way.f(b, subsetNodes(x.nodes, 0), k)
			count := map[string]float64{}
			total := 0.0
			for _, list := range before {
				for _, id := range list {
					count[id]++
					total++
				}
			}
			mean := total / float64(x.nodes)
			var all []float64
			most := 0.0
			for _, n := range subsetNodes(x.nodes, 0) {
				all = append(all, count[n.ID])
				most = math.Max(most, count[n.ID])
			}
			none := 0
			for _, v := range all {
				if v == 0 {
					none++
				}
			}
			_, dev := stat.MeanStdDev(all, nil)
			var moved []string
			for _, share := range []float64{0.01, 0.2} {
				gone := int(share * float64(x.nodes))
				after := way.f(b, subsetNodes(x.nodes, gone), k)
				lost := map[string]bool{}
				for _, n := range subsetNodes(x.nodes, 0)[:gone] {
					lost[n.ID] = true
				}
				n := 0
				for name, list := range before {
					now := map[string]bool{}
					for _, id := range after[name] {
						now[id] = true
					}
					for _, id := range list {
						if !now[id] && !lost[id] {
							n++
						}
					}
				}
				moved = append(moved, fmt.Sprintf("%.1f %%", 100*float64(n)/total))
			}
			fmt.Printf("| %d | %d | %s | %.2f | %.1f %% | %.2f | %s | %s |\n", x.nodes, x.brokers, way.name, most/mean, 100*float64(none)/float64(x.nodes), dev/mean,
				moved[0], moved[1])
		}
	}
}
