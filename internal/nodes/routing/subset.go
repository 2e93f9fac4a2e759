// Package routing maps shards to the nodes that hold them, and selects the subset of a large fleet that one broker
// uses, so that its number of connections stays bounded. It does no I/O, and its results depend on the given names
// only, so that all brokers compute the same results.
package routing

import (
	"cmp"
	"math"
	"slices"
)

// Node is a storage node that a subset may contain.
type Node struct {
	ID     string
	Weight float64 // relative to a typical node; 0 counts as 1
}

func (n Node) weight() float64 {
	if n.Weight > 0 {
		return n.Weight
	}
	return 1
}

// hash combines two names. It must be the same in every broker and in every version.
func hash(a, b string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(a) {
		h = (h ^ uint64(a[i])) * 1099511628211
	}
	h = (h ^ 0xff) * 1099511628211
	for i := range len(b) {
		h = (h ^ uint64(b[i])) * 1099511628211
	}
	// The upper bits of an FNV hash are poorly distributed: mix them.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// score rates a node for a broker; higher is better. It is -w/ln(u), so that the share of brokers for which a node is
// best is proportional to its weight.
func score(broker string, n Node) float64 {
	u := (float64(hash(broker, n.ID)>>11) + 0.5) / (1 << 53)
	return -n.weight() / math.Log(u)
}

// Rendezvous returns the k nodes with the highest scores for a broker, by weighted rendezvous hashing. An added or
// removed node changes only the subsets that contain it, by one node each. How often a node is picked varies randomly.
func Rendezvous(broker string, nodes []Node, k int) []string {
	type ranked struct {
		id    string
		score float64
	}
	list := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, ranked{n.ID, score(broker, n)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id)) })
	var out []string
	for _, r := range list[:min(k, len(list))] {
		out = append(out, r.id)
	}
	slices.Sort(out)
	return out
}

// ShuffledRounds is deterministic subsetting in rounds: a group of n/k brokers shares one shuffle of all n nodes, and
// each broker takes a slice of k nodes. The picks are as even as possible, but an added or removed node changes every
// shuffle. It serves as a baseline for comparison.
func ShuffledRounds(brokers []string, nodes []Node, k int) map[string][]string {
	k = min(k, len(nodes))
	if k == 0 {
		return map[string][]string{}
	}
	brokersPerRound := max(len(nodes)/k, 1)
	out := make(map[string][]string, len(brokers))
	var shuffled []string
	for b, name := range brokers {
		if b%brokersPerRound == 0 {
			round := string(rune('a'+b/brokersPerRound%26)) + string(rune('0'+b/brokersPerRound/26))
			shuffled = make([]string, len(nodes))
			for i, n := range nodes {
				shuffled[i] = n.ID
			}
			slices.Sort(shuffled)
			seed := hash("round", round)
			for i := len(shuffled) - 1; i > 0; i-- {
				seed = seed*6364136223846793005 + 1442695040888963407
				j := int(seed>>33) % (i + 1)
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			}
		}
		start := b % brokersPerRound * k
		out[name] = slices.Sorted(slices.Values(shuffled[start:min(start+k, len(shuffled))]))
	}
	return out
}
