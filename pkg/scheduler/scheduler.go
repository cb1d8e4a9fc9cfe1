// Package scheduler orders waiting work: interactive before drafts, and weighted
// fair among client accounts inside each class.
package scheduler

import (
	"container/heap"
	"slices"
)

// Class is a priority class; a lower class is always served first.
type Class uint8

// The classes of waiting work.
const (
	Interactive Class = iota
	Draft
	classes
)

const (
	// lagItems is how many mean items an account may save up.
	lagItems = 16
	// meanOver is how many items the running mean of costs looks back over.
	meanOver = 64
)

// Scheduler is a two-class start-time fair queue. It is not safe for concurrent use.
type Scheduler[T any] struct {
	lanes [classes]lane[T]
}

// lane is the fair queue of one class.
type lane[T any] struct {
	flows map[string]*flow[T]
	ready flowHeap[T]
	// vtime is the start tag of the item served last; it never falls.
	vtime float64
	// length counts the items of all flows.
	length int
	// mean is the running mean of the items' costs.
	mean float64
}

// flow holds the waiting items of one client account.
type flow[T any] struct {
	account string
	// start is the virtual start tag of the first item; meaningful while items wait.
	start float64
	// finish is the virtual finish tag of the item served last.
	finish float64
	// resume is the start tag after the items that were put back have been served.
	resume float64
	items  []entry[T]
	index  int
}

type entry[T any] struct {
	id   uint64
	cost float64
	item T
	// returned marks an item that was put back; its cost was charged when it was popped first.
	returned bool
	// yields marks an item that lets all other items of its account go first.
	yields bool
}

// New returns an empty scheduler.
func New[T any]() *Scheduler[T] {
	s := &Scheduler[T]{}
	for i := range s.lanes {
		s.lanes[i].flows = make(map[string]*flow[T])
	}
	return s
}

// Len returns how many items of a class wait.
func (s *Scheduler[T]) Len(c Class) int {
	return s.lanes[c].length
}

// Push adds an item behind those of its account, but for those that yield; cost is its work divided by the account's weight.
func (s *Scheduler[T]) Push(c Class, account string, id uint64, cost float64, item T) {
	s.lanes[c].push(account, entry[T]{id: id, cost: cost, item: item})
}

// PushYielding adds an item that lets all other items of its account go first.
func (s *Scheduler[T]) PushYielding(c Class, account string, id uint64, cost float64, item T) {
	s.lanes[c].push(account, entry[T]{id: id, cost: cost, item: item, yields: true})
}

// PushFront puts an item that was popped before back at the head of its account's queue
// without charging the account a second time.
func (s *Scheduler[T]) PushFront(c Class, account string, id uint64, item T) {
	l := &s.lanes[c]
	f := l.flow(account)
	waiting := len(f.items) > 0
	if !waiting {
		f.resume = f.finish
	} else if !f.items[0].returned {
		f.resume = f.start
	}
	f.items = append([]entry[T]{{id: id, item: item, returned: true}}, f.items...)
	f.start = l.vtime
	l.length++
	if waiting {
		heap.Fix(&l.ready, f.index)
		return
	}
	heap.Push(&l.ready, f)
}

// Peek returns the item that Pop would return; ok is false when nothing waits.
func (s *Scheduler[T]) Peek() (item T, class Class, ok bool) {
	for c := range s.lanes {
		if s.lanes[c].length > 0 {
			return s.lanes[c].ready[0].items[0].item, Class(c), true
		}
	}
	return item, 0, false
}

// Pop removes the next item; ok is false when nothing waits.
func (s *Scheduler[T]) Pop() (item T, ok bool) {
	for c := range s.lanes {
		if s.lanes[c].length > 0 {
			return s.lanes[c].pop(), true
		}
	}
	return item, false
}

// Remove takes a waiting item out; ok is false when it does not wait.
func (s *Scheduler[T]) Remove(c Class, account string, id uint64) (ok bool) {
	l := &s.lanes[c]
	f, found := l.flows[account]
	if !found {
		return false
	}
	for i := range f.items {
		if f.items[i].id == id {
			l.remove(f, i)
			return true
		}
	}
	return false
}

// Each calls visit for every waiting item, in no particular order.
func (s *Scheduler[T]) Each(visit func(T)) {
	for c := range s.lanes {
		for _, f := range s.lanes[c].ready {
			for i := range f.items {
				visit(f.items[i].item)
			}
		}
	}
}

// lag is the service that an account may save up while it sends less than its share, so that one large request of
// a small account does not keep its next ones waiting past their deadlines.
func (l *lane[T]) lag() float64 {
	return lagItems * l.mean
}

func (l *lane[T]) flow(account string) *flow[T] {
	f, ok := l.flows[account]
	if !ok {
		f = &flow[T]{account: account}
		l.flows[account] = f
	}
	return f
}

func (l *lane[T]) push(account string, e entry[T]) {
	f := l.flow(account)
	at := len(f.items)
	for !e.yields && at > 0 && f.items[at-1].yields && !f.items[at-1].returned {
		at--
	}
	f.items = slices.Insert(f.items, at, e)
	l.length++
	l.mean += (e.cost - l.mean) / meanOver
	if len(f.items) == 1 {
		f.start = max(f.finish, l.vtime-l.lag())
		heap.Push(&l.ready, f)
		return
	}
	heap.Fix(&l.ready, f.index)
}

func (l *lane[T]) pop() T {
	f := l.ready[0]
	first := f.items[0]
	l.vtime = max(l.vtime, f.start)
	if !first.returned {
		f.finish = f.start + first.cost
	}
	l.remove(f, 0)
	return first.item
}

// remove deletes item i of f and restores the heap; an idle flow that owes nothing is forgotten.
func (l *lane[T]) remove(f *flow[T], i int) {
	returned := f.items[i].returned
	f.items = append(f.items[:i], f.items[i+1:]...)
	l.length--
	if len(f.items) > 0 {
		switch {
		case f.items[0].returned:
		case returned:
			f.start = max(f.resume, f.finish)
		default:
			f.start = max(f.start, f.finish)
		}
		heap.Fix(&l.ready, f.index)
		return
	}
	heap.Remove(&l.ready, f.index)
	if f.finish <= l.vtime-l.lag() {
		delete(l.flows, f.account)
	}
	if len(l.ready) == 0 {
		clear(l.flows)
	}
}

// flowHeap orders flows by their start tags, ties by the age of their first items.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].items[0].id < h[j].items[0].id
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is called by container/heap only.
func (h *flowHeap[T]) Push(x any) {
	f, _ := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop is called by container/heap only.
func (h *flowHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
