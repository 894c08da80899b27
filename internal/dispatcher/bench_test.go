package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// BenchmarkRequest dispatches a request and handles the end of its send, with 600
// runners that hold three models each.
func BenchmarkRequest(b *testing.B) {
	benchmarkRequest(b, nil)
}

// BenchmarkRequestOfWorkspaces is BenchmarkRequest with shares of 16 workspaces.
func BenchmarkRequestOfWorkspaces(b *testing.B) {
	benchmarkRequest(b, namedWorkspaces(16))
}

func benchmarkRequest(b *testing.B, workspaces []registrar.Workspace) {
	const runnerCount, modelCount = 600, 840
	d := New(Config{Domain: "a", Seed: 1, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}})
	d.Reduce(0, Configured{&registrar.Configuration{Workspaces: workspaces, Services: map[registrar.ServiceName]registrar.Service{runnerService: {Engine: &registrar.Engine{Slots: 64}}}}})
	var all []*registrar.Upstream
	for i := range runnerCount {
		u := &registrar.Upstream{ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: runnerService, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), State: registrar.Ready}
		for j := range 3 {
			u.Residents = append(u.Residents, registrar.ResidentModel{Model: registrar.ModelName(fmt.Sprint("m", (3*i+j)%modelCount))})
		}
		all = append(all, u)
	}
	d.Reduce(0, UpstreamsListed{all})
	r := route(registrar.Streaming, 2)
	models := make([]registrar.ModelName, modelCount)
	for i := range models {
		models[i] = registrar.ModelName(fmt.Sprint("m", i))
	}
	now := time.Duration(0)
	id := RequestID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += time.Millisecond
		var w *registrar.Workspace
		if workspaces != nil {
			w = &workspaces[int(id)%len(workspaces)]
		}
		d.Reduce(now, Arrived{Request{Workspace: w, ID: id, Route: r, Service: runnerService, Model: models[int(id)%modelCount], PromptTokens: 800, OutputTokens: 300, Deadline: now + time.Second}})
		d.Reduce(now, SendEnded{ID: id, Try: 1, Outcome: Completed})
	}
}
