// Package scheduler orders the attempts that wait for an upstream.
//
// Usage:
//
//	q := admitter.New(admitter.Config{Bound: 1000})
//	ok := q.Push(admitter.Item{ID: id, Caller: c, Rank: 0, Due: now + first})
//	item, ok := q.Pop()
//
// The order is by slack: the attempt whose first token is due first goes
// first, so that attempts of low urgency age and are never starved. A less
// urgent class falls behind by a fixed delay, so that its overdue attempts do
// not make those of a more urgent class late. Callers share a class fairly: each
// waiting attempt of a caller delays its next one a little.
package scheduler

import (
	"container/heap"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// Delays in the order of attempts.
const (
	share     = 5 * time.Millisecond    // for each waiting attempt of the same caller
	rankDelay = 1500 * time.Millisecond // for each rank below the most urgent one
)

// Item is one waiting attempt.
type Item struct {
	ID       string
	Caller   configurator.CallerName
	Rank     int           // rank of the urgency class, 0 is the most urgent
	Deadline time.Duration // when the first token is due

	order time.Duration
	seq   uint64
	index int
}

// Config bounds a queue.
type Config struct {
	Capacity int // attempts that may wait
}

// Queue holds waiting attempts. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	items   items
	byID    map[string]*Item
	waiting map[configurator.CallerName]int
	seq     uint64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	return &Queue{cfg: cfg, byID: map[string]*Item{}, waiting: map[configurator.CallerName]int{}}
}

// Len counts the waiting attempts.
func (q *Queue) Len() int {
	return len(q.items)
}

// Push adds an attempt and tells whether there was room.
func (q *Queue) Push(i Item) bool {
	if len(q.items) >= q.cfg.Capacity || q.byID[i.ID] != nil {
		return false
	}
	q.seq++
	i.seq = q.seq
	i.order = i.Deadline + time.Duration(i.Rank)*rankDelay + time.Duration(q.waiting[i.Caller])*share
	q.waiting[i.Caller]++
	q.byID[i.ID] = &i
	heap.Push(&q.items, &i)
	return true
}

// Pop removes the attempt that goes next.
func (q *Queue) Pop() (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return q.drop(q.items[0]), true
}

// Remove takes an attempt out and tells whether it was waiting.
func (q *Queue) Remove(id string) bool {
	i := q.byID[id]
	if i == nil {
		return false
	}
	q.drop(i)
	return true
}

// Ahead counts the waiting attempts of rank or a more urgent one.
func (q *Queue) Ahead(rank int) int {
	n := 0
	for _, i := range q.items {
		if i.Rank <= rank {
			n++
		}
	}
	return n
}

func (q *Queue) drop(i *Item) Item {
	heap.Remove(&q.items, i.index)
	delete(q.byID, i.ID)
	q.waiting[i.Caller]--
	if q.waiting[i.Caller] == 0 {
		delete(q.waiting, i.Caller)
	}
	return *i
}

type items []*Item

func (s items) Len() int { return len(s) }

func (s items) Less(a, b int) bool {
	if s[a].order != s[b].order {
		return s[a].order < s[b].order
	}
	if s[a].Rank != s[b].Rank {
		return s[a].Rank < s[b].Rank
	}
	return s[a].seq < s[b].seq
}

func (s items) Swap(a, b int) {
	s[a], s[b] = s[b], s[a]
	s[a].index, s[b].index = a, b
}

func (s *items) Push(x any) {
	i := x.(*Item)
	i.index = len(*s)
	*s = append(*s, i)
}

func (s *items) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
