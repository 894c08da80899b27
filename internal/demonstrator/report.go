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

// outcome is the result of a request as its caller saw it.
type outcome string

const (
	complete  outcome = "whole"   // the complete, expected response
	notRun    outcome = "not run" // error response that states that the request did not run
	unknown   outcome = "unknown" // error response that leaves open whether the request ran
	broken    outcome = "broken"  // the connection to the entry failed, or the response could not be decoded
	truncated outcome = "cut"     // the response ended early without an error
	mixed     outcome = "mixed"   // unexpected content, such as that of another response
	hung      outcome = "hung"    // the response had not ended hungMargin after the deadline
)

// sample holds the outcome and the latencies of one request as its caller saw them.
type sample struct {
	class      configurator.ClassName
	service    bool
	outcome    outcome
	started    time.Time
	firstToken time.Duration // time to the first token; zero unless streamed
	tokenGaps  []time.Duration
	duration   time.Duration
}

// bookingResult sums up the outcomes of all attempts of a non-idempotent request.
type bookingResult struct {
	body     string
	keyed    bool
	complete bool
	maybeRan bool // an attempt may have run: its outcome was unknown, or it got no proper response
	notRun   bool // the response of an attempt stated that it did not run
}

func (b *bookingResult) add(o outcome) {
	switch o {
	case complete:
		b.complete = true
	case notRun:
		b.notRun = true
	default:
		b.maybeRan = true
	}
}

// ClassReport holds the results of the requests of an urgency class.
type ClassReport struct {
	Class           configurator.ClassName `json:"class"`
	Sent            int                    `json:"sent"`
	Complete        int                    `json:"whole"` // complete and correct responses
	NotRun          int                    `json:"notrun"`
	Unknown         int                    `json:"unknown"`
	Broken          int                    `json:"broken"` // requests whose connection to the entry failed or whose response could not be decoded
	WithinTarget    int                    `json:"within"` // complete and within the latency targets of the class
	FirstTokenP50Ms float64                `json:"first50"`
	FirstTokenP95Ms float64                `json:"first95"`
	TokenGapP50Ms   float64                `json:"gap50"`
	TokenGapP95Ms   float64                `json:"gap95"`

	class      configurator.Class
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

// RunnerReport holds the counters of a runner's engine.
type RunnerReport struct {
	Upstream configurator.UpstreamName `json:"upstream"`
	faker.EngineStats
}

// Report holds the results of a load test.
type Report struct {
	Classes                  []*ClassReport           `json:"classes"`
	Runners                  []RunnerReport           `json:"runners"`
	Orders                   faker.OrderCounts        `json:"moves"`
	Accelerators             int                      `json:"accelerators"`
	AttainmentPerAccelerator float64                  `json:"attainment"`  // TargetAttainment divided by the number of accelerators
	TargetAttainment         float64                  `json:"share"`       // share of requests that were complete and within the latency targets
	Bookings                 int                      `json:"bookings"`    // non-idempotent requests
	RanTwice                 int                      `json:"doubles"`     // non-idempotent requests that ran more than once
	RanDespiteNotRun         int                      `json:"lies"`        // non-idempotent requests that ran although all responses stated that they did not
	CompleteWithoutRun       int                      `json:"missed"`      // non-idempotent requests with a complete response that did not run
	Truncated                int                      `json:"cut"`         // responses that ended early without an error
	Mixed                    int                      `json:"mixed"`       // responses with unexpected content, such as that of another response
	Hung                     int                      `json:"hung"`        // requests whose response had not ended hungMargin after their deadline
	OvercommittedBytes       int64                    `json:"over"`        // sum over the runners of the peak use above the capacity for weights
	Unreachable              []configurator.ModelName `json:"unreachable"` // models and adapters without a complete response after the faults
	Faults                   map[string]int           `json:"faults"`      // injected, by kind
	LogAppends               int                      `json:"appends"`     // records appended to the log
	Seconds                  float64                  `json:"seconds"`     // duration of the load test

	mu       sync.Mutex
	bookings []bookingResult
}

// Range and precision of the latency histograms.
const (
	maxLatencyMicros  = int64(15 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newReport(cfg configurator.Configuration) *Report {
	r := &Report{Faults: map[string]int{}, Unreachable: []configurator.ModelName{}}
	for _, class := range cfg.Classes {
		r.Classes = append(r.Classes, &ClassReport{
			Class: class.Name, class: class, firstToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits), tokenGap: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		})
	}
	for _, u := range cfg.Upstreams {
		r.Accelerators += u.Accelerators
	}
	return r
}

func (r *Report) addSample(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.Classes, func(class *ClassReport) bool { return class.Class == s.class })
	class := r.Classes[i]
	class.Sent++
	switch s.outcome {
	case complete:
		class.Complete++
	case notRun:
		class.NotRun++
	case unknown:
		class.Unknown++
	case broken:
		class.Broken++
	case truncated:
		r.Truncated++
	case mixed:
		r.Mixed++
	case hung:
		r.Hung++
	}
	var sum time.Duration
	for _, g := range s.tokenGaps {
		sum += g
		_ = class.tokenGap.RecordValue(g.Microseconds())
	}
	if s.firstToken > 0 {
		_ = class.firstToken.RecordValue(s.firstToken.Microseconds())
	}
	within := s.outcome == complete && s.duration <= class.class.Timeout.Duration() && s.firstToken <= class.class.TargetFirstToken.Duration()
	if len(s.tokenGaps) > 0 {
		within = within && sum/time.Duration(len(s.tokenGaps)) <= class.class.TargetGap.Duration()
	}
	if within {
		class.WithinTarget++
	}
}

func (r *Report) addBooking(b bookingResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings = append(r.bookings, b)
}

func (r *Report) addUnreachable(m configurator.ModelName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Unreachable = append(r.Unreachable, m)
}

func (r *Report) countFault(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Faults[name]++
}

// progressLine returns the counts of all classes so far as text.
func (r *Report) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var total ClassReport
	for _, class := range r.Classes {
		total.Sent += class.Sent
		total.Complete += class.Complete
		total.NotRun += class.NotRun
		total.Unknown += class.Unknown
		total.Broken += class.Broken
	}
	return fmt.Sprintf("answered %d: whole %d, not run %d, unknown %d, broken %d", total.Sent, total.Complete, total.NotRun, total.Unknown, total.Broken)
}

