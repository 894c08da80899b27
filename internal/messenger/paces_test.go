package messenger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/estimator"
)

func TestPacesReachTheirRunner(t *testing.T) {
	packed := PackPaces([]dispatcher.RunnerPace{{Address: "10.0.0.1:80", Ratio: 240}, {Address: "10.0.0.2:80", Ratio: 90}, {Address: "10.0.0.1:80", Ratio: 230}})
	require.Equal(t, []estimator.Percent{240, 230}, packed.Of("10.0.0.1:80"))
	require.Equal(t, []estimator.Percent{90}, packed.Of("10.0.0.2:80"))
	require.Empty(t, packed.Of("10.0.0.3:80"))
	require.Empty(t, PackedPaces{7}.Of("10.0.0.1:80"))
}
