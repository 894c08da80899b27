package messenger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/limiter"
	"github.com/egretwall/egretwall/internal/registrar"
)

// decodeAll encodes a message and returns what a peer of either format decodes.
func decodeAll(t *testing.T, m Message) []Message {
	datagrams, err := Encode(m)
	require.NoError(t, err)
	var all []Message
	for _, d := range datagrams {
		asJSON, err := d.json()
		require.NoError(t, err)
		compact, _, err := decode(d.compact)
		require.NoError(t, err)
		plain, _, err := decode(asJSON)
		require.NoError(t, err)
		require.Equal(t, compact, plain)
		require.Equal(t, m.Sender, compact.Sender)
		require.Equal(t, m.Version, compact.Version)
		all = append(all, compact)
	}
	return all
}

func traits(kind string, n int) []isolator.Trait {
	var all []isolator.Trait
	for i := range n {
		all = append(all, isolator.Trait(fmt.Sprintf("%s:%016d", kind, i)))
	}
	return all
}

// Reports failed as a whole when the limits and verdicts beside them exceeded a datagram.
func TestReportIsSentBesideLongLists(t *testing.T) {
	report := dispatcher.Report{Address: "10.0.0.1:80", Running: 3}
	m := Message{Sender: "a", Version: 3, Report: &report, Suspects: traits("part", 5000)}
	for i := range 1000 {
		m.Limits = append(m.Limits, limiter.Limit{Upstream: registrar.UpstreamID(fmt.Sprintf("i-%016d", i)), Incarnation: 1793000000000, Rate: 2.4, Age: time.Second})
		m.Verdicts = append(m.Verdicts, isolator.Verdict{Trait: isolator.Trait(fmt.Sprintf("request:%016d.%08d", i, i)), Age: time.Hour})
	}
	var got Message
	for _, part := range decodeAll(t, m) {
		if part.Report != nil {
			require.Nil(t, got.Report)
			got.Report = part.Report
		}
		got.Limits = append(got.Limits, part.Limits...)
		got.Verdicts = append(got.Verdicts, part.Verdicts...)
		got.Suspects = append(got.Suspects, part.Suspects...)
	}
	got.Sender, got.Version = m.Sender, m.Version
	require.Equal(t, m, got)
	require.Len(t, decodeAll(t, Message{Sender: "a", Report: &report, Verdicts: m.Verdicts[:10]}), 1)
}

// A crash of requests with thousands of parts was not reported.
func TestCrashOfRequestsWithManyPartsIsReported(t *testing.T) {
	for _, parts := range [][]int{{4000}, {3000, 0, 3000, 5}} {
		crash := isolator.Crash{Upstream: "u", Incarnation: 7}
		known := map[isolator.Trait]map[isolator.Trait]bool{}
		for i, n := range parts {
			request := []isolator.Trait{isolator.Trait(fmt.Sprintf("request:r%d.c", i)), isolator.Trait(fmt.Sprintf("content:r%d", i))}
			known[request[0]] = map[isolator.Trait]bool{}
			for _, part := range traits("part", n) {
				known[request[0]][part] = true
			}
			crash.Requests = append(crash.Requests, append(request, traits("part", n)...))
		}
		got := map[isolator.Trait]map[isolator.Trait]bool{}
		for _, m := range decodeAll(t, Message{Sender: "a", Crash: &crash}) {
			require.Equal(t, crash.Upstream, m.Crash.Upstream)
			require.Equal(t, crash.Incarnation, m.Crash.Incarnation)
			for _, request := range m.Crash.Requests {
				require.Equal(t, isolator.ContentTrait, request[1].Kind())
				if got[request[0]] == nil {
					got[request[0]] = map[isolator.Trait]bool{}
				}
				for _, part := range request[2:] {
					got[request[0]][part] = true
				}
			}
		}
		require.Equal(t, known, got)
	}
}
