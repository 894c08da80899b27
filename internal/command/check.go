package command

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/platform"
)

var checkCommand = Command{
	Name: "check",
	Help: "Report every mistake in a questionnaire, a configuration or a settings file.",
	Bind: func(c *kingpin.CmdClause) Action {
		file := c.Arg("file", "File to check.").Required().String()
		return func(_ context.Context, s Streams) error {
			data, err := os.ReadFile(*file)
			if err != nil {
				return classifier.Wrap(classifier.Invalid, err, "read file")
			}
			if platform.IsConfiguration(data) {
				return checkPlatformConfiguration(s, *file, data)
			}
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

// checkPlatformConfiguration checks a configuration in the platform's format, which
// gateways and stewards use.
func checkPlatformConfiguration(s Streams, file string, data []byte) error {
	c, err := platform.DecodeConfiguration(data)
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "%s, read as configuration of the platform", file)
	}
	_, _ = fmt.Fprintf(s.Out, "%s: valid configuration of the platform, version %d with %d routes and %d services\n", file, c.Version, len(c.Routes), len(c.Services))
	return nil
}
