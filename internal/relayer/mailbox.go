package relayer

import (
	"context"
	"sync"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// Mailbox passes the effects of one request to its handler.
type Mailbox struct {
	mu     sync.Mutex
	queue  []dispatcher.Effect
	signal chan struct{}
	abort  func() // stops the send under way
	ended  bool   // an Abort came
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{signal: make(chan struct{}, 1)}
}

// Put adds an effect. An Abort or Switch also stops the send under way.
func (m *Mailbox) Put(e dispatcher.Effect) {
	m.mu.Lock()
	var abort func()
	switch e.(type) {
	case dispatcher.Abort:
		m.queue = append(m.queue, e)
		abort, m.ended = m.abort, true
	case dispatcher.Failover:
		abort = m.abort
	default:
		m.queue = append(m.queue, e)
	}
	m.mu.Unlock()
	if abort != nil {
		abort()
	}
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// OnCancel calls abort when an Abort comes, at once if it has come already. The
// returned function ends that.
func (m *Mailbox) OnCancel(abort func()) func() {
	m.mu.Lock()
	ended := m.ended
	m.abort = abort
	m.mu.Unlock()
	if ended {
		abort()
	}
	return func() {
		m.mu.Lock()
		m.abort = nil
		m.mu.Unlock()
	}
}

// Next waits for an effect; it returns nil when ctx ends first.
func (m *Mailbox) Next(ctx context.Context) dispatcher.Effect {
	for {
		m.mu.Lock()
		if len(m.queue) > 0 {
			e := m.queue[0]
			m.queue = m.queue[1:]
			m.mu.Unlock()
			return e
		}
		m.mu.Unlock()
		select {
		case <-m.signal:
		case <-ctx.Done():
			return nil
		}
	}
}
