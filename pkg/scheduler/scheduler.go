// Package scheduler is a priority queue that is fair among client accounts. Interactive items are served before drafts.
// Within each of these two classes, accounts are served by start-time fair queuing: each account gets service in
// proportion to its weight, measured by the cost of its items.
package scheduler

import (
	"container/heap"
	"slices"
)

// Class is a priority class. Items of a lower-numbered class are always served first.
type Class uint8

// The priority classes, in the order in which they are served. A draft is an item that can wait.
const (
	Interactive Class = iota
	Draft
	classCount
)

const (
	// maxCreditItems limits the unused service that is credited to an account, as a number of items of mean cost; see
	// maxCredit.
	maxCreditItems = 16
	// meanCostItems is the number of latest items over which the running mean of item costs roughly extends: each new
	// item has the weight 1/meanCostItems.
	meanCostItems = 64
)

// Scheduler holds one fair queue for each class. It is not safe for concurrent use.
type Scheduler[T any] struct {
	queues [classCount]classQueue[T]
}

// classQueue is the start-time fair queue of one class.
type classQueue[T any] struct {
	// flows holds the flow of each account, by account name. A flow without items stays only while its finish tag may
	// still delay the account's next item.
	flows map[string]*flow[T]
	// backlogged holds the flows that have items.
	backlogged flowHeap[T]
	// virtualTime is the highest start tag of any item served so far; it never decreases.
	virtualTime float64
	// itemCount is the number of items in all flows.
	itemCount int
	// meanCost is the running mean of the costs of pushed items.
	meanCost float64
}

// flow holds the queued items of one client account. Its tags are points in virtual time, in units of item cost.
type flow[T any] struct {
	account string
	// startTag is the start tag of the first item: the flow with the lowest one is served next. It is valid only while
	// the flow has items.
	startTag float64
	// finishTag is the start tag plus the cost of the item that was served last.
	finishTag float64
	// resumeTag is the start tag of the first item behind the requeued ones. It keeps the account's earlier charges in
	// effect while requeued items are at the head.
	resumeTag float64
	// items is in the order of service within the account.
	items []entry[T]
	// heapIndex is the position in classQueue.backlogged. It is valid only while the flow has items.
	heapIndex int
}

// entry is one queued item.
type entry[T any] struct {
	id uint64
	// cost is what serving the item adds to the account's finish tag.
	cost float64
	item T
	// requeued is set on an item that PushFront put back. Its cost was charged when it was first popped.
	requeued bool
	// yields is set on an item that is served after all non-yielding items of its account.
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

// Len returns the number of queued items of a class, over all accounts.
func (s *Scheduler[T]) Len(c Class) int {
	return s.queues[c].itemCount
}

// Push adds an item to its account's queue: behind the items that are queued already, but before those that were added
// by PushYielding. The cost is the item's work divided by the account's weight; all items of a class must use the same
// unit of work. The id must be unique within the account and class; between accounts with equal start tags, the lower
// id is served first.
func (s *Scheduler[T]) Push(c Class, account string, id uint64, cost float64, item T) {
	s.queues[c].push(account, entry[T]{id: id, cost: cost, item: item})
}

// PushYielding adds an item that is served after all items of its account that do not yield, including those that are
// pushed later. The account's share among other accounts is not affected.
func (s *Scheduler[T]) PushYielding(c Class, account string, id uint64, cost float64, item T) {
	s.queues[c].push(account, entry[T]{id: id, cost: cost, item: item, yields: true})
}

// PushFront puts an item that was popped earlier back at the head of its account's queue. The account is not charged a
// second time.
func (s *Scheduler[T]) PushFront(c Class, account string, id uint64, item T) {
	q := &s.queues[c]
	f := q.flow(account)
	hadItems := len(f.items) > 0
	if !hadItems {
		f.resumeTag = f.finishTag
	} else if !f.items[0].requeued {
		f.resumeTag = f.startTag
	}
	f.items = append([]entry[T]{{id: id, item: item, requeued: true}}, f.items...)
	f.startTag = q.virtualTime
	q.itemCount++
	if hadItems {
		heap.Fix(&q.backlogged, f.heapIndex)
		return
	}
	heap.Push(&q.backlogged, f)
}

// Peek returns the item that Pop would return and its class. ok is false when the scheduler is empty.
func (s *Scheduler[T]) Peek() (item T, class Class, ok bool) {
	for c := range s.queues {
		if s.queues[c].itemCount > 0 {
			return s.queues[c].backlogged[0].items[0].item, Class(c), true
		}
	}
	return item, 0, false
}

// Pop removes and returns the next item and charges its cost to its account, unless PushFront put the item back. ok is
// false when the scheduler is empty.
func (s *Scheduler[T]) Pop() (item T, ok bool) {
	for c := range s.queues {
		if s.queues[c].itemCount > 0 {
			return s.queues[c].pop(), true
		}
	}
	return item, false
}

// Remove removes a queued item without charging its account. ok is false when no such item is queued.
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

// Each calls visit for every queued item, in no particular order. visit must not change the scheduler.
func (s *Scheduler[T]) Each(visit func(T)) {
	for c := range s.queues {
		for _, f := range s.queues[c].backlogged {
			for i := range f.items {
				visit(f.items[i].item)
			}
		}
	}
}

// maxCredit returns how far the start tag of an account that was idle may lie before the virtual time. This credits the
// account with service that it did not use, so that one large request of a small account does not delay its next
// requests past their deadlines.
func (q *classQueue[T]) maxCredit() float64 {
	return maxCreditItems * q.meanCost
}

// flow returns the flow of an account and creates it when there is none.
func (q *classQueue[T]) flow(account string) *flow[T] {
	f, ok := q.flows[account]
	if !ok {
		f = &flow[T]{account: account}
		q.flows[account] = f
	}
	return f
}

// push inserts an entry behind the other entries of its account, but before those that yield.
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

// pop removes and returns the first item of the flow with the lowest start tag. The queue must not be empty.
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

// remove deletes item i of f and restores the heap. A flow without items is deleted once its finish tag is too old to
// affect the account's next start tag. All flows are deleted when the class has no items left.
func (q *classQueue[T]) remove(f *flow[T], i int) {
	wasRequeued := f.items[i].requeued
	f.items = append(f.items[:i], f.items[i+1:]...)
	q.itemCount--
	if len(f.items) > 0 {
		switch {
		case f.items[0].requeued:
		case wasRequeued:
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

// flowHeap orders flows by start tag, and flows with equal start tags by the id of their first item.
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

// Push implements heap.Interface; only container/heap calls it.
func (h *flowHeap[T]) Push(x any) {
	f, _ := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface; only container/heap calls it.
func (h *flowHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
