package driver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestLag(t *testing.T) {
	const s = time.Second
	one, two := addressOf(1), addressOf(2)
	for name, tc := range map[string]struct {
		play func(a *announcements)
		lag  time.Duration // at 10 s, with version 5 in force
	}{
		"nothing announced": {play: func(*announcements) {}},
		"older version":     {play: func(a *announcements) { a.announce(9*s, one, 5, 5) }},
		"newer version":     {play: func(a *announcements) { a.announce(9*s, one, 6, 5); a.announce(9*s+1, two, 6, 5) }, lag: s},
		"announced once":    {play: func(a *announcements) { a.announce(9*s, one, 6, 5) }},
		"since the first announcement": {play: func(a *announcements) {
			a.announce(2*s, one, 6, 5)
			a.announce(4*s, one, 6, 5)
			a.announce(9*s, one, 6, 5)
		}, lag: 8 * s},
		"since the first newer version": {play: func(a *announcements) {
			a.announce(2*s, one, 6, 5)
			a.announce(3*s, one, 6, 5)
			a.announce(8*s, one, 8, 5)
			a.announce(9*s, one, 8, 5)
		}, lag: 8 * s},
		"another peer goes on": {play: func(a *announcements) {
			a.announce(2*s, one, 6, 5)
			a.announce(2*s, one, 6, 5)
			a.announce(8*s, two, 7, 5)
			a.announce(9*s, two, 7, 5)
		}, lag: 8 * s},
		"no peer goes on":         {play: func(a *announcements) { a.announce(2*s, one, 6, 5) }},
		"peer that started again": {play: func(a *announcements) { a.announce(8*s, one, 6, 5); a.announce(9*s, one, 4, 5) }},
		"odd version that was announced once": {play: func(a *announcements) {
			a.announce(8*s, one, 1<<62, 5)
			a.announce(9*s, two, 6, 5)
			a.announce(9*s, two, 6, 5)
		}, lag: s},
		"peer that did not have it": {play: func(a *announcements) {
			a.announce(8*s, one, 6, 5)
			a.refute(one, 6)
			a.announce(9*s, one, 6, 5)
		}},
		"peer that did not have the one before": {play: func(a *announcements) {
			a.announce(8*s, one, 6, 5)
			a.announce(8*s, one, 6, 5)
			a.refute(one, 6)
			a.announce(9*s, one, 7, 5)
			a.announce(9*s, one, 7, 5)
		}, lag: 2 * s},
		"version that can't be decoded": {play: func(a *announcements) { a.announce(9*s, one, 6, 5); a.announce(9*s, one, 6, 5); a.unusable = 6 }},
		"installed": {play: func(a *announcements) {
			a.announce(8*s, one, 5, 4)
			a.announce(9*s, one, 6, 4)
			a.announce(9*s, one, 6, 4)
			a.installed(5, fromPeer)
		}, lag: s},
		"store begins to send":                {play: func(a *announcements) { a.pending(9*s, 7) }, lag: s},
		"store goes on sending":               {play: func(a *announcements) { a.pending(6*s, 7); a.pending(8*s, 7) }, lag: 4 * s},
		"store has stopped":                   {play: func(a *announcements) { a.pending(6*s, 7) }},
		"store begins again":                  {play: func(a *announcements) { a.pending(2*s, 7); a.pending(9*s, 7) }, lag: s},
		"store sends what a peer has brought": {play: func(a *announcements) { a.pending(8*s, 7); a.installed(5, fromPeer); a.pending(9*s, 7) }},
		"store sends more than that":          {play: func(a *announcements) { a.pending(7*s, 7); a.installed(5, fromPeer); a.pending(9*s, 8) }, lag: s},
		"store sends the rest":                {play: func(a *announcements) { a.pending(8*s, 7); a.installed(5, fromStore); a.pending(9*s, 7) }, lag: s},
		"store was restored":                  {play: func(a *announcements) { a.pending(7*s, 7); a.installed(5, fromPeer); a.restored(); a.pending(9*s, 2) }, lag: s},
		"store has sent all":                  {play: func(a *announcements) { a.pending(9*s, 7); a.read() }},
		"sent, but a peer has a newer": {play: func(a *announcements) {
			a.announce(8*s, one, 6, 5)
			a.announce(8*s, one, 6, 5)
			a.pending(9*s, 7)
			a.read()
		}, lag: 2 * s},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAnnouncements()
			tc.play(&a)
			require.Equal(t, tc.lag, a.lag(10*s, 5))
		})
	}
}

func TestHeardVersionsAreBounded(t *testing.T) {
	a := newAnnouncements()
	for v := range registrar.Version(10 * maxHeard) {
		a.announce(time.Second, addressOf(1), v, 0)
	}
	require.Len(t, a.heard, maxHeard)
	require.True(t, a.exists(2*time.Second, 0))
	require.False(t, a.exists(time.Minute, 0), "each was announced once")
	for range 2 {
		a.announce(time.Minute, addressOf(1), 7, 0)
	}
	require.Equal(t, time.Second, a.lag(time.Minute+time.Second, 0))
	require.True(t, a.exists(time.Hour, 0))
	a.installed(10*maxHeard, fromPeer)
	require.Empty(t, a.heard)
}
