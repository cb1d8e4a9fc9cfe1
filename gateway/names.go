package gateway

import "slices"

// sortedUnique sorts names and drops repetitions.
func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
