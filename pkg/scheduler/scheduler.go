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
	classCount
)

const (
	// maxCreditItems is how many mean items an account may save up.
	maxCreditItems = 16
	// meanCostItems is how many items the running mean of costs looks back over.
	meanCostItems = 64
)

// Scheduler is a two-class start-time fair queue. It is not safe for concurrent use.
type Scheduler[T any] struct {
	queues [classCount]classQueue[T]
}

// classQueue is the fair queue of one class.
type classQueue[T any] struct {
	flows      map[string]*flow[T]
	backlogged flowHeap[T]
	// virtualTime is the start tag of the item served last; it never falls.
	virtualTime float64
	// itemCount counts the items of all flows.
	itemCount int
	// meanCost is the running mean of the items' costs.
	meanCost float64
}

// flow holds the waiting items of one client account.
type flow[T any] struct {
	account string
	// startTag is the virtual start tag of the first item; meaningful while items wait.
	startTag float64
	// finishTag is the virtual finish tag of the item served last.
	finishTag float64
	// resumeTag is the start tag after the items that were put back have been served.
	resumeTag float64
	items     []entry[T]
	heapIndex int
}

type entry[T any] struct {
	id   uint64
	cost float64
	item T
	// requeued marks an item that was put back; its cost was charged when it was popped first.
	requeued bool
	// yields marks an item that lets all other items of its account go first.
	yields bool
}

// New returns an empty scheduler.
func New[T any]() *Scheduler[T] {
	s := &Scheduler[T]{}
	for i := range s.queues {
		s.queues[i].flows = make(map[string]*flow[T])
	}
	return s
}

// Len returns how many items of a class wait.
func (s *Scheduler[T]) Len(c Class) int {
	return s.queues[c].itemCount
}

// Push adds an item behind those of its account, but for those that yield; cost is its work divided by the account's weight.
func (s *Scheduler[T]) Push(c Class, account string, id uint64, cost float64, item T) {
	s.queues[c].push(account, entry[T]{id: id, cost: cost, item: item})
}

// PushYielding adds an item that lets all other items of its account go first.
func (s *Scheduler[T]) PushYielding(c Class, account string, id uint64, cost float64, item T) {
	s.queues[c].push(account, entry[T]{id: id, cost: cost, item: item, yields: true})
}

// PushFront puts an item that was popped before back at the head of its account's queue
// without charging the account a second time.
func (s *Scheduler[T]) PushFront(c Class, account string, id uint64, item T) {
	q := &s.queues[c]
	f := q.flow(account)
	waiting := len(f.items) > 0
	if !waiting {
		f.resumeTag = f.finishTag
	} else if !f.items[0].requeued {
		f.resumeTag = f.startTag
	}
	f.items = append([]entry[T]{{id: id, item: item, requeued: true}}, f.items...)
	f.startTag = q.virtualTime
	q.itemCount++
	if waiting {
		heap.Fix(&q.backlogged, f.heapIndex)
		return
	}
	heap.Push(&q.backlogged, f)
}

// Peek returns the item that Pop would return; ok is false when nothing waits.
func (s *Scheduler[T]) Peek() (item T, class Class, ok bool) {
	for c := range s.queues {
		if s.queues[c].itemCount > 0 {
			return s.queues[c].backlogged[0].items[0].item, Class(c), true
		}
	}
	return item, 0, false
}

// Pop removes the next item; ok is false when nothing waits.
func (s *Scheduler[T]) Pop() (item T, ok bool) {
	for c := range s.queues {
		if s.queues[c].itemCount > 0 {
			return s.queues[c].pop(), true
		}
	}
	return item, false
}

// Remove takes a waiting item out; ok is false when it does not wait.
func (s *Scheduler[T]) Remove(c Class, account string, id uint64) (ok bool) {
	q := &s.queues[c]
	f, found := q.flows[account]
	if !found {
		return false
	}
	for i := range f.items {
		if f.items[i].id == id {
			q.remove(f, i)
			return true
		}
	}
	return false
}

// Each calls visit for every waiting item, in no particular order.
func (s *Scheduler[T]) Each(visit func(T)) {
	for c := range s.queues {
		for _, f := range s.queues[c].backlogged {
			for i := range f.items {
				visit(f.items[i].item)
			}
		}
	}
}

// maxCredit is the service that an account may save up while it sends less than its share, so that one large request of
// a small account does not keep its next ones waiting past their deadlines.
func (q *classQueue[T]) maxCredit() float64 {
	return maxCreditItems * q.meanCost
}

func (q *classQueue[T]) flow(account string) *flow[T] {
	f, ok := q.flows[account]
	if !ok {
		f = &flow[T]{account: account}
		q.flows[account] = f
	}
	return f
}

func (q *classQueue[T]) push(account string, e entry[T]) {
	f := q.flow(account)
	at := len(f.items)
	for !e.yields && at > 0 && f.items[at-1].yields && !f.items[at-1].requeued {
		at--
	}
	f.items = slices.Insert(f.items, at, e)
	q.itemCount++
	q.meanCost += (e.cost - q.meanCost) / meanCostItems
	if len(f.items) == 1 {
		f.startTag = max(f.finishTag, q.virtualTime-q.maxCredit())
		heap.Push(&q.backlogged, f)
		return
	}
	heap.Fix(&q.backlogged, f.heapIndex)
}

func (q *classQueue[T]) pop() T {
	f := q.backlogged[0]
	first := f.items[0]
	q.virtualTime = max(q.virtualTime, f.startTag)
	if !first.requeued {
		f.finishTag = f.startTag + first.cost
	}
	q.remove(f, 0)
	return first.item
}

// remove deletes item i of f and restores the heap; an idle flow that owes nothing is forgotten.
func (q *classQueue[T]) remove(f *flow[T], i int) {
	returned := f.items[i].requeued
	f.items = append(f.items[:i], f.items[i+1:]...)
	q.itemCount--
	if len(f.items) > 0 {
		switch {
		case f.items[0].requeued:
		case returned:
			f.startTag = max(f.resumeTag, f.finishTag)
		default:
			f.startTag = max(f.startTag, f.finishTag)
		}
		heap.Fix(&q.backlogged, f.heapIndex)
		return
	}
	heap.Remove(&q.backlogged, f.heapIndex)
	if f.finishTag <= q.virtualTime-q.maxCredit() {
		delete(q.flows, f.account)
	}
	if len(q.backlogged) == 0 {
		clear(q.flows)
	}
}

// flowHeap orders flows by their start tags, ties by the age of their first items.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].items[0].id < h[j].items[0].id
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push is called by container/heap only.
func (h *flowHeap[T]) Push(x any) {
	f, _ := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop is called by container/heap only.
func (h *flowHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
