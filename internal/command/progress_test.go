package command

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestProgressPrintsOneLineWithoutTerminal(t *testing.T) {
	var out bytes.Buffer
	p := newProgress(&out, "loading")
	for done := range 4 {
		p.update(done, 3)
		p.update(done, 3)
	}
	require.Equal(t, "loading: 3 of 3\n", out.String())
}

func TestProgressOverwritesLineOnTerminal(t *testing.T) {
	var out bytes.Buffer
	p := newProgress(&out, "loading")
	p.terminal = true
	p.update(1, 2)
	p.update(2, 2)
	require.Equal(t, "\rloading: 1 of 2\rloading: 2 of 2\n", out.String())
}
