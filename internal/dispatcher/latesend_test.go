package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// The gateway may be paused between a decision and the request that follows from it.
func TestRequestIsNotWrittenAfterItsDeadline(t *testing.T) {
	h := newHarness(t)
	h.listUpstreams(plainService, 1)
	_, effects := h.submit(route(registrar.NonIdempotent, 1), "")
	send := h.requireSend(effects)
	require.True(t, h.d.Sendable(h.now+3*time.Second, send.ID, send.Try))
	require.False(t, h.d.Sendable(h.now+4*time.Second, send.ID, send.Try))
}

func TestPermitIsNotUsedAfterItsLifetime(t *testing.T) {
	h := newLimitedGateway(t)
	h.reduce(Reported{Report{Address: "10.0.0.2:80"}})
	h.reduce(LimitsReported{[]limiter.Limit{{Upstream: "limited", Rate: 0.5, Age: time.Second}}})
	h.submit(route(registrar.Idempotent, 2), "")
	send := h.requireSend(h.reduce(PermitsIssued{limiter.Permits{Upstream: "limited", Count: 1}}))
	require.True(t, h.d.Sendable(h.now+permitLifetime-1, send.ID, send.Try))
	require.False(t, h.d.Sendable(h.now+permitLifetime, send.ID, send.Try))
}
