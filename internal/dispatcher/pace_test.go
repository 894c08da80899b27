package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// serveStream plays an answer of the given length and pace.
func (h *harness) serveStream(m registrar.ModelName, events int, pace time.Duration) {
	id, effects := h.submit(route(registrar.Streaming, 1), m)
	send := h.requireSend(effects)
	h.now += 30 * time.Millisecond
	h.reduce(AnswerBegan{ID: id, Try: send.Try})
	h.now += time.Duration(events-1) * pace
	h.reduce(SendEnded{ID: id, Try: send.Try, Outcome: Completed, Events: events})
}

// Guards against demand reports that tell nothing of a model's speed.
func TestDemandTellsThePaceOfAnswers(t *testing.T) {
	h := newHarness(t)
	h.listRunners(2, "fast", "slow")
	for range 6 {
		h.serveStream("fast", 20, 10*time.Millisecond)
		h.serveStream("slow", 20, 40*time.Millisecond)
	}
	paces := map[registrar.ModelName]time.Duration{}
	for _, demand := range h.d.Demands(h.now) {
		paces[demand.Model] = demand.Pace
	}
	require.Equal(t, map[registrar.ModelName]time.Duration{"fast": 10 * time.Millisecond, "slow": 40 * time.Millisecond}, paces)
}

// Guards against paces of answers too short to tell one.
func TestShortAnswersTellNoPace(t *testing.T) {
	h := newHarness(t)
	h.listRunners(2, "m")
	for range 6 {
		h.serveStream("m", minPaceEvents-1, 10*time.Millisecond)
	}
	require.Zero(t, h.d.Demands(h.now)[0].Pace)
}

// Guards against stewards that never learn how fast their runner is.
func TestAnswersTellThePaceOfTheirRunner(t *testing.T) {
	h := newHarness(t)
	h.listRunners(1, "m")
	for _, pace := range []time.Duration{20, 20, 20, 48} {
		h.serveStream("m", 20, pace*time.Millisecond)
	}
	const address = "10.0.1.0:80"
	require.Equal(t, []RunnerPace{{address, 100}, {address, 240}}, h.d.TakeRunnerPaces(), "from the third answer on")
	require.Empty(t, h.d.TakeRunnerPaces())
}
