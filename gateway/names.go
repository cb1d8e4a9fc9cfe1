package gateway

import "slices"

// sortedUnique sorts names and removes duplicates. It changes the slice.
func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
