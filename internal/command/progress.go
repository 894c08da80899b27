package command

import (
	"fmt"
	"io"
	"os"
)

// progress reports the progress of a task: on a terminal in one line that is
// overwritten, elsewhere in one line when the task is complete.
type progress struct {
	out      io.Writer
	label    string
	terminal bool
	lastDone int
}

func newProgress(out io.Writer, label string) *progress {
	p := &progress{out: out, label: label, lastDone: -1}
	if f, ok := out.(*os.File); ok {
		info, err := f.Stat()
		p.terminal = err == nil && info.Mode()&os.ModeCharDevice != 0
	}
	return p
}

// update reports that done of total steps are complete.
func (p *progress) update(done, total int) {
	if done == p.lastDone {
		return
	}
	p.lastDone = done
	if p.terminal {
		_, _ = fmt.Fprintf(p.out, "\r%s: %d of %d", p.label, done, total)
	}
	if done != total {
		return
	}
	if p.terminal {
		_, _ = fmt.Fprintln(p.out)
	} else {
		_, _ = fmt.Fprintf(p.out, "%s: %d of %d\n", p.label, done, total)
	}
}
