// Command policy simulates all policies in all scenarios on both example deployments
// and prints the results as tables or as JSON.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"github.com/egretwall/egretwall/examples"
	"github.com/egretwall/egretwall/internal/evaluator"
	"github.com/egretwall/egretwall/internal/generator"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func main() {
	asJSON := flag.Bool("json", false, "print JSON")
	seed := flag.Uint64("seed", 1, "seed of the trace and of all random choices")
	flag.Parse()
	for _, deployment := range []string{"havengelden", "kelheim"} {
		cfg, err := generateConfiguration(deployment)
		if err != nil {
			fmt.Fprintln(os.Stderr, "policy:", err)
			os.Exit(1)
		}
		results := runAll(cfg, *seed)
		if *asJSON {
			_ = json.NewEncoder(os.Stdout).Encode(results)
			continue
		}
		fmt.Println(deployment)
		printTable(results)
	}
}

// generateConfiguration generates the configuration of an example deployment from its
// questionnaire.
func generateConfiguration(deployment string) (configurator.Configuration, error) {
	data, err := examples.Questionnaire(deployment)
	if err != nil {
		return configurator.Configuration{}, err
	}
	q, problems := generator.Parse(data)
	cfg, generateProblems := generator.Generate(q)
	if problems = append(problems, generateProblems...); len(problems) > 0 {
		return cfg, fmt.Errorf("%s: %s", deployment, problems[0])
	}
	return cfg, nil
}

// runAll runs all policies in all scenarios, in parallel, and returns the results by
// scenario and policy.
func runAll(cfg configurator.Configuration, seed uint64) []*evaluator.Result {
	scenarios, policies := evaluator.Scenarios(), evaluator.Policies()
	results := make([]*evaluator.Result, len(scenarios)*len(policies))
	var wg sync.WaitGroup
	for i, s := range scenarios {
		trace := evaluator.NewTrace(cfg, s, seed)
		for j, p := range policies {
			wg.Go(func() { results[i*len(policies)+j] = evaluator.Run(p, cfg, s, trace, seed) })
		}
	}
	wg.Wait()
	return results
}

func printTable(results []*evaluator.Result) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tpolicy\tper accelerator\twithin\turgent\tmiddle\tlow\tfirst p95 ms\tlongest low s\tloads\tunloads\tadapters\tunreachable s\tbusy\tover\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%.3f%%\t%.1f%%\t", r.Scenario, r.Policy, 100*r.AttainmentPerAccelerator, 100*r.ShareWithinTargets)
		for _, c := range r.Classes {
			fmt.Fprintf(w, "%.1f%%\t", 100*float64(c.WithinTargets)/float64(max(1, c.Sent)))
		}
		fmt.Fprintf(w, "%.0f\t%.1f\t%d\t%d\t%d\t%.1f\t%.0f%%\t%d\t\n", r.Classes[0].FirstTokenP95Ms, r.Classes[len(r.Classes)-1].MaxFirstTokenSeconds,
			r.Counters.ModelLoads, r.Counters.ModelUnloads, r.Counters.AdapterLoads, r.UnavailableSeconds, 100*r.Utilization, r.OvercommittedBytes)
	}
	_ = w.Flush()
}
