// Command egretwall serves many language models on fewer accelerators.
package main

import (
	"fmt"
	"os"

	"go.uber.org/dig"

	"github.com/egretwall/egretwall/internal/command"
)

func main() {
	c := dig.New()
	streams := command.Streams{Out: os.Stdout, Err: os.Stderr}
	for _, constructor := range []any{
		func() command.Streams { return streams },
		command.NewApplication,
	} {
		if err := c.Provide(constructor); err != nil {
			fail(err)
		}
	}
	if err := c.Invoke(func(app *command.Application) error { return app.Run(os.Args[1:]) }); err != nil {
		fail(dig.RootCause(err))
	}
}

func fail(err error) {
	_, _ = fmt.Fprintln(os.Stderr, "egretwall:", err)
	os.Exit(1)
}
