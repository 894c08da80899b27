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
//	c.Dial(dial)
//	c.Send(peer, epoch, message)
//
// Send never blocks. Each connection has a TCP connection of its own, so that a
// new one does not wait for one that went silent.
package linker

import "sync"

// queue hands messages from the reducer to the goroutine that sends them.
type queue[M any] struct {
	mu     sync.Mutex
	items  []M
	signal chan struct{}
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

func (q *queue[M]) take(into []M) []M {
	q.mu.Lock()
	defer q.mu.Unlock()
	into = append(into[:0], q.items...)
	clear(q.items)
	q.items = q.items[:0]
	return into
}

// drain sends queued messages until done is closed or send fails.
func (q *queue[M]) drain(done <-chan struct{}, send func(M) error) {
	var batch []M
	for {
		select {
		case <-done:
			return
		case <-q.signal:
		}
		batch = q.take(batch)
		for _, m := range batch {
			if send(m) != nil {
				return
			}
		}
	}
}
