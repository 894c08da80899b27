package apportioner

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// envelopeBytes are those of a message and a datagram around a request or an answer.
const envelopeBytes = 70

// Requests to the issuer must not grow with the callers, and little with the gateways.
func TestTrafficOfQuotasIsBounded(t *testing.T) {
	for _, n := range fleetSizes {
		var all []registrar.Workspace
		for i := range 16 {
			rate := 6000.0
			if i < 3 {
				rate = 150_000
			}
			all = append(all, workspace(fmt.Sprintf("workspace-%02d", i), rate, 2*rate))
		}
		f := newFleet(t, n, all...)
		f.measure = func(x any) int {
			data, err := cbor.Marshal(x)
			require.NoError(t, err)
			return len(data) + envelopeBytes
		}
		f.run(3 * time.Second)
		f.demand = func(_ time.Duration, _ int, name registrar.WorkspaceName) float64 {
			load := 0.7
			if name == "workspace-00" {
				load = 6
			}
			for _, w := range all {
				if w.Name == name {
					return load * w.Quota.Rate / testCost / float64(n)
				}
			}
			return 0
		}
		f.run(3 * time.Second)
		f.datagrams, f.bytes = 0, 0
		f.run(5 * time.Second)
		perSecond := f.datagrams / 5
		t.Logf("%d gateways: %d datagrams and %d bytes a second", n, perSecond, f.bytes/5)
		require.Less(t, perSecond, 2500)
	}
}
