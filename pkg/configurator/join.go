package configurator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/egretwall/egretwall/internal/decoder"
)

// Join assembles a configuration from its items, with its lists sorted by name. It
// returns every item that can't be decoded, but does not run Check.
func Join(items Items) (Configuration, []decoder.Problem) {
	return Configuration{}.withChange(Change{Puts: items})
}

// withChange returns c with the items of a change deleted and written. It doesn't modify c.
func (c Configuration) withChange(change Change) (Configuration, []decoder.Problem) {
	next := c
	next.Classes = slices.Clone(c.Classes)
	next.Models = slices.Clone(c.Models)
	next.Adapters = slices.Clone(c.Adapters)
	next.Upstreams = slices.Clone(c.Upstreams)
	next.Callers = slices.Clone(c.Callers)
	var problems []decoder.Problem
	for _, k := range change.Deletes {
		if !next.deleteItem(k) {
			problems = append(problems, decoder.Problem{Path: string(k), Text: "is not configured or can't be deleted"})
		}
	}
	for _, k := range sortedKeys(change.Puts) {
		for _, p := range next.putItem(k, change.Puts[k]) {
			p.Path = string(k) + strings.TrimPrefix(p.Path, "$")
			problems = append(problems, p)
		}
	}
	return next, problems
}

// putItem decodes an item and writes it to the field or list that its key names.
func (c *Configuration) putItem(k Key, data []byte) []decoder.Problem {
	section, name, _ := strings.Cut(string(k), "/")
	switch section {
	case "name":
		return decodeScalar(data, &c.Name)
	case "moves":
		return decodeScalar(data, &c.MoveWeight)
	case "window":
		return decodeScalar(data, &c.IdempotencyWindow)
	case "store":
		c.Store = StoreLimits{}
		return decoder.Decode(data, &c.Store)
	case "classes":
		return putInList(&c.Classes, name, data)
	case "models":
		return putInList(&c.Models, name, data)
	case "adapters":
		return putInList(&c.Adapters, name, data)
	case "upstreams":
		return putInList(&c.Upstreams, name, data)
	case "callers":
		return putInList(&c.Callers, name, data)
	}
	return []decoder.Problem{{Path: "$", Text: "unknown key, remove it"}}
}

// deleteItem deletes an item of a list and reports whether it was present. Items
// outside the lists can't be deleted.
func (c *Configuration) deleteItem(k Key) bool {
	section, name, _ := strings.Cut(string(k), "/")
	switch section {
	case "classes":
		return deleteFromList(&c.Classes, name)
	case "models":
		return deleteFromList(&c.Models, name)
	case "adapters":
		return deleteFromList(&c.Adapters, name)
	case "upstreams":
		return deleteFromList(&c.Upstreams, name)
	case "callers":
		return deleteFromList(&c.Callers, name)
	}
	return false
}

// namedItem is an item of a list. The lists of a joined configuration are sorted by item
// name.
type namedItem interface{ itemName() string }

func (c Class) itemName() string    { return string(c.Name) }
func (m Model) itemName() string    { return string(m.Name) }
func (a Adapter) itemName() string  { return string(a.Name) }
func (u Upstream) itemName() string { return string(u.Name) }
func (c Caller) itemName() string   { return string(c.Name) }

// findByName returns the index of the item called name, or the index at which to insert
// it and false.
func findByName[T namedItem](list []T, name string) (int, bool) {
	return slices.BinarySearchFunc(list, name, func(item T, name string) int { return cmp.Compare(item.itemName(), name) })
}

// putInList decodes an item and replaces the one of the same name or inserts it.
func putInList[T namedItem](list *[]T, name string, data []byte) []decoder.Problem {
	var item T
	problems := decoder.Decode(data, &item)
	if item.itemName() != name {
		return append(problems, decoder.Problem{Path: "$.name", Text: fmt.Sprintf("expected %q, the name in the key", name)})
	}
	i, found := findByName(*list, name)
	if found {
		(*list)[i] = item
		return problems
	}
	*list = slices.Insert(*list, i, item)
	return problems
}

func deleteFromList[T namedItem](list *[]T, name string) bool {
	i, found := findByName(*list, name)
	if found {
		*list = slices.Delete(*list, i, i+1)
	}
	return found
}

func decodeScalar(data []byte, v any) []decoder.Problem {
	if err := json.Unmarshal(data, v); err != nil {
		return []decoder.Problem{{Path: "$", Text: err.Error()}}
	}
	return nil
}
