package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/faker"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// outcome is what a caller saw of a request.
type outcome string

const (
	whole   outcome = "whole"
	notRun  outcome = "not run" // refused, and stated not to have run
	unknown outcome = "unknown" // failed, and stated to have run perhaps
	broken  outcome = "broken"  // the connection to the entry broke
	cut     outcome = "cut"     // ended early as if it were whole
	mixed   outcome = "mixed"   // holds parts of another answer
	hung    outcome = "hung"    // no end well after the deadline
)

// sample is one request as its caller saw it.
type sample struct {
	class   configurator.ClassName
	service bool
	outcome outcome
	begun   time.Time
	first   time.Duration // zero unless streamed
	gaps    []time.Duration
	took    time.Duration
}

// booking is what a caller knows about a call that must not run twice.
type booking struct {
	body   string
	keyed  bool
	whole  bool
	maybe  bool // an attempt was answered as unknown, or its connection broke
	denied bool // an attempt was answered as not run
}

func (b *booking) add(o outcome) {
	switch o {
	case whole:
		b.whole = true
	case notRun:
		b.denied = true
	default:
		b.maybe = true
	}
}

// ClassReport is what the callers of an urgency class saw.
type ClassReport struct {
	Class           configurator.ClassName `json:"class"`
	Sent            int                    `json:"sent"`
	Complete        int                    `json:"whole"`
	NotRun          int                    `json:"notrun"`
	Unknown         int                    `json:"unknown"`
	Broken          int                    `json:"broken"` // connections to a killed entry
	WithinTarget    int                    `json:"within"` // whole and within the target
	FirstTokenP50Ms float64                `json:"first50"`
	FirstTokenP95Ms float64                `json:"first95"` // ms
	TokenGapP50Ms   float64                `json:"gap50"`
	TokenGapP95Ms   float64                `json:"gap95"`

	target configurator.Class
	first  *hdrhistogram.Histogram
	gap    *hdrhistogram.Histogram
}

// RunnerReport is what a runner's engine saw.
type RunnerReport struct {
	Upstream configurator.UpstreamName `json:"upstream"`
	faker.EngineStats
}

// Report is the outcome of Drive.
type Report struct {
	Classes                  []*ClassReport           `json:"classes"`
	Runners                  []RunnerReport           `json:"runners"`
	Orders                   faker.OrderCounts        `json:"moves"`
	Accelerators             int                      `json:"accelerators"`
	AttainmentPerAccelerator float64                  `json:"attainment"` // share of requests within target, per accelerator
	TargetAttainment         float64                  `json:"share"`      // of requests within target
	Bookings                 int                      `json:"bookings"`
	RanTwice                 int                      `json:"doubles"` // calls that ran twice
	RanDespiteNotRun         int                      `json:"lies"`    // calls that ran although answered as not run
	CompleteWithoutRun       int                      `json:"missed"`  // calls answered as whole that did not run
	Truncated                int                      `json:"cut"`
	Mixed                    int                      `json:"mixed"`
	Hung                     int                      `json:"hung"` // requests without an end
	OvercommittedBytes       int64                    `json:"over"` // overcommitted bytes of accelerator memory
	Unreachable              []configurator.ModelName `json:"unreachable"`
	Faults                   map[string]int           `json:"faults"`
	LogAppends               int                      `json:"appends"`
	Seconds                  float64                  `json:"seconds"`

	mu       sync.Mutex
	bookings []booking
}

// Range of the latency histograms.
const (
	maxLatency = int64(15 * time.Minute / time.Microsecond)
	digits     = 3
)

func newReport(cfg configurator.Configuration) *Report {
	r := &Report{Faults: map[string]int{}, Unreachable: []configurator.ModelName{}}
	for _, c := range cfg.Classes {
		r.Classes = append(r.Classes, &ClassReport{
			Class: c.Name, target: c, first: hdrhistogram.New(1, maxLatency, digits), gap: hdrhistogram.New(1, maxLatency, digits),
		})
	}
	for _, u := range cfg.Upstreams {
		r.Accelerators += u.Accelerators
	}
	return r
}

func (r *Report) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.Classes, func(c *ClassReport) bool { return c.Class == s.class })
	c := r.Classes[i]
	c.Sent++
	switch s.outcome {
	case whole:
		c.Complete++
	case notRun:
		c.NotRun++
	case unknown:
		c.Unknown++
	case broken:
		c.Broken++
	case cut:
		r.Truncated++
	case mixed:
		r.Mixed++
	case hung:
		r.Hung++
	}
	var sum time.Duration
	for _, g := range s.gaps {
		sum += g
		_ = c.gap.RecordValue(g.Microseconds())
	}
	if s.first > 0 {
		_ = c.first.RecordValue(s.first.Microseconds())
	}
	within := s.outcome == whole && s.took <= c.target.Timeout.Duration() && s.first <= c.target.TargetFirstToken.Duration()
	if len(s.gaps) > 0 {
		within = within && sum/time.Duration(len(s.gaps)) <= c.target.TargetGap.Duration()
	}
	if within {
		c.WithinTarget++
	}
}

func (r *Report) book(b booking) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings = append(r.bookings, b)
}

func (r *Report) unreachable(m configurator.ModelName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Unreachable = append(r.Unreachable, m)
}

func (r *Report) fault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults[name]++
}

