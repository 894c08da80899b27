// Package command implements the commands of the egretwall program, each in a file
// of its own.
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

// Streams holds the output streams of a command.
type Streams struct {
	Out io.Writer // results; also the log of gateways and stewards
	Err io.Writer // progress; also the log of entries, agents and the demo
}

// Command describes a command of the program.
type Command struct {
	Name string
	Help string
	// Bind declares the flags and arguments and returns the action.
	Bind func(*kingpin.CmdClause) Action
}

// Action runs a command.
type Action func(ctx context.Context, s Streams) error

// commands lists all commands in the order in which the help shows them.
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

// Application parses the command line and runs the command that it names.
type Application struct {
	streams Streams
	parser  *kingpin.Application
	actions map[string]Action
}

// NewApplication returns an application with all commands, which write to s.
func NewApplication(s Streams) *Application {
	a := &Application{streams: s, parser: kingpin.New("egretwall", "Serves many language models on fewer accelerators."), actions: map[string]Action{}}
	a.parser.UsageWriter(s.Out)
	a.parser.ErrorWriter(s.Err)
	for _, c := range commands {
		a.actions[c.Name] = c.Bind(a.parser.Command(c.Name, c.Help))
	}
	return a
}

// Run runs the command named by args, which excludes the program name. The error is
// of kind classifier.Invalid if args can't be parsed.
func (a *Application) Run(args []string) error {
	name, err := a.parser.Parse(args)
	if err != nil {
		return classifier.Wrap(classifier.Invalid, err, "invalid command line, see egretwall --help")
	}
	return a.actions[name](context.Background(), a.streams)
}

// onStopSignal calls stop on the first SIGINT or SIGTERM and exits with status 1 on
// the second.
func onStopSignal(stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
		<-signals
		os.Exit(1)
	}()
}
