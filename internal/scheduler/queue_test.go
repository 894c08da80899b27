package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/pkg/configurator"
)

func TestUrgentAttemptsGoFirstAndOthersAreNotStarved(t *testing.T) {
	q := New(Config{Capacity: 10})
	q.Push(Item{ID: "night", Caller: "n", Rank: 2, Deadline: 60 * time.Second})
	q.Push(Item{ID: "early", Caller: "a", Rank: 0, Deadline: time.Second})
	q.Push(Item{ID: "late", Caller: "a", Rank: 0, Deadline: 64 * time.Second})
	var order []string
	for q.Len() > 0 {
		i, _ := q.Pop()
		order = append(order, i.ID)
	}
	require.Equal(t, []string{"early", "night", "late"}, order)
}

func TestOverdueAttemptDoesNotDelayAMoreUrgentOne(t *testing.T) {
	q := New(Config{Capacity: 10})
	q.Push(Item{ID: "desk", Caller: "d", Rank: 1, Deadline: time.Second})
	q.Push(Item{ID: "urgent", Caller: "a", Rank: 0, Deadline: 2 * time.Second})
	i, _ := q.Pop()
	require.Equal(t, "urgent", i.ID)
}

func TestCallersShareAClassFairly(t *testing.T) {
	q := New(Config{Capacity: 10})
	for _, id := range []string{"a1", "a2", "a3"} {
		q.Push(Item{ID: id, Caller: "a", Deadline: time.Second})
	}
	q.Push(Item{ID: "b1", Caller: "b", Deadline: time.Second + time.Millisecond})
	i, _ := q.Pop()
	require.Equal(t, "a1", i.ID)
	i, _ = q.Pop()
	require.Equal(t, "b1", i.ID)
}

func TestQueueNeverLosesAnAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Capacity: 5})
		waiting := map[string]bool{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			id := rapid.StringMatching("[a-h]").Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				deadline := time.Duration(rapid.IntRange(0, 100).Draw(t, "due"))
				ok := q.Push(Item{ID: id, Caller: configurator.CallerName(id), Deadline: deadline})
				require.Equal(t, !waiting[id] && len(waiting) < 5, ok)
				if ok {
					waiting[id] = true
				}
			case 1:
				require.Equal(t, waiting[id], q.Remove(id))
				delete(waiting, id)
			case 2:
				i, ok := q.Pop()
				require.Equal(t, len(waiting) > 0, ok)
				delete(waiting, i.ID)
			}
			require.Equal(t, len(waiting), q.Len())
		}
	})
}