// line sums up the requests so far.
func (r *Report) line() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var t ClassReport
	for _, c := range r.Classes {
		t.Sent += c.Sent
		t.Complete += c.Complete
		t.NotRun += c.NotRun
		t.Unknown += c.Unknown
		t.Broken += c.Broken
	}
	return fmt.Sprintf("answered %d: whole %d, not run %d, unknown %d, broken %d", t.Sent, t.Complete, t.NotRun, t.Unknown, t.Broken)
}

// finish compares what callers were told with what the upstreams saw.
func (r *Report) finish(c *Cluster, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string]int{}
	for _, a := range c.Agents {
		if a.Booking != nil {
			for body, n := range a.Booking.RunCounts() {
				runs[body] += n
			}
			continue
		}
		stats := a.Engine.Stats()
		r.Runners = append(r.Runners, RunnerReport{a.Upstream.Name, stats})
		r.OvercommittedBytes += max(0, int64(stats.PeakMemory-stats.WeightMemory))
		r.Orders.Loads += stats.Orders.Loads
		r.Orders.Unloads += stats.Orders.Unloads
		r.Orders.AdapterLoads += stats.Orders.AdapterLoads
		r.Orders.RefusedLoads += stats.Orders.RefusedLoads
		r.Orders.StaleOrders += stats.Orders.StaleOrders
	}
	r.Bookings = len(r.bookings)
	for _, b := range r.bookings {
		n := runs[b.body]
		switch {
		case n > 1:
			r.RanTwice++
		case n > 0 && b.denied && !b.maybe && !b.whole:
			r.RanDespiteNotRun++
		case n == 0 && b.whole:
			r.CompleteWithoutRun++
		}
	}
	sent, within := 0, 0
	for _, k := range r.Classes {
		sent += k.Sent
		within += k.WithinTarget
		k.FirstTokenP50Ms, k.FirstTokenP95Ms = quantiles(k.first)
		k.TokenGapP50Ms, k.TokenGapP95Ms = quantiles(k.gap)
	}
	r.TargetAttainment = float64(within) / float64(max(1, sent))
	r.AttainmentPerAccelerator = r.TargetAttainment / float64(max(1, r.Accelerators))
	r.LogAppends = c.Log.AppendCount()
	r.Seconds = took.Seconds()
}

func quantiles(h *hdrhistogram.Histogram) (float64, float64) {
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(95)) / 1000
}

// Err tells which promises were broken, and is nil if none were.
func (r *Report) Err() error {
	var failed []string
	note := func(n int64, what string) {
		if n > 0 {
			failed = append(failed, fmt.Sprintf("%d %s", n, what))
		}
	}
	note(int64(r.RanTwice), "calls ran twice")
	note(int64(r.RanDespiteNotRun), "calls ran although answered as not run")
	note(int64(r.CompleteWithoutRun), "calls answered as whole did not run")
	note(int64(r.Truncated), "answers were cut")
	note(int64(r.Mixed), "answers were mixed")
	note(int64(r.Hung), "requests had no end")
	note(r.OvercommittedBytes, "bytes of memory were overcommitted")
	note(int64(len(r.Unreachable)), "models were unreachable")
	if len(failed) == 0 {
		return nil
	}
	return classifier.New(classifier.Internal, "promises were broken: %s", strings.Join(failed, ", "))
}

// PrintJSON writes the report as JSON.
func (r *Report) PrintJSON(w io.Writer) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(r)
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\tsent\twhole\tnot run\tunknown\tbroken\twithin target\tfirst p50\tp95 ms\tgap p50\tp95 ms\t")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.Class, c.Sent, c.Complete, c.NotRun, c.Unknown, c.Broken,
			100*float64(c.WithinTarget)/float64(max(1, c.Sent)), c.FirstTokenP50Ms, c.FirstTokenP95Ms, c.TokenGapP50Ms, c.TokenGapP95Ms)
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(out, "attainment: %.1f%% within target on %d accelerators, %.3f%% per accelerator\n", 100*r.TargetAttainment, r.Accelerators, 100*r.AttainmentPerAccelerator)
	_, _ = fmt.Fprintf(out, "moves: %d loads, %d unloads, %d adapters; the store refused %d, old numbers %d; log appends %d in %.0f s\n",
		r.Orders.Loads, r.Orders.Unloads, r.Orders.AdapterLoads, r.Orders.RefusedLoads, r.Orders.StaleOrders, r.LogAppends, r.Seconds)
	_, _ = fmt.Fprintf(out, "non-idempotent calls: %d, run twice %d, run though answered as not run %d, whole but not run %d\n", r.Bookings, r.RanTwice, r.RanDespiteNotRun, r.CompleteWithoutRun)
	_, _ = fmt.Fprintf(out, "answers: cut %d, mixed %d, without end %d; unreachable models: %d\n", r.Truncated, r.Mixed, r.Hung, len(r.Unreachable))
	peak, size := configurator.Bytes(0), configurator.Bytes(0)
	for _, k := range r.Runners {
		if size == 0 || float64(k.PeakMemory)/float64(k.WeightMemory) > float64(peak)/float64(size) {
			peak, size = k.PeakMemory, k.WeightMemory
		}
	}
	_, _ = fmt.Fprintf(out, "accelerator memory: fullest runner at %.1f of %.1f GB, overcommitted %d bytes\n", float64(peak)/1e9, float64(size)/1e9, r.OvercommittedBytes)
	if len(r.Faults) > 0 {
		names := make([]string, 0, len(r.Faults))
		for f, n := range r.Faults {
			names = append(names, fmt.Sprintf("%s %d", f, n))
		}
		slices.Sort(names)
		_, _ = fmt.Fprintf(out, "faults: %s\n", strings.Join(names, ", "))
	}
}
