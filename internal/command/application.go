// Package command holds the commands of the egretwall program, one to a file.
//
// Usage:
//
//	app := command.NewApplication(command.Streams{Out: os.Stdout, Err: os.Stderr})
//	err := app.Run(os.Args[1:])
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Streams are where commands write.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Command is one command of the program.
type Command struct {
	Name string
	Help string
	// Bind declares the arguments and returns the action.
	Bind func(*kingpin.CmdClause) Action
}

// Action carries a command out.
type Action func(ctx context.Context, s Streams) error

// commands lists all commands in the order of the help text.
var commands = []Command{
	generateCommand,
	checkCommand,
	publishCommand,
	statusCommand,
	dumpCommand,
	entryCommand,
	agentCommand,
	gatewayCommand,
	stewardCommand,
	demoCommand,
}

// Application is the program's command line.
type Application struct {
	streams Streams
	parser  *kingpin.Application
	actions map[string]Action
}

// NewApplication declares all commands.
func NewApplication(s Streams) *Application {
	a := &Application{streams: s, parser: kingpin.New("egretwall", "Serves many language models on fewer accelerators."), actions: map[string]Action{}}
	a.parser.UsageWriter(s.Out)
	a.parser.ErrorWriter(s.Err)
	for _, c := range commands {
		a.actions[c.Name] = c.Bind(a.parser.Command(c.Name, c.Help))
	}
	return a
}

// Run carries out the command named by args.
func (a *Application) Run(args []string) error {
	name, err := a.parser.Parse(args)
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "try egretwall --help")
	}
	return a.actions[name](context.Background(), a.streams)
}

// onStop calls stop at the first SIGINT or SIGTERM and ends the process at the
// second one.
func onStop(stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
		<-signals
		os.Exit(1)
	}()
}
