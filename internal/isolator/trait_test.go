package isolator

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

func TestTraitsTellRequestsApart(t *testing.T) {
	first := Content{Method: "GET", Host: "dues.example", Target: "/look/1", Caller: "10.0.0.1", Body: []byte("b")}
	traits := TraitsOf(first, []registrar.PartID{"p"})
	require.Equal(t, traits, TraitsOf(first, []registrar.PartID{"p"}))
	require.Equal(t, []TraitKind{RequestTrait, ContentTrait, PartTrait}, []TraitKind{traits[0].Kind(), traits[1].Kind(), traits[2].Kind()})

	otherCaller := first
	otherCaller.Caller = "10.0.0.2"
	require.NotEqual(t, traits[0], TraitsOf(otherCaller, nil)[0])
	require.Equal(t, traits[1], TraitsOf(otherCaller, nil)[1])

	for _, other := range []Content{
		{Method: "PUT", Host: "dues.example", Target: "/look/1", Body: []byte("b")},
		{Method: "GET", Host: "dues.exampl", Target: "e/look/1", Body: []byte("b")},
		{Method: "GET", Host: "dues.example", Target: "/look/1b"},
		{Method: "GET", Host: "dues.example", Target: "/look/1", Body: []byte("c")},
	} {
		require.NotEqual(t, traits[1], TraitsOf(other, nil)[1], "%+v", other)
	}
}

// Traits are told in datagrams and kept under keys of the store, which are short.
func TestTraitsOfPartsAreShortAndDistinct(t *testing.T) {
	long := strings.Repeat("f", 64)
	seen := map[Trait]bool{}
	for _, id := range []string{"5c1e07a2", long[:32], long[:33], long, long[:63] + "e", strings.Repeat("f", 10_000), "\xff\xfe", "two words"} {
		trait := TraitsOf(Content{}, []registrar.PartID{registrar.PartID(id)})[2]
		require.Equal(t, PartTrait, trait.Kind(), id)
		require.LessOrEqual(t, len(trait), 40, id)
		require.True(t, strings.ToValidUTF8(string(trait), "") == string(trait), id)
		require.False(t, seen[trait], id)
		seen[trait] = true
	}
	require.True(t, seen["5c1e07a2"], "short ones are told as they are")
}