// finish compares the outcomes that callers saw with the runs that the upstreams
// counted, and computes the totals.
func (r *Report) finish(c *Cluster, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runCounts := map[string]int{}
	for _, a := range c.Agents {
		if a.Booking != nil {
			for body, n := range a.Booking.RunCounts() {
				runCounts[body] += n
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
		n := runCounts[b.body]
		switch {
		case n > 1:
			r.RanTwice++
		case n > 0 && b.notRun && !b.maybeRan && !b.complete:
			r.RanDespiteNotRun++
		case n == 0 && b.complete:
			r.CompleteWithoutRun++
		}
	}
	sent, within := 0, 0
	for _, class := range r.Classes {
		sent += class.Sent
		within += class.WithinTarget
		class.FirstTokenP50Ms, class.FirstTokenP95Ms = quantilesMs(class.firstToken)
		class.TokenGapP50Ms, class.TokenGapP95Ms = quantilesMs(class.tokenGap)
	}
	r.TargetAttainment = float64(within) / float64(max(1, sent))
	r.AttainmentPerAccelerator = r.TargetAttainment / float64(max(1, r.Accelerators))
	r.LogAppends = c.Log.AppendCount()
	r.Seconds = elapsed.Seconds()
}

// quantilesMs returns the median and the 95th percentile in milliseconds.
func quantilesMs(h *hdrhistogram.Histogram) (float64, float64) {
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(95)) / 1000
}

// Err returns an error of kind Internal that lists the violated guarantees, or nil
// if there are none.
func (r *Report) Err() error {
	var failed []string
	addFailure := func(n int64, description string) {
		if n > 0 {
			failed = append(failed, fmt.Sprintf("%d %s", n, description))
		}
	}
	addFailure(int64(r.RanTwice), "calls ran twice")
	addFailure(int64(r.RanDespiteNotRun), "calls ran although answered as not run")
	addFailure(int64(r.CompleteWithoutRun), "calls answered as whole did not run")
	addFailure(int64(r.Truncated), "answers were cut")
	addFailure(int64(r.Mixed), "answers were mixed")
	addFailure(int64(r.Hung), "requests had no end")
	addFailure(r.OvercommittedBytes, "bytes of memory were overcommitted")
	addFailure(int64(len(r.Unreachable)), "models were unreachable")
	if len(failed) == 0 {
		return nil
	}
	return classifier.New(classifier.Internal, "guarantees violated: %s", strings.Join(failed, ", "))
}

// PrintJSON writes the report as indented JSON.
func (r *Report) PrintJSON(w io.Writer) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(r)
}

// Print writes the report as text, with a table of the classes.
func (r *Report) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "class\tsent\twhole\tnot run\tunknown\tbroken\twithin target\tfirst p50\tp95 ms\tgap p50\tp95 ms\t")
	for _, class := range r.Classes {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t\n", class.Class, class.Sent, class.Complete, class.NotRun, class.Unknown, class.Broken,
			100*float64(class.WithinTarget)/float64(max(1, class.Sent)), class.FirstTokenP50Ms, class.FirstTokenP95Ms, class.TokenGapP50Ms, class.TokenGapP95Ms)
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(out, "attainment: %.1f%% within target on %d accelerators, %.3f%% per accelerator\n", 100*r.TargetAttainment, r.Accelerators, 100*r.AttainmentPerAccelerator)
	_, _ = fmt.Fprintf(out, "moves: %d loads, %d unloads, %d adapters; the store refused %d, old numbers %d; log appends %d in %.0f s\n",
		r.Orders.Loads, r.Orders.Unloads, r.Orders.AdapterLoads, r.Orders.RefusedLoads, r.Orders.StaleOrders, r.LogAppends, r.Seconds)
	_, _ = fmt.Fprintf(out, "non-idempotent calls: %d, run twice %d, run though answered as not run %d, whole but not run %d\n", r.Bookings, r.RanTwice, r.RanDespiteNotRun, r.CompleteWithoutRun)
	_, _ = fmt.Fprintf(out, "answers: cut %d, mixed %d, without end %d; unreachable models: %d\n", r.Truncated, r.Mixed, r.Hung, len(r.Unreachable))
	peak, size := configurator.Bytes(0), configurator.Bytes(0)
	for _, runner := range r.Runners {
		if size == 0 || float64(runner.PeakMemory)/float64(runner.WeightMemory) > float64(peak)/float64(size) {
			peak, size = runner.PeakMemory, runner.WeightMemory
		}
	}
	_, _ = fmt.Fprintf(out, "accelerator memory: fullest runner at %.1f of %.1f GB, overcommitted %d bytes\n", float64(peak)/1e9, float64(size)/1e9, r.OvercommittedBytes)
	if len(r.Faults) > 0 {
		names := make([]string, 0, len(r.Faults))
		for fault, n := range r.Faults {
			names = append(names, fmt.Sprintf("%s %d", fault, n))
		}
		slices.Sort(names)
		_, _ = fmt.Fprintf(out, "faults: %s\n", strings.Join(names, ", "))
	}
}
