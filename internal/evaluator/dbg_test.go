package evaluator

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretwall/egretwall/examples"
	"github.com/egretwall/egretwall/internal/generator"
	"github.com/egretwall/egretwall/internal/reducer"
)

func TestDbg(t *testing.T) {
	data, _ := examples.Questionnaire("havengelden")
	q, _ := generator.Parse(data)
	cfg, _ := generator.Generate(q)
	s := Scenarios()[0]
	tr := NewTrace(cfg, s, 1)
	m := prepare(cfg)
	m.preload()
	c := newCluster(cfg, s, m, 1)
	for i, call := range tr {
		call.At += warmUp
		o := &observed{call: call}
		m.calls = append(m.calls, o)
		m.clock.after(call.At, func() { c.arrive(i, o) })
	}
	for _, at := range []time.Duration{10, 40, 90} {
		m.clock.runUntil(at * time.Second)
		for _, n := range c.agents {
			d := n.a.Dump(0)
			fmt.Printf("%s a=%d q=%d cold=%d att=%d run=%d passed=%d notrun=%d unk=%d res=%d\n", n.name, d.Active, d.Queued, d.Cold, d.Attempts, len(n.engine.running), d.Counters.Passed, d.Counters.NotRun, d.Counters.Unknown, len(d.Memory.Residents))
		}
		for _, e := range c.entries {
			d := e.e.Dump(0)
			fmt.Printf("open=%d wait=%d bud=%.0f %+v\n", d.Open, d.Waiting, d.Budget, d.Counters)
		}
	}
	kinds := map[string]int{}
	_ = reducer.Tick{}
	for _, o := range m.calls {
		kinds[fmt.Sprint(o.call.Caller.Class, o.done, o.whole, o.first > 0)]++
	}
	fmt.Println(kinds)
}
