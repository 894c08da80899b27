package apportioner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	gatewayA = netip.MustParseAddrPort("10.0.0.1:7000")
	gatewayB = netip.MustParseAddrPort("10.0.0.2:7000")
)

// testRow is a row of a workspace with 1000 tokens a second and a burst of 4000.
func testRow(row RequestRow) RequestRow {
	row.Workspace, row.Rate, row.Burst = "w", 1000, 4000
	return row
}

// steadyLedger returns a ledger that has counted a gateway for a while, and its time.
func steadyLedger(t *testing.T, gateways ...netip.AddrPort) (*Ledger, time.Duration) {
	l, now := NewLedger(), time.Duration(0)
	for n := range uint64(60) {
		now += 100 * time.Millisecond
		for _, g := range gateways {
			_, ok := l.Answer(now, g, Request{Epoch: 1, Number: n + 1, Claim: true, Rows: []RequestRow{testRow(RequestRow{})}})
			require.True(t, ok)
		}
	}
	require.InDelta(t, 4000, l.buckets["w"].saved, 1)
	return l, now
}

func (l *Ledger) need(t *testing.T, now time.Duration, gateway netip.AddrPort, number uint64, row RequestRow) AnswerRow {
	a, ok := l.Answer(now, gateway, Request{Epoch: 1, Number: number, Claim: true, Rows: []RequestRow{testRow(row)}})
	require.True(t, ok)
	return a.Rows[0]
}

func TestNewIssuerHasSavedUpNothing(t *testing.T) {
	l := NewLedger()
	row := l.need(t, time.Second, gatewayA, 1, RequestRow{Need: 500, First: 500})
	require.Zero(t, row.Tokens)
	require.InDelta(t, 500*time.Millisecond, row.Wait, float64(time.Millisecond))
}

// Another issuer may have issued the burst meanwhile.
func TestIssuerThatSleptHasSavedUpNothing(t *testing.T) {
	for _, sleep := range []time.Duration{claimTTL + sweepPeriod, 10 * time.Second} {
		l, now := steadyLedger(t, gatewayA)
		row := l.need(t, now+sleep, gatewayA, 1000, RequestRow{Need: 500, First: 500})
		require.Zero(t, row.Tokens, sleep)
	}
}

func TestTokensAtGatewaysCountAsSavedUp(t *testing.T) {
	l, now := steadyLedger(t, gatewayA, gatewayB)
	first := l.need(t, now, gatewayA, 1000, RequestRow{Need: 3000, First: 3000})
	require.Equal(t, 3000.0, first.Tokens)
	for n := range uint64(50) {
		now += 100 * time.Millisecond
		l.need(t, now, gatewayA, 1001+n, RequestRow{Held: 3000})
		l.need(t, now, gatewayB, 1001+n, RequestRow{})
	}
	require.InDelta(t, 1000, l.buckets["w"].saved, 1)
	now += 100 * time.Millisecond
	l.need(t, now, gatewayA, 2000, RequestRow{Returned: 3000})
	require.InDelta(t, 4000, l.buckets["w"].saved, 1)
}

func TestRepeatedRequestGetsTheSameAnswer(t *testing.T) {
	l, now := steadyLedger(t, gatewayA)
	for range 3 {
		require.Equal(t, 1500.0, l.need(t, now, gatewayA, 1000, RequestRow{Need: 1500, First: 1500}).Tokens)
	}
	require.InDelta(t, 2500, l.buckets["w"].saved, 1)
	_, ok := l.Answer(now, gatewayA, Request{Epoch: 1, Number: 999, Rows: []RequestRow{testRow(RequestRow{Returned: 500})}})
	require.False(t, ok, "an earlier request is late")
	_, ok = l.Answer(now, gatewayA, Request{Epoch: 0, Number: 5000})
	require.False(t, ok, "of an earlier process")
	_, ok = l.Answer(now, gatewayA, Request{Epoch: 2, Number: 1})
	require.True(t, ok, "of a later process")
}

func TestIssuerIssuesThePartOfTheGatewaysThatItCounts(t *testing.T) {
	l, now := steadyLedger(t, gatewayA, gatewayB)
	for n := range uint64(30) {
		now += 100 * time.Millisecond
		l.need(t, now, gatewayA, 1000+n, RequestRow{})
	}
	require.InDelta(t, 0.5, l.share(), 0.01)
	require.InDelta(t, 2000, l.buckets["w"].saved, 1)
	l.Leave(now, gatewayB)
	require.InDelta(t, 1, l.share(), 0.01, "a gateway that has shut down has no part")
	now += time.Millisecond
	l.Hear(now, gatewayB)
	require.InDelta(t, 0.5, l.share(), 0.01, "it has started again")
	l.sweep(now + rosterMemory - time.Second)
	require.Equal(t, 2, l.roster.size)
}

// An issuer that has just started, in a cut, must not take its part for all.
func TestNewIssuerLearnsTheRosterFromGateways(t *testing.T) {
	l, _ := steadyLedger(t, gatewayA, gatewayB)
	told := l.customers[gatewayA].answer.Roster
	if told == nil {
		told = l.roster.list(l.advancedAt)
	}
	require.Len(t, told, 2)
	other := NewLedger()
	_, ok := other.Answer(time.Second, gatewayA, Request{Epoch: 1, Number: 1, Claim: true, Roster: told})
	require.True(t, ok)
	require.InDelta(t, 0.5, other.share(), 0.01)
}

// An issuer that other gateways don't know never hears from them, and no roster names them.
func TestIssuerLeavesThePartOfGatewaysThatItDoesNotHear(t *testing.T) {
	l, now := NewLedger(), time.Duration(0)
	for n := range uint64(10) {
		now += 100 * time.Millisecond
		for _, g := range []netip.AddrPort{gatewayA, gatewayB} {
			answer, ok := l.Answer(now, g, Request{Epoch: 1, Number: 1 + n, Claim: true, Gateways: 8})
			require.True(t, ok)
			require.Equal(t, 8, answer.Gateways)
		}
	}
	require.InDelta(t, 0.25, l.Share(now), 0.01)
	served := l.Served(now)
	l.Answer(now, gatewayA, Request{Epoch: 1, Number: 11, Claim: true, Gateways: 8})
	l.Answer(now, gatewayB, Request{Epoch: 1, Number: 11, Claim: true, Gateways: 8})
	require.Equal(t, served+100*time.Millisecond, l.Served(now+400*time.Millisecond))
	now += toldMemory
	l.Answer(now, gatewayA, Request{Epoch: 1, Number: 12, Claim: true})
	require.InDelta(t, 0.5, l.Share(now), 0.01, "the others are gone")
}

func TestReleasedGatewayIsNotCounted(t *testing.T) {
	l, now := steadyLedger(t, gatewayA, gatewayB)
	a, ok := l.Answer(now, gatewayA, Request{Epoch: 1, Number: 1000, Release: true})
	require.True(t, ok)
	require.False(t, a.Counted)
	require.InDelta(t, 0.5, l.share(), 0.01)
}
