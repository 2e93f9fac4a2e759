package routing

import (
	"cmp"
	"math"
	"slices"
)

// pickSlack is the fraction by which Bounded may exceed a node's share of the picks.
const pickSlack = 0.1

// roundingMargin is added before a share is rounded up, so that floating-point error in a share that is a whole number
// does not change the result.
const roundingMargin = 1e-9

// Bounded is Rendezvous with a bound on how often a node is picked: its share of all picks plus a tenth, rounded up. A
// node goes to the brokers with the highest scores for it, and a broker that finds a node fully picked takes its next
// best. It needs the names of all brokers, and returns the subset of each.
func Bounded(brokers []string, nodes []Node, k int) map[string][]string {
	k = min(k, len(nodes))
	a := &assignment{brokers: brokers, nodes: nodes, capacity: capacities(len(brokers)*k, nodes)}
	for _, name := range brokers {
		a.rankings = append(a.rankings, rank(name, nodes))
	}
	a.picked = make([][]string, len(brokers))
	// All first choices are assigned before any second choice, so that no first choice loses to another broker's
	// second.
	for range k {
		a.pickOneEach()
	}
	subsets := make(map[string][]string, len(brokers))
	for b, name := range brokers {
		slices.Sort(a.picked[b])
		subsets[name] = a.picked[b]
	}
	return subsets
}

// capacities returns how often each node may be picked.
func capacities(picks int, nodes []Node) []int {
	total := 0.0
	for _, n := range nodes {
		total += n.weight()
	}
	capacity := make([]int, len(nodes))
	for i, n := range nodes {
		capacity[i] = int(math.Ceil(float64(picks)*n.weight()/total*(1+pickSlack) + roundingMargin))
	}
	return capacity
}

// ranking is one broker's order of preference. Nodes are identified by their index.
type ranking struct {
	scores []float64 // by node
	order  []int     // best node first
	next   int       // index in order of the next node to consider
}

func rank(broker string, nodes []Node) *ranking {
	r := &ranking{scores: make([]float64, len(nodes)), order: make([]int, len(nodes))}
	for i, n := range nodes {
		r.scores[i] = score(broker, n)
		r.order[i] = i
	}
	slices.SortFunc(r.order, func(x, y int) int {
		return cmp.Or(cmp.Compare(r.scores[y], r.scores[x]), cmp.Compare(nodes[x].ID, nodes[y].ID))
	})
	return r
}

// bestFree returns the best node that has capacity left.
func (r *ranking) bestFree(capacity []int) (node int, ok bool) {
	for r.next < len(r.order) && capacity[r.order[r.next]] == 0 {
		r.next++
	}
	if r.next == len(r.order) {
		return 0, false
	}
	return r.order[r.next], true
}

// assignment is the state of one call of Bounded. Brokers and nodes are identified by their index.
type assignment struct {
	brokers  []string
	nodes    []Node
	rankings []*ranking // by broker
	capacity []int      // remaining picks, by node
	picked   [][]string // by broker
}

// pickOneEach assigns one more node to every broker while there is capacity.
func (a *assignment) pickOneEach() {
	waiting := make([]int, len(a.brokers))
	for b := range a.brokers {
		waiting[b] = b
	}
	for len(waiting) > 0 {
		candidatesByNode := map[int][]int{} // brokers, by the node that they rank best
		for _, b := range waiting {
			if node, ok := a.rankings[b].bestFree(a.capacity); ok {
				candidatesByNode[node] = append(candidatesByNode[node], b)
			}
		}
		waiting = waiting[:0]
		for node, candidates := range candidatesByNode {
			waiting = append(waiting, a.grant(node, candidates)...)
		}
	}
}

// grant assigns a node to the candidates with the highest scores and returns the rejected candidates.
func (a *assignment) grant(node int, candidates []int) (rejected []int) {
	slices.SortFunc(candidates, func(x, y int) int {
		return cmp.Or(cmp.Compare(a.rankings[y].scores[node], a.rankings[x].scores[node]), cmp.Compare(a.brokers[x], a.brokers[y]))
	})
	granted := min(a.capacity[node], len(candidates))
	for _, b := range candidates[:granted] {
		a.rankings[b].next++
		a.picked[b] = append(a.picked[b], a.nodes[node].ID)
	}
	a.capacity[node] -= granted
	return candidates[granted:]
}
