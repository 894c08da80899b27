package command

import (
	"fmt"
	"io"
	"os"
)

// progress shows how far a task has come: on a terminal in one line that is
// written over, elsewhere in one line at the end.
type progress struct {
	out      io.Writer
	what     string
	terminal bool
	last     int
}

func newProgress(out io.Writer, what string) *progress {
	p := &progress{out: out, what: what, last: -1}
	if f, ok := out.(*os.File); ok {
		info, err := f.Stat()
		p.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return p
}

// show tells that so many of all steps are done.
func (p *progress) show(done, all int) {
	if done == p.last {
		return
	}
	p.last = done
	if p.terminal {
		_, _ = fmt.Fprintf(p.out, "\r%s: %d of %d", p.what, done, all)
	}
	if done != all {
		return
	}
	if p.terminal {
		_, _ = fmt.Fprintln(p.out)
	} else {
		_, _ = fmt.Fprintf(p.out, "%s: %d of %d\n", p.what, done, all)
	}
}
