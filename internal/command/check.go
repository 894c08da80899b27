package command

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/loader"
)

var checkCommand = Command{
	Name: "check",
	Help: "Report every mistake in a questionnaire, a configuration or a settings file.",
	Bind: func(c *kingpin.CmdClause) Action {
		file := c.Arg("file", "File to check.").Required().String()
		return func(_ context.Context, s Streams) error {
			kind, problems, err := loader.Check(*file)
			if err != nil {
				return err
			}
			for _, p := range problems {
				_, _ = fmt.Fprintf(s.Out, "%s: %s\n", *file, p)
			}
			if len(problems) > 0 {
				return classifier.New(classifier.Invalid, "%s has %d mistakes, read as %s", *file, len(problems), kind)
			}
			_, _ = fmt.Fprintf(s.Out, "%s: valid %s\n", *file, kind)
			return nil
		}
	},
}
