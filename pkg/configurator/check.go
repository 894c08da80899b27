package configurator

import (
	"fmt"
	"net"

	"github.com/egretwall/egretwall/internal/decoder"
)

// Limits on what a configuration may hold.
const (
	maxName   = 128
	minWindow = 1000
)

type checker struct {
	problems []decoder.Problem
}

func (c *checker) expect(ok bool, path, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, decoder.Problem{Path: path, Text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) name(seen map[string]int, path, name string) {
	c.expect(name != "" && len(name) <= maxName, path, "expected a name of 1 to %d bytes", maxName)
	seen[name]++
	c.expect(seen[name] < 2, path, "%q is used twice, choose another name", name)
}

// Check returns every mistake in cfg, and the arithmetic of the first reason
// for which the models can't all be resident.
func Check(cfg Configuration) []decoder.Problem {
	c := &checker{}
	c.expect(cfg.Name != "", "$.name", "expected the name of the deployment")
	c.expect(cfg.MoveWeight >= 0, "$.moves", "expected zero or more")
	c.expect(cfg.IdempotencyWindow >= minWindow, "$.window", "expected at least %d ms", minWindow)
	c.expect(cfg.Store.ModelLoadRate > 0, "$.store.rate", "expected more than zero loads a second")
	c.expect(cfg.Store.ConcurrentModelLoads > 0, "$.store.active", "expected at least one load at once")
	c.expect(cfg.Store.ConcurrentAdapterLoads > 0, "$.store.transit", "expected at least one adapter at once")
	classes := c.classes(cfg.Classes)
	c.models(cfg)
	c.upstreams(cfg.Upstreams)
	c.callers(cfg.Callers, classes)
	if len(c.problems) > 0 {
		return c.problems
	}
	if text := InfeasibilityReason(cfg); text != "" {
		c.expect(false, "$.models", "%s", text)
	}
	return c.problems
}

func (c *checker) classes(classes []Class) map[ClassName]bool {
	c.expect(len(classes) > 0, "$.classes", "expected at least one urgency class")
	seen := map[string]int{}
	known := map[ClassName]bool{}
	for i, k := range classes {
		path := fmt.Sprintf("$.classes[%d]", i)
		c.name(seen, path+".name", string(k.Name))
		c.expect(k.Rank >= 0, path+".rank", "expected 0 (most urgent) or more")
		c.expect(k.TargetFirstToken > 0, path+".first", "expected a target above 0 ms")
		c.expect(k.TargetGap > 0, path+".gap", "expected a target above 0 ms")
		c.expect(k.Timeout >= k.TargetFirstToken, path+".whole", "expected at least the first token's target, %d ms", k.TargetFirstToken)
		known[k.Name] = true
	}
	return known
}

func (c *checker) models(cfg Configuration) {
	seen := map[string]int{}
	bases := map[ModelName]bool{}
	for i, m := range cfg.Models {
		path := fmt.Sprintf("$.models[%d]", i)
		c.name(seen, path+".name", string(m.Name))
		c.expect(m.Bytes > 0, path+".bytes", "expected the size of the weights in bytes")
		c.expect(m.Copies >= 1, path+".copies", "expected at least 1")
		bases[m.Name] = true
	}
	for i, a := range cfg.Adapters {
		path := fmt.Sprintf("$.adapters[%d]", i)
		c.name(seen, path+".name", string(a.Name))
		c.expect(a.Bytes > 0, path+".bytes", "expected the size of the adapter in bytes")
		c.expect(bases[a.Model], path+".model", "expected a configured model, %q is none", a.Model)
	}
}

func (c *checker) upstreams(upstreams []Upstream) {
	c.expect(len(upstreams) > 0, "$.upstreams", "expected at least one upstream")
	seen := map[string]int{}
	for i, u := range upstreams {
		path := fmt.Sprintf("$.upstreams[%d]", i)
		c.name(seen, path+".name", string(u.Name))
		c.expect(u.Role == Runner || u.Role == Service, path+".role", "expected %q or %q", Runner, Service)
		c.expect(u.Domain != "", path+".domain", "expected a failure domain")
		host, _, err := net.SplitHostPort(u.Address)
		c.expect(err == nil && net.ParseIP(host) != nil, path+".address", "expected an IP number with a port, such as 10.0.0.1:7000")
		c.expect(u.Slots > 0, path+".slots", "expected at least one request at once")
		if u.Role == Service {
			c.expect(u.Service != "", path+".service", "expected the name of the service")
			continue
		}
		c.expect(u.WeightMemory > 0, path+".memory", "expected the accelerator memory in bytes")
		c.expect(u.Accelerators > 0, path+".accelerators", "expected at least one")
		c.expect(u.Lease > 0, path+".lease", "expected a lease above 0 ms")
		c.expect(u.MaxDeliveryDelay > 0, path+".flight", "expected the longest flight of an order above 0 ms")
	}
}

func (c *checker) callers(callers []Caller, classes map[ClassName]bool) {
	seen := map[string]int{}
	keys := map[string]int{}
	for i, k := range callers {
		path := fmt.Sprintf("$.callers[%d]", i)
		c.name(seen, path+".name", string(k.Name))
		c.expect(len(k.TokenHash) == len(HashToken("")), path+".key", "expected the SHA-256 of the key in hex")
		keys[k.TokenHash]++
		c.expect(keys[k.TokenHash] < 2, path+".key", "another caller has the same key, choose another")
		c.expect(classes[k.Class], path+".class", "expected a configured class, %q is none", k.Class)
		c.expect(k.MaxOpenRequests > 0, path+".limit", "expected at least one open request")
	}
}

// BytesWithAdapters returns the bytes that a copy of each model takes with its adapters.
func BytesWithAdapters(cfg Configuration) map[ModelName]Bytes {
	weight := make(map[ModelName]Bytes, len(cfg.Models))
	for _, m := range cfg.Models {
		weight[m.Name] = m.Bytes
	}
	for _, a := range cfg.Adapters {
		weight[a.Model] += a.Bytes
	}
	return weight
}
