// Package routing says which nodes stand for which shard, and which part of a large fleet one broker uses, so that its
// connections stay bounded. It does no I/O, and everybody who knows the same names comes to the same answer.
package routing

import (
	"cmp"
	"math"
	"slices"
)

// Node is a node as subsets see it.
type Node struct {
	ID     string
	Weight float64 // against the usual node; 0 counts as 1
}

func (n Node) weight() float64 {
	if n.Weight > 0 {
		return n.Weight
	}
	return 1
}

// hash mixes two names. It has to be the same at every broker and in every version.
func hash(a, b string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(a) {
		h = (h ^ uint64(a[i])) * 1099511628211
	}
	h = (h ^ 0xff) * 1099511628211
	for i := range len(b) {
		h = (h ^ uint64(b[i])) * 1099511628211
	}
	// FNV's upper bits are weak: mix them.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// score is a node's rank for a broker, the greater the better: -w/ln(u), so that the share of the brokers for which a node
// is best is that of its weight.
func score(broker string, n Node) float64 {
	u := (float64(hash(broker, n.ID)>>11) + 0.5) / (1 << 53)
	return -n.weight() / math.Log(u)
}

// Rendezvous is the k nodes that rank best for a broker: weighted rendezvous hashing. A node that comes or goes changes the
// subsets that it is in, by one place each, and no others. How often a node is picked varies as chance has it.
func Rendezvous(broker string, nodes []Node, k int) []string {
	type ranked struct {
		id string
		s  float64
	}
	list := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, ranked{n.ID, score(broker, n)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.s, a.s), cmp.Compare(a.id, b.id)) })
	var out []string
	for _, r := range list[:min(k, len(list))] {
		out = append(out, r.id)
	}
	slices.Sort(out)
	return out
}

// Rounds is deterministic subsetting by rounds of shuffles: brokers in groups of n/k share one shuffle of all nodes and each takes its
// piece. As even as can be, but a node that comes or goes changes every shuffle. It is here to be measured against.
func Rounds(brokers []string, nodes []Node, k int) map[string][]string {
	k = min(k, len(nodes))
	if k == 0 {
		return map[string][]string{}
	}
	per := max(len(nodes)/k, 1)
	out := make(map[string][]string, len(brokers))
	var shuffled []string
	for b, name := range brokers {
		if b%per == 0 {
			round := string(rune('a'+b/per%26)) + string(rune('0'+b/per/26))
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
		at := b % per * k
		out[name] = slices.Sorted(slices.Values(shuffled[at:min(at+k, len(shuffled))]))
	}
	return out
}
