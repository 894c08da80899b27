package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

var dumpCommand = Command{
	Name: "dump",
	Help: "Print the state of a process as JSON.",
	Bind: func(c *kingpin.CmdClause) Action {
		address := c.Arg("address", "Admin address of the process.").Required().String()
		return func(ctx context.Context, s Streams) error {
			data, err := fetchDump(ctx, *address)
			if err != nil {
				return err
			}
			_, err = s.Out.Write(data)
			return err
		}
	},
}
