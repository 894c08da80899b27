package observer

import (
	"bytes"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/require"
)

type testCounters struct {
	Sent int `json:"sent"`
}

type testMetrics struct {
	testCounters
	Open    int            `json:"open" metric:"gauge"`
	Latency LatencySummary `json:"held"`
}

func TestMetricsInPrometheusFormat(t *testing.T) {
	h := NewLatencyHistogram()
	for _, d := range []time.Duration{3 * time.Millisecond, 40 * time.Millisecond, 40 * time.Millisecond, 70 * time.Second} {
		h.Record(d)
	}
	var b bytes.Buffer
	require.NoError(t, WriteMetrics(&b, testMetrics{testCounters: testCounters{Sent: 7}, Open: 2, Latency: h.Summary()}))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(b.String()))
	require.NoError(t, err)
	require.Len(t, families, 3)
	require.Equal(t, dto.MetricType_COUNTER, families["egretwall_sent_total"].GetType())
	require.InDelta(t, 7, families["egretwall_sent_total"].Metric[0].GetCounter().GetValue(), 0)
	require.InDelta(t, 2, families["egretwall_open"].Metric[0].GetGauge().GetValue(), 0)
	held := families["egretwall_held_seconds"].Metric[0].GetHistogram()
	require.EqualValues(t, 4, held.GetSampleCount())
	require.InDelta(t, 60.083, held.GetSampleSum(), 0.6)
	counts := map[float64]uint64{}
	for _, bucket := range held.GetBucket() {
		counts[bucket.GetUpperBound()] = bucket.GetCumulativeCount()
	}
	require.EqualValues(t, 1, counts[0.005])
	require.EqualValues(t, 3, counts[0.05])
	require.EqualValues(t, 3, counts[30])
}

func TestMetricsOfOtherTypesAreAnError(t *testing.T) {
	require.ErrorContains(t, WriteMetrics(&bytes.Buffer{}, struct{ Name string }{"x"}), "has the type string")
}
