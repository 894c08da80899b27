package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestLogOfAServedStreamTellsItsFirstEventAndLongestPause(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(runnerService, 1, "m")
	id, effects := h.submit(route(registrar.Streaming, 2), "m")
	send := h.requireSend(effects)
	h.now += 120 * time.Millisecond
	h.reduce(AnswerBegan{ID: id, Try: send.Try})
	h.now += 400 * time.Millisecond
	var served Log
	for _, e := range h.d.Reduce(h.now, SendEnded{ID: id, Try: send.Try, Outcome: Completed, LongestPause: 350 * time.Millisecond}) {
		if entry, ok := e.(Log); ok {
			served = entry
		}
	}
	require.Equal(t, "request served", served.Event)
	require.Equal(t, 120*time.Millisecond, served.StartDelay)
	require.Equal(t, 350*time.Millisecond, served.LongestPause)
}
