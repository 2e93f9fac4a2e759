package routing

import (
	"cmp"
	"math"
	"slices"
)

// pickSlack is how much more often than its share Bounded may pick a node.
const pickSlack = 0.1

// rounding keeps a share that is a whole number from being rounded up by floating-point error.
const rounding = 1e-9

// Bounded is Rendezvous with a bound on how often a node is picked: its share of all picks and a tenth, rounded up. Brokers
// are served in the order of their scores, and one that finds a node full takes its next best. It needs the names of all
// brokers, and returns the subsets of all.
func Bounded(brokers []string, nodes []Node, k int) map[string][]string {
	k = min(k, len(nodes))
	a := &assignment{brokers: brokers, nodes: nodes, capacity: capacities(len(brokers)*k, nodes)}
	for _, name := range brokers {
		a.rankings = append(a.rankings, rank(name, nodes))
	}
	a.picked = make([][]string, len(brokers))
	// All brokers' first choices, then all their second ones, so that nobody's first choice loses to another's second.
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
		capacity[i] = int(math.Ceil(float64(picks)*n.weight()/total*(1+pickSlack) + rounding))
	}
	return capacity
}

// ranking is one broker's order of preference. Nodes go by their positions.
type ranking struct {
	scores []float64 // by node
	order  []int     // the best node first
	next   int       // in order
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

// assignment is the state of one Bounded. Brokers and nodes go by their positions.
type assignment struct {
	brokers  []string
	nodes    []Node
	rankings []*ranking // by broker
	capacity []int      // by node, what is left
	picked   [][]string // by broker
}

// pickOneEach gives every broker one more node, as long as there is capacity.
func (a *assignment) pickOneEach() {
	waiting := make([]int, len(a.brokers))
	for b := range a.brokers {
		waiting[b] = b
	}
	for len(waiting) > 0 {
		requests := map[int][]int{} // brokers by the node that they ask for
		for _, b := range waiting {
			if node, ok := a.rankings[b].bestFree(a.capacity); ok {
				requests[node] = append(requests[node], b)
			}
		}
		waiting = waiting[:0]
		for node, candidates := range requests {
			waiting = append(waiting, a.grant(node, candidates)...)
		}
	}
}

// grant gives a node to the candidates with the highest scores and returns those that got none.
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
