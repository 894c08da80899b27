package configurator

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// InfeasibilityReason explains why one copy of every model can't stay resident with
// any one runner or failure domain lost. It is empty when they can.
func InfeasibilityReason(cfg Configuration) string {
	if len(cfg.Models) == 0 {
		return ""
	}
	p := newPacking(cfg)
	if text := p.largest(); text != "" {
		return text
	}
	for _, d := range p.domains() {
		if text := p.without("failure domain "+string(d), func(u Upstream) bool { return u.Domain == d }); text != "" {
			return text
		}
	}
	for _, dead := range p.representatives() {
		if text := p.without("runner "+string(dead), func(u Upstream) bool { return u.Name == dead }); text != "" {
			return text
		}
	}
	return ""
}

// packing places one copy of each model, largest first, on the emptiest runner.
type packing struct {
	runners []Upstream
	models  []ModelName // largest first
	weight  map[ModelName]Bytes
	need    Bytes
}

func newPacking(cfg Configuration) *packing {
	p := &packing{weight: BytesWithAdapters(cfg)}
	for _, u := range cfg.Upstreams {
		if u.Role == Runner {
			p.runners = append(p.runners, u)
		}
	}
	for m, b := range p.weight {
		p.models = append(p.models, m)
		p.need += b
	}
	slices.SortFunc(p.models, func(a, b ModelName) int {
		if c := cmp.Compare(p.weight[b], p.weight[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return p
}

// largest checks that every model fits on some runner.
func (p *packing) largest() string {
	var size Bytes
	for _, u := range p.runners {
		size = max(size, u.WeightMemory)
	}
	m := p.models[0]
	if p.weight[m] <= size {
		return ""
	}
	return fmt.Sprintf("model %s takes %d bytes with its adapters, the largest runner has %d; shrink it or add a larger runner", m, p.weight[m], size)
}

func (p *packing) domains() []DomainName {
	var names []DomainName
	for _, u := range p.runners {
		names = append(names, u.Domain)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// representatives returns one runner of each memory size: for packing, runners
// of one size are the same.
func (p *packing) representatives() []UpstreamName {
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

// without packs the models on the runners that stay when some are lost.
func (p *packing) without(what string, gone func(Upstream) bool) string {
	var free room
	var total Bytes
	for _, u := range p.runners {
		if !gone(u) {
			free = append(free, u.WeightMemory)
			total += u.WeightMemory
		}
	}
	runners := len(free)
	heap.Init(&free)
	for _, m := range p.models {
		if runners == 0 || free[0] < p.weight[m] {
			return fmt.Sprintf("without %s, %d bytes of models face %d bytes on %d runners, and %s (%d bytes) fits on none beside the others; add runners or remove models",
				what, p.need, total, runners, m, p.weight[m])
		}
		free[0] -= p.weight[m]
		heap.Fix(&free, 0)
	}
	return ""
}

// room is a heap of the free bytes of runners, the largest first.
type room []Bytes

func (r room) Len() int           { return len(r) }
func (r room) Less(i, j int) bool { return r[i] > r[j] }
func (r room) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push adds a runner.
func (r *room) Push(x any) { *r = append(*r, x.(Bytes)) }

// Pop removes the runner with the least free bytes.
func (r *room) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
