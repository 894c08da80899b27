package configurator

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// InfeasibilityReason explains why the runners can't hold one copy of every model
// after the loss of any one runner or failure domain. It is empty if they can. Models
// are packed largest first onto the runner with the most free memory, which may fail
// although another packing exists.
func InfeasibilityReason(cfg Configuration) string {
	if len(cfg.Models) == 0 {
		return ""
	}
	p := newPacking(cfg)
	if reason := p.checkLargestModel(); reason != "" {
		return reason
	}
	for _, d := range p.domains() {
		if reason := p.packWithout("failure domain "+string(d), func(u Upstream) bool { return u.Domain == d }); reason != "" {
			return reason
		}
	}
	for _, name := range p.oneRunnerPerMemorySize() {
		if reason := p.packWithout("runner "+string(name), func(u Upstream) bool { return u.Name == name }); reason != "" {
			return reason
		}
	}
	return ""
}

// packing holds the runners and the models to place on them.
type packing struct {
	runners    []Upstream
	models     []ModelName         // sorted by size, the largest first
	modelBytes map[ModelName]Bytes // size of each model with its adapters
	totalBytes Bytes               // of one copy of each model
}

func newPacking(cfg Configuration) *packing {
	p := &packing{modelBytes: BytesWithAdapters(cfg)}
	for _, u := range cfg.Upstreams {
		if u.Role == Runner {
			p.runners = append(p.runners, u)
		}
	}
	for m, b := range p.modelBytes {
		p.models = append(p.models, m)
		p.totalBytes += b
	}
	slices.SortFunc(p.models, func(a, b ModelName) int {
		if c := cmp.Compare(p.modelBytes[b], p.modelBytes[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return p
}

// checkLargestModel returns an error text if the largest model fits on no runner.
func (p *packing) checkLargestModel() string {
	var largestMemory Bytes
	for _, u := range p.runners {
		largestMemory = max(largestMemory, u.WeightMemory)
	}
	m := p.models[0]
	if p.modelBytes[m] <= largestMemory {
		return ""
	}
	return fmt.Sprintf("model %s takes %d bytes with its adapters, the largest runner has %d; shrink it or add a larger runner", m, p.modelBytes[m], largestMemory)
}

func (p *packing) domains() []DomainName {
	var names []DomainName
	for _, u := range p.runners {
		names = append(names, u.Domain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// oneRunnerPerMemorySize returns one runner of each memory size, since packing gives
// the same result without any other runner of that size.
func (p *packing) oneRunnerPerMemorySize() []UpstreamName {
	seen := map[Bytes]bool{}
	var names []UpstreamName
	for _, u := range p.runners {
		if !seen[u.WeightMemory] {
			seen[u.WeightMemory] = true
			names = append(names, u.Name)
		}
	}
	return names
}

// packWithout packs the models onto the runners that are not lost and returns an error
// text if one doesn't fit.
func (p *packing) packWithout(lostName string, isLost func(Upstream) bool) string {
	var free freeBytesHeap
	var total Bytes
	for _, u := range p.runners {
		if !isLost(u) {
			free = append(free, u.WeightMemory)
			total += u.WeightMemory
		}
	}
	remaining := len(free)
	heap.Init(&free)
	for _, m := range p.models {
		if remaining == 0 || free[0] < p.modelBytes[m] {
			return fmt.Sprintf("without %s, %d bytes of models must fit into %d bytes on %d runners, and model %s (%d bytes) fits on none of them beside the others; add runners or remove models",
				lostName, p.totalBytes, total, remaining, m, p.modelBytes[m])
		}
		free[0] -= p.modelBytes[m]
		heap.Fix(&free, 0)
	}
	return ""
}

// freeBytesHeap is a max-heap of the free memory of runners.
type freeBytesHeap []Bytes

func (h freeBytesHeap) Len() int           { return len(h) }
func (h freeBytesHeap) Less(i, j int) bool { return h[i] > h[j] }
func (h freeBytesHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *freeBytesHeap) Push(x any) { *h = append(*h, x.(Bytes)) }

// Pop implements heap.Interface.
func (h *freeBytesHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
