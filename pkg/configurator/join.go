package configurator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/egretwall/egretwall/internal/decoder"
)

// Join assembles a configuration from its items; lists are ordered by name.
func Join(items Items) (Configuration, []decoder.Problem) {
	return Configuration{}.patched(Change{Puts: items})
}

// patched returns the configuration with a change's items written and dropped.
// The receiver stays as it is.
func (c Configuration) patched(change Change) (Configuration, []decoder.Problem) {
	next := c
	next.Classes = slices.Clone(c.Classes)
	next.Models = slices.Clone(c.Models)
	next.Adapters = slices.Clone(c.Adapters)
	next.Upstreams = slices.Clone(c.Upstreams)
	next.Callers = slices.Clone(c.Callers)
	var problems []decoder.Problem
	for _, k := range change.Deletes {
		if !next.drop(k) {
			problems = append(problems, decoder.Problem{Path: string(k), Text: "is not configured or can't be dropped"})
		}
	}
	for _, k := range sorted(change.Puts) {
		for _, p := range next.put(k, change.Puts[k]) {
			p.Path = string(k) + strings.TrimPrefix(p.Path, "$")
			problems = append(problems, p)
		}
	}
	return next, problems
}

func (c *Configuration) put(k Key, data []byte) []decoder.Problem {
	section, name, _ := strings.Cut(string(k), "/")
	switch section {
	case "name":
		return scalar(data, &c.Name)
	case "moves":
		return scalar(data, &c.MoveWeight)
	case "window":
		return scalar(data, &c.IdempotencyWindow)
	case "store":
		c.Store = StoreLimits{}
		return decoder.Decode(data, &c.Store)
	case "classes":
		return put(&c.Classes, name, data)
	case "models":
		return put(&c.Models, name, data)
	case "adapters":
		return put(&c.Adapters, name, data)
	case "upstreams":
		return put(&c.Upstreams, name, data)
	case "callers":
		return put(&c.Callers, name, data)
	}
	return []decoder.Problem{{Path: "$", Text: "unknown key, remove it"}}
}

// drop removes an item of a list and tells whether it was there.
func (c *Configuration) drop(k Key) bool {
	section, name, _ := strings.Cut(string(k), "/")
	switch section {
	case "classes":
		return drop(&c.Classes, name)
	case "models":
		return drop(&c.Models, name)
	case "adapters":
		return drop(&c.Adapters, name)
	case "upstreams":
		return drop(&c.Upstreams, name)
	case "callers":
		return drop(&c.Callers, name)
	}
	return false
}

// named is an item of a list.
type named interface{ key() string }

func (c Class) key() string    { return string(c.Name) }
func (m Model) key() string    { return string(m.Name) }
func (a Adapter) key() string  { return string(a.Name) }
func (u Upstream) key() string { return string(u.Name) }
func (c Caller) key() string   { return string(c.Name) }

func find[T named](list []T, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(item T, name string) int { return cmp.Compare(item.key(), name) })
}

func put[T named](list *[]T, name string, data []byte) []decoder.Problem {
	var item T
	problems := decoder.Decode(data, &item)
	if item.key() != name {
		return append(problems, decoder.Problem{Path: "$.name", Text: fmt.Sprintf("expected %q as in the key", name)})
	}
	i, found := find(*list, name)
	if found {
		(*list)[i] = item
		return problems
	}
	*list = slices.Insert(*list, i, item)
	return problems
}

func drop[T named](list *[]T, name string) bool {
	i, found := find(*list, name)
	if found {
		*list = slices.Delete(*list, i, i+1)
	}
	return found
}

func scalar(data []byte, v any) []decoder.Problem {
	if err := json.Unmarshal(data, v); err != nil {
		return []decoder.Problem{{Path: "$", Text: err.Error()}}
	}
	return nil
}
