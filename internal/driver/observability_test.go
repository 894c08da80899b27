package driver

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/observer"
	"github.com/egretwall/egretwall/internal/reducer"
)

func TestMetricsOfAllProcessesCanBeWritten(t *testing.T) {
	for _, metrics := range []any{GatewayMetrics{}, StewardMetrics{}, reducer.EntryCounters{}, reducer.AgentCounters{}} {
		var b bytes.Buffer
		require.NoError(t, observer.WriteMetrics(&b, metrics))
		require.Contains(t, b.String(), "# TYPE egretwall_")
	}
}
