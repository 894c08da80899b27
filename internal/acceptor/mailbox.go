package acceptor

import (
	"sync"

	"github.com/egretwall/egretwall/internal/reducer"
)

// mailbox queues the effects of a request for the goroutine that writes the
// response. The flow control window of the response bounds its size.
type mailbox struct {
	mu      sync.Mutex
	effects []reducer.Effect
	signal  chan struct{} // has an element when an effect may be queued
}

func newMailbox() *mailbox {
	return &mailbox{signal: make(chan struct{}, 1)}
}

func (m *mailbox) put(e reducer.Effect) {
	m.mu.Lock()
	m.effects = append(m.effects, e)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take removes and returns the queued effects, oldest first.
func (m *mailbox) take() []reducer.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	effects := m.effects
	m.effects = nil
	return effects
}
