package configurator

import (
	"fmt"
	"net"

	"github.com/egretwall/egretwall/internal/decoder"
)

// Bounds on the values of a configuration.
const (
	maxNameBytes           = 128
	minIdempotencyWindowMs = 1000
)

// checker collects the mistakes found in a configuration.
type checker struct {
	problems []decoder.Problem
}

// expect records a mistake at the JSON path unless ok.
func (c *checker) expect(ok bool, path, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, decoder.Problem{Path: path, Text: fmt.Sprintf(format, args...)})
	}
}

// checkName checks the length of a name and that it occurs only once; seen counts the
// names checked so far.
func (c *checker) checkName(seen map[string]int, path, name string) {
	c.expect(name != "" && len(name) <= maxNameBytes, path, "expected a name of 1 to %d bytes", maxNameBytes)
	seen[name]++
	c.expect(seen[name] < 2, path, "%q is used more than once, choose another name", name)
}

// Check returns every mistake in cfg. If there is none, it checks whether the models
// fit on the runners, see InfeasibilityReason, and returns at most one mistake.
func Check(cfg Configuration) []decoder.Problem {
	c := &checker{}
	c.expect(cfg.Name != "", "$.name", "expected the name of the deployment")
	c.expect(cfg.MoveWeight >= 0, "$.moves", "expected zero or more")
	c.expect(cfg.IdempotencyWindow >= minIdempotencyWindowMs, "$.window", "expected at least %d ms", minIdempotencyWindowMs)
	c.expect(cfg.Store.ModelLoadRate > 0, "$.store.rate", "expected more than zero loads per second")
	c.expect(cfg.Store.ConcurrentModelLoads > 0, "$.store.active", "expected at least one concurrent model load")
	c.expect(cfg.Store.ConcurrentAdapterLoads > 0, "$.store.transit", "expected at least one concurrent adapter load")
	classNames := c.checkClasses(cfg.Classes)
	c.checkModels(cfg)
	c.checkUpstreams(cfg.Upstreams)
	c.checkCallers(cfg.Callers, classNames)
	if len(c.problems) > 0 {
		return c.problems
	}
	if reason := InfeasibilityReason(cfg); reason != "" {
		c.expect(false, "$.models", "%s", reason)
	}
	return c.problems
}

// checkClasses checks the urgency classes and returns the set of their names.
func (c *checker) checkClasses(classes []Class) map[ClassName]bool {
	c.expect(len(classes) > 0, "$.classes", "expected at least one urgency class")
	seen := map[string]int{}
	names := map[ClassName]bool{}
	for i, class := range classes {
		path := fmt.Sprintf("$.classes[%d]", i)
		c.checkName(seen, path+".name", string(class.Name))
		c.expect(class.Rank >= 0, path+".rank", "expected 0 (most urgent) or more")
		c.expect(class.TargetFirstToken > 0, path+".first", "expected a target above 0 ms")
		c.expect(class.TargetGap > 0, path+".gap", "expected a target above 0 ms")
		c.expect(class.Timeout >= class.TargetFirstToken, path+".whole", "expected at least the target for the first token, %d ms", class.TargetFirstToken)
		names[class.Name] = true
	}
	return names
}

func (c *checker) checkModels(cfg Configuration) {
	seen := map[string]int{}
	baseModels := map[ModelName]bool{}
	for i, m := range cfg.Models {
		path := fmt.Sprintf("$.models[%d]", i)
		c.checkName(seen, path+".name", string(m.Name))
		c.expect(m.Bytes > 0, path+".bytes", "expected the size of the weights in bytes")
		c.expect(m.Copies >= 1, path+".copies", "expected at least 1")
		baseModels[m.Name] = true
	}
	for i, a := range cfg.Adapters {
		path := fmt.Sprintf("$.adapters[%d]", i)
		c.checkName(seen, path+".name", string(a.Name))
		c.expect(a.Bytes > 0, path+".bytes", "expected the size of the adapter in bytes")
		c.expect(baseModels[a.Model], path+".model", "expected the name of a configured model, found %q", a.Model)
	}
}

func (c *checker) checkUpstreams(upstreams []Upstream) {
	c.expect(len(upstreams) > 0, "$.upstreams", "expected at least one upstream")
	seen := map[string]int{}
	for i, u := range upstreams {
		path := fmt.Sprintf("$.upstreams[%d]", i)
		c.checkName(seen, path+".name", string(u.Name))
		c.expect(u.Role == Runner || u.Role == Service, path+".role", "expected %q or %q", Runner, Service)
		c.expect(u.Domain != "", path+".domain", "expected a failure domain")
		host, _, err := net.SplitHostPort(u.Address)
		c.expect(err == nil && net.ParseIP(host) != nil, path+".address", "expected an IP address with a port, such as 10.0.0.1:7000")
		c.expect(u.Slots > 0, path+".slots", "expected at least one concurrent request")
		if u.Role == Service {
			c.expect(u.Service != "", path+".service", "expected the name of the service")
			continue
		}
		c.expect(u.WeightMemory > 0, path+".memory", "expected the accelerator memory in bytes")
		c.expect(u.Accelerators > 0, path+".accelerators", "expected at least one")
		c.expect(u.Lease > 0, path+".lease", "expected a lease duration above 0 ms")
		c.expect(u.MaxDeliveryDelay > 0, path+".flight", "expected a maximum delivery delay of orders above 0 ms")
	}
}

func (c *checker) checkCallers(callers []Caller, classNames map[ClassName]bool) {
	seen := map[string]int{}
	hashes := map[string]int{}
	for i, caller := range callers {
		path := fmt.Sprintf("$.callers[%d]", i)
		c.checkName(seen, path+".name", string(caller.Name))
		c.expect(len(caller.TokenHash) == len(HashToken("")), path+".key", "expected the SHA-256 of the bearer token in hex")
		hashes[caller.TokenHash]++
		c.expect(hashes[caller.TokenHash] < 2, path+".key", "another caller has the same key, choose a different one")
		c.expect(classNames[caller.Class], path+".class", "expected the name of a configured class, found %q", caller.Class)
		c.expect(caller.MaxOpenRequests > 0, path+".limit", "expected at least one open request")
	}
}

// BytesWithAdapters returns the accelerator memory that one copy of each base model
// takes together with all its adapters.
func BytesWithAdapters(cfg Configuration) map[ModelName]Bytes {
	sizes := make(map[ModelName]Bytes, len(cfg.Models))
	for _, m := range cfg.Models {
		sizes[m.Name] = m.Bytes
	}
	for _, a := range cfg.Adapters {
		sizes[a.Model] += a.Bytes
	}
	return sizes
}
