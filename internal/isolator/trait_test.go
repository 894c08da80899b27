package isolator

import (
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
