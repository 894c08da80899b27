package command

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestProgressIsOneLineWithoutATerminal(t *testing.T) {
	var out bytes.Buffer
	p := newProgress(&out, "loading")
	for done := range 4 {
		p.show(done, 3)
		p.show(done, 3)
	}
	require.Equal(t, "loading: 3 of 3\n", out.String())
}

func TestProgressIsWrittenOverAtATerminal(t *testing.T) {
	var out bytes.Buffer
	p := newProgress(&out, "loading")
	p.terminal = true
	p.show(1, 2)
	p.show(2, 2)
	require.Equal(t, "\rloading: 1 of 2\rloading: 2 of 2\n", out.String())
}
