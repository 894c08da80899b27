package acceptor

import (
	"sync"

	"github.com/egretwall/egretwall/internal/reducer"
)

// mailbox hands a request's effects from the reducer to the goroutine that
// writes the answer. Its size is bounded by the agent's chunk window.
type mailbox struct {
	mu     sync.Mutex
	items  []reducer.Effect
	signal chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{signal: make(chan struct{}, 1)}
}

func (m *mailbox) put(e reducer.Effect) {
	m.mu.Lock()
	m.items = append(m.items, e)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns what has arrived, oldest first.
func (m *mailbox) take() []reducer.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}
