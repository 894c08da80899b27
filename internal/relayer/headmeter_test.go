package relayer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHeadMeterStopsAtTheEndOfTheHeaders(t *testing.T) {
	for name, c := range map[string]struct {
		message string
		bytes   int
		lines   int
	}{
		"request":          {"GET /abcd1 HTTP/1.1\r\nA: b\r\n\r\n\n\n", 29, 3},
		"lines without CR": {"GET /abcd1 HTTP/1.1\nA: b\n\n\n\n", 26, 3},
	} {
		t.Run(name, func(t *testing.T) {
			whole, parts := headMeter{}, headMeter{}
			whole.observe([]byte(c.message))
			for i := range c.message {
				parts.observe([]byte(c.message[i : i+1]))
			}
			require.Equal(t, whole, parts)
			require.True(t, whole.done)
			require.Equal(t, c.bytes, whole.bytes)
			require.Equal(t, c.lines, whole.lines)
			require.Zero(t, whole.cost())
		})
	}
}

func TestManyOrLongHeadersCost(t *testing.T) {
	few, many, long := headMeter{}, headMeter{}, headMeter{}
	few.observe([]byte(strings.Repeat("a: b\r\n", freeHeadLines)))
	many.observe([]byte(strings.Repeat("a: b\r\n", 2*freeHeadLines)))
	long.observe([]byte(strings.Repeat("a", 2*freeHeadBytes)))
	require.Zero(t, few.cost())
	require.Equal(t, freeHeadLines*headLineCost, many.cost())
	require.Equal(t, freeHeadBytes*headByteCost, long.cost())
}
