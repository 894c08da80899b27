package messenger

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/apportioner"
)

// A gateway sends such a request several times a second, with a row for each workspace in
// use.
func TestTokenRequestAndAnswerAreSmall(t *testing.T) {
	request := apportioner.Request{Epoch: 1793000000000, Number: 71234, Claim: true, Version: 1792, Rows: []apportioner.RequestRow{
		{Workspace: "dues-north-12", Rate: 150000, Burst: 300000, Held: 81234.5, Want: 20311.25, Unit: 1114.5},
	}}
	answer := apportioner.Answer{Epoch: 1793000000000, Number: 71234, Counted: true, Gateways: 103, Rows: []apportioner.AnswerRow{
		{Workspace: "dues-north-12", Tokens: 20311.25, Plenty: true},
	}, Roster: []apportioner.Member{{Address: netip.MustParseAddrPort("10.103.200.240:7380"), Age: 90 * time.Millisecond}}}
	for _, m := range []Message{{Sender: "front-be-north-a-101", TokenRequest: &request, Version: 1792}, {Sender: "side-be-north-a-101", TokenAnswer: &answer, Version: 1792}} {
		d, err := encodeOne(m)
		require.NoError(t, err)
		t.Logf("%d bytes", len(d.compact))
		require.Less(t, len(d.compact), 130)
		asJSON, err := d.json()
		require.NoError(t, err)
		for _, data := range [][]byte{d.compact, asJSON} {
			got, _, err := decode(data)
			require.NoError(t, err)
			require.Equal(t, m, got)
		}
	}
}
