package relayer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	stopIdleTimeout    = time.Second // of callers' connections after Shutdown
	shutdownPollPeriod = 20 * time.Millisecond
)

// Serve serves the callers that connect to l. It returns nil once Shutdown has
// been called.
func (g *Gateway) Serve(l net.Listener) error {
	if !g.beginServing(l) {
		return l.Close()
	}
	defer g.serving.Done()
	err := g.server.Serve(callerListener{l, g.account, g.cfg.StopTimeout})
	if g.isStopping() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// beginServing records the listener for Shutdown. It returns false if that was called before.
func (g *Gateway) beginServing(l net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false
	}
	g.listener = l
	g.serving.Add(1)
	return true
}

// Drain makes the gateway close each caller's connection after its next response.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool {
	return g.draining.Load()
}

// Shutdown stops accepting connections, closes idle ones and waits until all open
// requests have their responses. It returns the error of ctx if that ends first.
//
// Unlike that of http.Server, it also answers requests that are read after it was called. The
// dispatcher refuses them.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.mu.Lock()
	g.stopping = true
	listener := g.listener
	g.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	g.serving.Wait()
	for _, c := range g.callerConns() {
		c.closeIfIdle()
	}
	ticker := time.NewTicker(shutdownPollPeriod)
	defer ticker.Stop()
	for slices.ContainsFunc(g.callerConns(), (*callerConn).open) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if g.Open() == 0 {
				return nil
			}
			return ctx.Err()
		}
	}
	return nil
}

func (g *Gateway) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// callerConns returns the connections of callers.
func (g *Gateway) callerConns() []*callerConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Keys(g.conns))
}
