package relayer

import (
	"context"
	"sync"

	"github.com/egretwall/egretwall/internal/dispatcher"
)

// Mailbox queues the effects of one request for its handler. It is safe for
// concurrent use.
type Mailbox struct {
	mu      sync.Mutex
	queue   []dispatcher.Effect
	signal  chan struct{} // has an element when an effect may be queued
	cancel  func()        // cancels the send under way, nil without one
	aborted bool          // an Abort was put
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{signal: make(chan struct{}, 1)}
}

// Put queues an effect. An Abort or Failover also cancels the send under way;
// Failover is not queued.
func (m *Mailbox) Put(e dispatcher.Effect) {
	m.mu.Lock()
	var cancel func()
	switch e.(type) {
	case dispatcher.Abort:
		m.queue = append(m.queue, e)
		cancel, m.aborted = m.cancel, true
	case dispatcher.Failover:
		cancel = m.cancel
	default:
		m.queue = append(m.queue, e)
	}
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// OnCancel makes Put call cancel for an Abort or Failover. If an Abort has been
// put already, OnCancel calls it at once. The returned function removes cancel.
func (m *Mailbox) OnCancel(cancel func()) func() {
	m.mu.Lock()
	aborted := m.aborted
	m.cancel = cancel
	m.mu.Unlock()
	if aborted {
		cancel()
	}
	return func() {
		m.mu.Lock()
		m.cancel = nil
		m.mu.Unlock()
	}
}

// Next waits for an effect and removes it from the queue. It returns nil if ctx
// ends first.
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
