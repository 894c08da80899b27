package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the scenario endless.
const (
	endlessRunners  = 8
	endlessBad      = 4 // half of the runners, the share that garble has
	endlessSlots    = 64
	endlessClients  = 440
	endlessEvents   = 60
	endlessPeriod   = 100 * time.Millisecond
	endlessRate     = 1 << 20 // bytes per second of each answer of a runner in trouble
	endlessPart     = 16 << 10
	endlessCalm     = 12 * time.Second // until the runners are in trouble
	endlessTrouble  = 5 * time.Second
	endlessBudget   = 12 * time.Second // of a request
	endlessMaxCut   = 3                // requests that a machine may cut off
	endlessServices = "llm"
)

// playEndless fills a gateway with streams. Half of the runners then send bytes that are no
// events, without end, in the bodies of their answers.
func playEndless(g *rig) error {
	g.models = []model{{"m0", 65100}}
	var inTrouble atomic.Bool
	normal := serveStream(endlessEvents, endlessPeriod)
	var runners []*runner
	for i := range endlessRunners {
		u := &runner{rig: g, service: endlessServices, address: g.runnerAddress(i), slots: endlessSlots, memory: 220000}
		u.serve = normal
		if i < endlessBad {
			u.serve = func(u *runner, w http.ResponseWriter, r *http.Request) { serveEndless(u, w, r, &inTrouble) }
		}
		if err := u.start(fmt.Sprintf("i-%d", i+1), "v1", "m0"); err != nil {
			return err
		}
		runners = append(runners, u)
	}
	g.publish(3, []service{{endlessServices, endlessSlots, 220000}}, []route{{prefix: "/s/", kind: "streaming", service: endlessServices, resumable: true, timeout: 12000, aim: 300, gap: 300, attempts: 2}})
	gateway, err := g.addGateway(0)
	if err != nil {
		return err
	}
	for _, u := range runners {
		if _, err := g.addSteward(u); err != nil {
			return err
		}
	}
	if err := gateway.awaitReady(); err != nil {
		return err
	}
	time.Sleep(steadyTime)

	done := make(chan struct{})
	var peak float64
	var watch sync.WaitGroup
	var killed atomic.Bool
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(memoryInterval):
			}
			used := gateway.residentMB()
			peak = max(peak, used)
			if used > gatewayMB {
				// The platform kills a process that exceeds its memory.
				g.record("%s uses %.0f MiB of %d and is killed by the platform", gateway.name, used, gatewayMB)
				killed.Store(true)
				gateway.kill()
				time.Sleep(restartDelay)
				_ = gateway.start()
				return
			}
		}
	})
	var clients sync.WaitGroup
	var served, refused, failed atomic.Int64
	var mu sync.Mutex
	var cut []string
	for i := range endlessClients {
		clients.Go(func() {
			c := &client{}
			defer c.close()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				attempt := fmt.Sprintf("c%d-%d", i, n)
				kept := c.kept && c.conn != nil
				a := c.send(gateway.callers, request{attempt: attempt, method: "POST", path: "/s/x", model: "m0", body: 600, deadline: endlessBudget, lastEvent: -1})
				switch {
				case a.status == http.StatusOK && a.whole:
					served.Add(1)
				case a.whole:
					refused.Add(1)
					time.Sleep(300 * time.Millisecond)
				default:
					failed.Add(1)
					if a.cut() && kept {
						mu.Lock()
						cut = append(cut, attempt)
						mu.Unlock()
					}
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(endlessCalm)
	g.record("before: %d served, %d refused, %d failed, peak %.0f MiB", served.Load(), refused.Load(), failed.Load(), peak)
	if g.trouble {
		g.record("runners 1 to %d send bytes without end", endlessBad)
		inTrouble.Store(true)
	}
	time.Sleep(endlessTrouble)
	inTrouble.Store(false)
	time.Sleep(steadyTime)
	close(done)
	clients.Wait()
	watch.Wait()
	g.record("in all: %d served, %d refused, %d failed, peak %.0f MiB, killed: %v", served.Load(), refused.Load(), failed.Load(), peak, killed.Load())
	sound := 0
	for _, attempt := range cut {
		if g.ranOnlyAtSound(attempt) {
			sound++
			g.record("%s was passed to a sound runner and its kept channel closed without a complete answer", attempt)
		}
	}
	if sound > endlessMaxCut {
		g.breakRule("%d requests from kept channels that sound runners had were cut off (%d allowed)", sound, endlessMaxCut)
	}
	return nil
}

// ranOnlyAtSound reports whether a request ran, and only at runners that were never in trouble.
func (g *rig) ranOnlyAtSound(attempt string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ran := false
	for _, r := range g.runs {
		if r.attempt != attempt {
			continue
		}
		ran = true
		for i := range endlessBad {
			if r.runner == fmt.Sprintf("i-%d", i+1) {
				return false
			}
		}
	}
	return ran
}

// serveEndless sends a stream. Once the runner is in trouble, it sends bytes that are no event
// until the caller closes.
func serveEndless(u *runner, w http.ResponseWriter, r *http.Request, inTrouble *atomic.Bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	next := 0
	if last := r.Header.Get(wire("lastevent")); last != "" {
		_, _ = fmt.Sscan(last, &next)
		next++
	}
	junk := make([]byte, endlessPart)
	for i := range junk {
		junk[i] = 'x'
	}
	for next < endlessEvents {
		if inTrouble.Load() {
			if _, err := w.Write(junk); err != nil {
				return
			}
			if c.Flush() != nil {
				return
			}
			time.Sleep(endlessPart * time.Second / endlessRate)
			continue
		}
		select {
		case <-time.After(endlessPeriod):
		case <-r.Context().Done():
			return
		}
		if inTrouble.Load() {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, "v1", next); err != nil {
			return
		}
		_ = c.Flush()
		next++
	}
}
