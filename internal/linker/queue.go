// Package linker carries messages between entries and agents over gRPC.
//
// Usage, in an agent:
//
//	s := linker.NewServer(linker.ServerConfig{Post: loop.post, ...})
//	linkpb.RegisterLinkServer(grpcServer, s)
//	s.Send(entry, epoch, message)
//
// Usage, in an entry:
//
//	c := linker.NewClient(linker.ClientConfig{Post: loop.post, ...})
//	c.Dial(ctx, dial)
//	c.Send(peer, epoch, message)
//
// Send never blocks. Each connection uses a separate TCP connection, so that a new one
// doesn't wait for one that has become unresponsive.
package linker

import "sync"

// queue passes messages from the reducer to the goroutine that sends them. It is
// unbounded, so that push never blocks.
type queue[M any] struct {
	mu     sync.Mutex
	items  []M
	signal chan struct{} // holds a value while there may be items
}

func newQueue[M any]() *queue[M] {
	return &queue[M]{signal: make(chan struct{}, 1)}
}

func (q *queue[M]) push(m M) {
	q.mu.Lock()
	q.items = append(q.items, m)
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// takeAll moves all items to buf, which it overwrites.
func (q *queue[M]) takeAll(buf []M) []M {
	q.mu.Lock()
	defer q.mu.Unlock()
	buf = append(buf[:0], q.items...)
	clear(q.items)
	q.items = q.items[:0]
	return buf
}

// sendLoop sends queued messages until done is closed or send fails.
func (q *queue[M]) sendLoop(done <-chan struct{}, send func(M) error) {
	var batch []M
	for {
		select {
		case <-done:
			return
		case <-q.signal:
		}
		batch = q.takeAll(batch)
		for _, m := range batch {
			if send(m) != nil {
				return
			}
		}
	}
}
