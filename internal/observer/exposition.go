package observer

import (
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"
)

// metricPrefix begins the names of all metrics in the Prometheus text format.
const metricPrefix = "egretwall_"

// gaugeTag is the value of the struct tag "metric" of a number that can fall. Other
// numbers are counters.
const gaugeTag = "gauge"

// WriteMetrics writes a struct of metrics in the Prometheus text format. Fields are named
// by their JSON names; numbers are counters or, with the tag metric:"gauge", gauges, and a
// LatencySummary is a histogram in seconds. Fields of other types are an error.
func WriteMetrics(w io.Writer, metrics any) error {
	families, err := metricFamilies(reflect.ValueOf(metrics))
	if err != nil {
		return err
	}
	slices.SortFunc(families, func(a, b *dto.MetricFamily) int { return strings.Compare(a.GetName(), b.GetName()) })
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return fmt.Errorf("write metric %s: %w", f.GetName(), err)
		}
	}
	return nil
}

// metricFamilies returns a family for each field of a struct, those of embedded structs
// included.
func metricFamilies(v reflect.Value) ([]*dto.MetricFamily, error) {
	var all []*dto.MetricFamily
	for i := range v.NumField() {
		field, value := v.Type().Field(i), v.Field(i)
		if field.Anonymous {
			embedded, err := metricFamilies(value)
			if err != nil {
				return nil, err
			}
			all = append(all, embedded...)
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = strings.ToLower(field.Name)
		}
		f, err := metricFamily(name, field.Tag.Get("metric") == gaugeTag, value)
		if err != nil {
			return nil, err
		}
		all = append(all, f)
	}
	return all, nil
}

func metricFamily(name string, gauge bool, v reflect.Value) (*dto.MetricFamily, error) {
	if summary, ok := v.Interface().(LatencySummary); ok {
		return &dto.MetricFamily{
			Name: proto.String(metricPrefix + name + "_seconds"), Type: dto.MetricType_HISTOGRAM.Enum(), Metric: []*dto.Metric{{Histogram: summary.histogram()}},
		}, nil
	}
	var number float64
	switch {
	case v.CanInt():
		number = float64(v.Int())
	case v.CanUint():
		number = float64(v.Uint())
	case v.CanFloat():
		number = v.Float()
	default:
		return nil, fmt.Errorf("metric %s has the type %s", name, v.Type())
	}
	if gauge {
		return &dto.MetricFamily{
			Name: proto.String(metricPrefix + name), Type: dto.MetricType_GAUGE.Enum(), Metric: []*dto.Metric{{Gauge: &dto.Gauge{Value: &number}}},
		}, nil
	}
	return &dto.MetricFamily{
		Name: proto.String(metricPrefix + name + "_total"), Type: dto.MetricType_COUNTER.Enum(), Metric: []*dto.Metric{{Counter: &dto.Counter{Value: &number}}},
	}, nil
}

// histogram returns the summary's buckets.
func (s LatencySummary) histogram() *dto.Histogram {
	count, sum := uint64(s.Count), s.sum
	h := &dto.Histogram{SampleCount: &count, SampleSum: &sum}
	for i, n := range s.buckets {
		h.Bucket = append(h.Bucket, &dto.Bucket{UpperBound: proto.Float64(bucketBounds[i].Seconds()), CumulativeCount: proto.Uint64(uint64(n))})
	}
	return h
}
