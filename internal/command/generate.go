package command

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/generator"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/pkg/configurator"
)

var generateCommand = Command{
	Name: "generate",
	Help: "Print the configuration that follows from a questionnaire.",
	Bind: func(c *kingpin.CmdClause) Action {
		file := c.Arg("questionnaire", "File with the answers.").Required().String()
		return func(_ context.Context, s Streams) error {
			cfg, err := generate(*file)
			if err != nil {
				return err
			}
			_, err = s.Out.Write(configurator.Encode(cfg))
			return err
		}
	},
}

func generate(path string) (configurator.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return configurator.Configuration{}, classifier.Wrap(classifier.Invalid, err, "read questionnaire")
	}
	return generateFrom(path, data)
}

func generateFrom(name string, data []byte) (configurator.Configuration, error) {
	q, problems := generator.Parse(data)
	cfg, more := generator.Generate(q)
	return cfg, loader.ProblemsError(name, append(problems, more...))
}
