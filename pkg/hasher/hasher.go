// Package hasher orders nodes for a key by rendezvous hashing. Every process with the same list of nodes computes the
// same order. A key gets another first node only when its first node is removed or an added node takes its place.
package hasher

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that keys can be assigned to.
type Node struct {
	// ID is unique among the nodes.
	ID string
	// Domain is the failure domain of the node.
	Domain string
}

// Rank returns all nodes in their order for the key, the preferred one first. The preferred node of each failure domain
// is at the front, so that the first nodes are in different domains; the other nodes follow. Each of these two parts is
// in descending order of score.
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

// Score returns the score of a node for a key. The node with the highest score is preferred.
func Score(key, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// scoredNode is a node with its score for the key.
type scoredNode struct {
	Node
	score uint64
}

// spread moves the first node of each failure domain to the front and keeps the order otherwise.
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
