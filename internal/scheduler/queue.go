// Package scheduler orders the attempts that wait for an upstream.
//
// Usage:
//
//	q := scheduler.New(scheduler.Config{Capacity: 1000})
//	ok := q.Push(scheduler.Item{ID: id, Caller: c, Rank: 0, Deadline: now + first})
//	item, ok := q.Pop()
//
// The queue is ordered by earliest deadline of the first token, so that attempts of
// low urgency that have waited long come before new urgent ones and are never
// starved. For each rank below the most urgent class a fixed delay is added to the
// deadline, so that overdue attempts of a less urgent class do not make those of a
// more urgent one late. Callers share a class fairly: each waiting attempt of a
// caller delays its next one a little.
package scheduler

import (
	"container/heap"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// Delays added to the deadline of an attempt to order the queue.
const (
	callerDelay = 5 * time.Millisecond    // for each waiting attempt of the same caller
	rankDelay   = 1500 * time.Millisecond // for each rank below the most urgent one
)

// Item is one waiting attempt.
type Item struct {
	ID       string
	Caller   configurator.CallerName
	Rank     int           // rank of the urgency class, 0 is the most urgent
	Deadline time.Duration // when the first token is due, on the clock of the process

	effectiveDeadline time.Duration // Deadline plus the delays of rank and caller
	seq               uint64        // number of the push, breaks ties
	heapIndex         int
}

// Config bounds a queue.
type Config struct {
	Capacity int // attempts that may wait
}

// Queue holds waiting attempts. It is not safe for concurrent use.
type Queue struct {
	cfg             Config
	items           itemHeap
	byID            map[string]*Item
	waitingByCaller map[configurator.CallerName]int
	lastSeq         uint64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, byID: map[string]*Item{}, waitingByCaller: map[configurator.CallerName]int{}}
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int {
	return len(q.items)
}

// Push adds an attempt and reports whether it did. It does not when the queue is full
// or already has an attempt with this ID.
func (q *Queue) Push(item Item) bool {
	if len(q.items) >= q.cfg.Capacity || q.byID[item.ID] != nil {
		return false
	}
	q.lastSeq++
	item.seq = q.lastSeq
	item.effectiveDeadline = item.Deadline + time.Duration(item.Rank)*rankDelay + time.Duration(q.waitingByCaller[item.Caller])*callerDelay
	q.waitingByCaller[item.Caller]++
	q.byID[item.ID] = &item
	heap.Push(&q.items, &item)
	return true
}

// Pop removes and returns the attempt with the earliest deadline after the delays. It
// returns false when the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.remove(q.items[0]), true
}

// Remove removes an attempt and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	item := q.byID[id]
	if item == nil {
		return false
	}
	q.remove(item)
	return true
}

// Ahead returns the number of waiting attempts of the given rank or a more urgent one.
func (q *Queue) Ahead(rank int) int {
	n := 0
	for _, i := range q.items {
		if i.Rank <= rank {
			n++
		}
	}
	return n
}

func (q *Queue) remove(item *Item) Item {
	heap.Remove(&q.items, item.heapIndex)
	delete(q.byID, item.ID)
	q.waitingByCaller[item.Caller]--
	if q.waitingByCaller[item.Caller] == 0 {
		delete(q.waitingByCaller, item.Caller)
	}
	return *item
}

// itemHeap implements heap.Interface.
type itemHeap []*Item

func (s itemHeap) Len() int { return len(s) }

func (s itemHeap) Less(a, b int) bool {
	if s[a].effectiveDeadline != s[b].effectiveDeadline {
		return s[a].effectiveDeadline < s[b].effectiveDeadline
	}
	if s[a].Rank != s[b].Rank {
		return s[a].Rank < s[b].Rank
	}
	return s[a].seq < s[b].seq
}

func (s itemHeap) Swap(a, b int) {
	s[a], s[b] = s[b], s[a]
	s[a].heapIndex, s[b].heapIndex = a, b
}

func (s *itemHeap) Push(x any) {
	i := x.(*Item)
	i.heapIndex = len(*s)
	*s = append(*s, i)
}

func (s *itemHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
