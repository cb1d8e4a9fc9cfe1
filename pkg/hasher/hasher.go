// Package hasher orders nodes for a key by rendezvous hashing: every process with the same list
// finds the same order, and a node that comes or goes moves only the keys that it ranks first for.
package hasher

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Node is a candidate.
type Node struct {
	ID     string
	Domain string
}

// Rank returns the nodes for the key, best first, so that the first ones stand in distinct failure
// domains as far as there are any.
func Rank(key string, nodes []Node) []Node {
	scored := make([]scoredNode, 0, len(nodes))
	for _, n := range nodes {
		scored = append(scored, scoredNode{Node: n, score: Score(key, n.ID)})
	}
	sort.Slice(scored, func(i, j int) bool {
		if scored[i].score != scored[j].score {
			return scored[i].score > scored[j].score
		}
		return scored[i].ID < scored[j].ID
	})
	return spread(scored)
}

// Score returns the rendezvous score of a node for a key.
func Score(key, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

type scoredNode struct {
	Node
	score uint64
}

// spread moves the best node of each failure domain to the front, keeping the order otherwise.
func spread(scored []scoredNode) []Node {
	front := make([]Node, 0, len(scored))
	var rest []Node
	seen := make(map[string]bool)
	for _, s := range scored {
		if seen[s.Domain] {
			rest = append(rest, s.Node)
			continue
		}
		seen[s.Domain] = true
		front = append(front, s.Node)
	}
	return append(front, rest...)
}
