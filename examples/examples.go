// Package examples holds the questionnaires of the example deployments.
//
// Usage:
//
//	data, err := examples.Questionnaire("kelheim")
package examples

import (
	"embed"

	"github.com/egretwall/egretwall/internal/classifier"
)

//go:embed havengelden/questionnaire.json kelheim/questionnaire.json
var files embed.FS

// Questionnaire returns the JSON questionnaire of an example deployment,
// havengelden or kelheim. It returns an error of kind Missing for other names.
func Questionnaire(name string) ([]byte, error) {
	data, err := files.ReadFile(name + "/questionnaire.json")
	if err != nil {
		return nil, classifier.Wrap(classifier.Missing, err, "no example deployment %s", name)
	}
	return data, nil
}
