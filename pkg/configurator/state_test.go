package configurator

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/internal/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m, 300) }

func TestApplyAgreesWithJoinAndRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, verdict := State{}.Apply(Diff("first", State{}, scaledConfiguration(12)))
		require.True(t, verdict.Accepted)
		for i := range rapid.IntRange(1, 10).Draw(t, "changes") {
			c := Change{ID: fmt.Sprint(i), Base: s.Version, Puts: Items{}}
			name := ModelName(fmt.Sprintf("model-%03d", rapid.IntRange(0, 20).Draw(t, "model")))
			if rapid.Bool().Draw(t, "drop") {
				c.Deletes = []Key{"models/" + Key(name)}
			} else {
				c.Puts.put("models/"+Key(name), Model{Name: name, Bytes: Bytes(rapid.IntRange(1, 1000).Draw(t, "bytes")), Copies: 1})
			}
			next, v := s.Apply(c)
			if !v.Accepted {
				require.Equal(t, s, next, "a refused change doesn't modify the state")
				continue
			}
			s = next
			joined, problems := Join(s.Items)
			require.Empty(t, problems)
			require.Equal(t, joined, s.Config)
			data, hash := s.Snapshot()
			restored, err := Restore(data, hash)
			require.NoError(t, err)
			require.Equal(t, s.Hash(), restored.Hash())
			require.Equal(t, s.Config, restored.Config)
		}
	})
}

func TestInvalidChangesAreRefused(t *testing.T) {
	s, _ := State{}.Apply(Diff("first", State{}, scaledConfiguration(12)))
	for _, c := range []Change{
		{Base: 1, Puts: Items{"models/a": json.RawMessage(`{"name":"b","bytes":1,"copies":1}`)}},
		{Base: 1, Puts: Items{"models/model-000": json.RawMessage(`{"name":"model-000","bytes":1,"copies":1,"extra":1}`)}},
		{Base: 1, Puts: Items{"nosuch": json.RawMessage(`1`)}},
		{Base: 1, Puts: Items{"window": json.RawMessage(`"long"`)}},
		{Base: 1, Deletes: []Key{"models/nosuch"}},
		{Base: 1, Deletes: []Key{"store"}},
		{Base: 9},
	} {
		next, v := s.Apply(c)
		require.False(t, v.Accepted)
		require.NotEmpty(t, v.Problems)
		require.Equal(t, s.Version, next.Version)
	}
}
