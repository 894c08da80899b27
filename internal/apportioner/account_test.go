package apportioner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// testAccount returns an account whose claim an issuer "a" has accepted, and its time.
func testAccount(t *testing.T) (*Account, time.Duration) {
	a := NewAccount(Config{Epoch: 1})
	a.Configure(1, []registrar.Workspace{workspace("w", 1000, 4000)})
	now := 2 * time.Second
	request, issuer, ok := a.Poll(now, []string{"a", "b"})
	require.True(t, ok)
	require.Equal(t, "a", issuer)
	require.True(t, request.Claim)
	require.Equal(t, "w", string(request.Rows[0].Workspace), "it tells of all quotas")
	a.Receive(now, a.answerWith(1500))
	return a, now
}

// answerWith returns the answer to the request under way.
func (a *Account) answerWith(tokens float64) Answer {
	return Answer{Epoch: a.cfg.Epoch, Number: a.number, Counted: true, Gateways: 2, Rows: []AnswerRow{{Workspace: "w", Tokens: tokens}}}
}

func TestAnswerIsTakenOnce(t *testing.T) {
	a, now := testAccount(t)
	again := a.answerWith(1500)
	a.Receive(now, again)
	require.Equal(t, 1500.0, a.balances["w"].tokens, "it came twice")
	request, _, ok := a.Poll(now+time.Second, []string{"a"})
	require.True(t, ok)
	left := 1500 - request.Rows[0].Returned
	a.Receive(now+time.Second, again)
	require.Equal(t, left, a.balances["w"].tokens, "it came late")
	other := a.answerWith(1500)
	other.Epoch = 2
	a.Receive(now+time.Second, other)
	require.Equal(t, left, a.balances["w"].tokens, "it was for another process")
}

func TestTokensOfAFrozenGatewayAreVoid(t *testing.T) {
	a, now := testAccount(t)
	require.Equal(t, Granted, a.Take(now+balanceTTL-time.Millisecond, 1, "w", 500).Outcome)
	require.NotEqual(t, Granted, a.Take(now+balanceTTL, 2, "w", 500).Outcome)
}

func TestLateAnswerOfAFrozenGatewayIsVoid(t *testing.T) {
	a, now := testAccount(t)
	_, _, ok := a.Poll(now+time.Second, []string{"a"})
	require.True(t, ok)
	a.Receive(now+time.Second+balanceTTL, a.answerWith(1000))
	require.NotEqual(t, Granted, a.Take(now+time.Second+balanceTTL, 1, "w", 500).Outcome)
}

// The earlier issuer may count the gateway still.
func TestGatewayClaimsAtAnotherIssuerOnlyWhenItIsFree(t *testing.T) {
	a, now := testAccount(t)
	claimed := now
	for ; now < claimed+2*time.Second; now += 20 * time.Millisecond {
		request, issuer, ok := a.Poll(now, []string{"b"})
		if !ok {
			continue
		}
		if issuer == "a" { // which does not answer any more
			if request.Claim {
				claimed = now
			}
			continue
		}
		if request.Claim {
			break
		}
		a.Receive(now, Answer{Epoch: 1, Number: request.Number, Gateways: 2})
	}
	require.GreaterOrEqual(t, now, claimed+claimTTL+claimMargin)
	require.Less(t, now, claimed+claimTTL+claimMargin+500*time.Millisecond)
}

func TestGatewayThatHasJustStartedDoesNotClaim(t *testing.T) {
	a := NewAccount(Config{Epoch: 1})
	a.Configure(1, []registrar.Workspace{workspace("w", 1000, 4000)})
	request, _, ok := a.Poll(10*time.Millisecond, []string{"a"})
	require.True(t, ok)
	require.False(t, request.Claim, "its earlier process may be counted elsewhere")
}

func TestGatewayMovesToABetterIssuerWithoutAGap(t *testing.T) {
	a := NewAccount(Config{Epoch: 1})
	a.Configure(1, []registrar.Workspace{workspace("w", 1000, 4000)})
	released := false
	now := 2 * time.Second
	for end := now + 8*time.Second; now < end; now += 20 * time.Millisecond {
		issuers := []string{"b"}
		if now >= 3*time.Second {
			issuers = []string{"a", "b"}
		}
		request, issuer, ok := a.Poll(now, issuers)
		if !ok {
			continue
		}
		if released {
			require.Equal(t, "a", issuer)
			require.True(t, request.Claim, "at once")
			require.GreaterOrEqual(t, now, 3*time.Second+settleTime)
			return
		}
		require.Equal(t, "b", issuer)
		released = request.Release
		a.Receive(now, Answer{Epoch: 1, Number: request.Number, Counted: !released, Gateways: 2})
	}
	require.Fail(t, "the gateway has not moved")
}

// The part starts empty and is used only when no issuer can count the gateway.
func TestGatewayUsesItsOwnPartWhenNoIssuerAnswers(t *testing.T) {
	a, now := testAccount(t)
	a.balances["w"].tokens = 0
	require.Equal(t, Pending, a.Take(now, 1, "w", 100).Outcome)
	require.False(t, a.Take(now+claimTTL, 1, "w", 100).Own, "the issuer may count it still")
	now += claimTTL + claimMargin
	a.Settled(now)
	granted := 0.0
	for id := uint64(2); now < 12*time.Second; now += 20 * time.Millisecond {
		if d := a.Take(now, id, "w", 100); d.Outcome == Granted {
			require.True(t, d.Own)
			granted += 100
		}
		id++
	}
	require.InDelta(t, 500*9, granted, 700, "half of the rate, since there are two gateways")
}

func TestOneRequestIsGrantedOnCreditWhileTheIssuerIsSilent(t *testing.T) {
	a, now := testAccount(t)
	a.balances["w"].plenty, a.balances["w"].tokens = true, 0
	for id := range uint64(2) {
		require.Equal(t, Pending, a.Take(now, id, "w", 100).Outcome)
	}
	settled := a.Settled(now + maxPendingTime)
	require.Len(t, settled, 2)
	require.Equal(t, Granted, settled[0].Outcome)
	require.Equal(t, Refused, settled[1].Outcome)
	require.Equal(t, -100.0, a.balances["w"].tokens)
}

// A gateway decides on each request of a workspace with a quota.
func BenchmarkTake(b *testing.B) {
	a := NewAccount(Config{Epoch: 1})
	a.Configure(1, []registrar.Workspace{workspace("w", 1000, 4000)})
	a.balances["w"].tokens, a.answeredAt = 1e15, time.Second
	b.ReportAllocs()
	for b.Loop() {
		if a.Take(time.Second, 1, "w", 1).Outcome != Granted {
			b.Fatal("not granted")
		}
	}
}
