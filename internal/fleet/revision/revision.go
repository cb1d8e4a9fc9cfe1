// Package revision orders the states of the platform's store. The store counts its changes, but a store that was restored from
// a copy counts on from the copy and gives the same numbers to other changes. It then has a new era.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a state of the store. The zero value is before all others.
type Revision struct {
	// Era is the number of the restores of the store before this state. It is zero for a store that names no era.
	Era uint64
	// Number counts the changes. Numbers of different eras say nothing of each other.
	Number uint64
}

// New returns the revision with a number of an era.
func New(era, number uint64) Revision {
	return Revision{Era: era, Number: number}
}

// WithNumber returns a revision of the same era.
func (r Revision) WithNumber(number uint64) Revision {
	return New(r.Era, number)
}

// Compare returns -1 if r is older than other, 1 if it is newer and 0 if they are the same. Each revision of a later era is newer
// than all of an earlier one.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// String returns the era and the number, as in "2/19".
func (r Revision) String() string {
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}
