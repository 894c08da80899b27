package configurator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/egretwall/egretwall/internal/decoder"
)

// Version is the number of accepted changes.
type Version uint64

// Key identifies one item of a configuration: a field, such as "window", or an entry
// of a list, such as "models/tariff-nl".
type Key string

// Items maps the keys of a configuration to the JSON of its items.
type Items map[Key]json.RawMessage

// Change is what an operator publishes: the items to write and to delete, relative to
// the configuration of version Base.
type Change struct {
	ID      string  `json:"id"`
	Base    Version `json:"base"`
	Puts    Items   `json:"puts,omitempty"`
	Deletes []Key   `json:"drops,omitempty"`
}

// Verdict is the decision of the acceptance rule on a change.
type Verdict struct {
	ID              string            `json:"id"`
	Accepted        bool              `json:"accepted"`
	Version         Version           `json:"version"`            // version in force after the decision
	ConflictingKeys []Key             `json:"conflict,omitempty"` // keys of the change that were written after its base version
	Problems        []decoder.Problem `json:"problems,omitempty"`
}

// State is the accepted configuration and what the acceptance rule needs to decide on
// the next change. The zero State is version 0, without any items.
type State struct {
	Version     Version         `json:"version"`
	Offset      uint64          `json:"offset"` // all log records below it have been applied
	Items       Items           `json:"items"`
	KeyVersions map[Key]Version `json:"written"` // version that last wrote or deleted each key

	Config Configuration `json:"-"` // joined from Items
}

// Split returns the items of cfg.
func Split(cfg Configuration) Items {
	items := Items{}
	items.put("name", cfg.Name)
	items.put("moves", cfg.MoveWeight)
	items.put("window", cfg.IdempotencyWindow)
	items.put("store", cfg.Store)
	for _, v := range cfg.Classes {
		items.put("classes/"+Key(v.Name), v)
	}
	for _, v := range cfg.Models {
		items.put("models/"+Key(v.Name), v)
	}
	for _, v := range cfg.Adapters {
		items.put("adapters/"+Key(v.Name), v)
	}
	for _, v := range cfg.Upstreams {
		items.put("upstreams/"+Key(v.Name), v)
	}
	for _, v := range cfg.Callers {
		items.put("callers/"+Key(v.Name), v)
	}
	return items
}

func (i Items) put(k Key, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // every valid configuration can be encoded
	}
	i[k] = data
}

// Diff returns the change that turns the configuration of base into cfg.
func Diff(id string, base State, cfg Configuration) Change {
	next := Split(cfg)
	c := Change{ID: id, Base: base.Version, Puts: Items{}}
	for _, k := range sortedKeys(next) {
		if !bytes.Equal(base.Items[k], next[k]) {
			c.Puts[k] = next[k]
		}
	}
	for _, k := range sortedKeys(base.Items) {
		if _, ok := next[k]; !ok {
			c.Deletes = append(c.Deletes, k)
		}
	}
	return c
}

// Apply decides on c and returns the resulting state, which is s if the change is
// refused. A change is accepted if none of its keys was written after its base version
// and the result passes Check. Apply doesn't modify s.
func (s State) Apply(c Change) (State, Verdict) {
	v := Verdict{ID: c.ID, Version: s.Version}
	if c.Base > s.Version {
		v.Problems = []decoder.Problem{{Path: "$.base", Text: fmt.Sprintf("version %d is in force, base the change on it", s.Version)}}
		return s, v
	}
	for _, k := range c.keys() {
		if s.KeyVersions[k] > c.Base {
			v.ConflictingKeys = append(v.ConflictingKeys, k)
		}
	}
	if len(v.ConflictingKeys) > 0 {
		return s, v
	}
	next := s.withItems(c)
	cfg, problems := s.Config.withChange(c)
	if len(problems) == 0 {
		problems = Check(cfg)
	}
	if len(problems) > 0 {
		v.Problems = problems
		return s, v
	}
	next.Config = cfg
	v.Accepted = true
	v.Version = next.Version
	return next, v
}

// withItems returns the next version of s, with the items of a change written and
// deleted. Its Config is not set.
func (s State) withItems(c Change) State {
	next := State{Version: s.Version + 1, Offset: s.Offset, Items: Items{}, KeyVersions: map[Key]Version{}}
	for k, data := range s.Items {
		next.Items[k] = data
	}
	for k, v := range s.KeyVersions {
		next.KeyVersions[k] = v
	}
	for k, data := range c.Puts {
		next.Items[k] = data
		next.KeyVersions[k] = next.Version
	}
	for _, k := range c.Deletes {
		delete(next.Items, k)
		next.KeyVersions[k] = next.Version
	}
	return next
}

func (c Change) keys() []Key {
	keys := append([]Key{}, c.Deletes...)
	keys = append(keys, sortedKeys(c.Puts)...)
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// Snapshot returns the state as JSON and the hash of these bytes, for Restore.
func (s State) Snapshot() ([]byte, uint64) {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // all items are valid JSON
	}
	return data, xxhash.Sum64(data)
}

// Hash returns a hash of the state without its Offset. It is the same in all processes
// that hold the same version.
func (s State) Hash() uint64 {
	s.Offset = 0
	_, hash := s.Snapshot()
	return hash
}

// Restore decodes a snapshot. It returns an error if the hash doesn't match or an item
// can't be decoded.
func Restore(data []byte, hash uint64) (State, error) {
	var s State
	if xxhash.Sum64(data) != hash {
		return s, fmt.Errorf("snapshot does not match its hash, fetch it again")
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode snapshot: %w", err)
	}
	cfg, problems := Join(s.Items)
	if len(problems) > 0 {
		return s, fmt.Errorf("snapshot of version %d is invalid: %s", s.Version, problems[0])
	}
	s.Config = cfg
	return s, nil
}

func sortedKeys(items Items) []Key {
	keys := make([]Key, 0, len(items))
	for k := range items {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
