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
	Help: "Print the configuration generated from a questionnaire.",
	Bind: func(c *kingpin.CmdClause) Action {
		file := c.Arg("questionnaire", "Questionnaire file.").Required().String()
		return func(_ context.Context, s Streams) error {
			cfg, err := generateFromFile(*file)
			if err != nil {
				return err
			}
			_, err = s.Out.Write(configurator.Encode(cfg))
			return err
		}
	},
}

func generateFromFile(path string) (configurator.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return configurator.Configuration{}, classifier.Wrap(classifier.Invalid, err, "read questionnaire")
	}
	return generateFromData(path, data)
}

// generateFromData generates a configuration from a questionnaire; name stands for the
// file in errors.
func generateFromData(name string, data []byte) (configurator.Configuration, error) {
	q, problems := generator.Parse(data)
	cfg, configProblems := generator.Generate(q)
	return cfg, loader.ProblemsError(name, append(problems, configProblems...))
}
