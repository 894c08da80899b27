package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/driver"
	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/registrar"
)

const dumpTimeout = 2 * time.Second

// summary is the part of a dump that status shows.
type summary struct {
	Role          string          `json:"role"`
	Draining      bool            `json:"draining"`
	Configuration follower.Report `json:"configuration"`
	Short         []string        `json:"short"`
}

var statusCommand = Command{
	Name: "status",
	Help: "Show the version in force at each process and what falls short of the promises.",
	Bind: func(c *kingpin.CmdClause) Action {
		address := c.Flag("list", "IP number and port of the instance list of entries and agents.").String()
		admins := c.Arg("admin", "Admin addresses of gateways and stewards.").Strings()
		return func(ctx context.Context, s Streams) error {
			if (*address == "") == (len(*admins) == 0) {
				return classifier.New(classifier.Invalid, "expected either --list or admin addresses")
			}
			if len(*admins) > 0 {
				return printProcesses(ctx, s.Out, *admins)
			}
			list := lister.NewClient(lister.Config{Address: *address})
			defer list.Close()
			instances, _, err := list.List(ctx)
			if err != nil {
				return err
			}
			sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
			return printStatus(ctx, s.Out, instances)
		}
	},
}

// printStatus fails when processes differ in their version or can't be asked.
func printStatus(ctx context.Context, out io.Writer, instances []lister.Instance) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tVERSION\tHASH\tFROM\tREFUSED\tSHORT OF")
	versions := map[string]bool{}
	silent := 0
	for _, i := range instances {
		var sum summary
		data, err := fetchDump(ctx, i.AdminAddress)
		if err == nil {
			err = json.Unmarshal(data, &sum)
		}
		if err != nil {
			silent++
			_, _ = fmt.Fprintf(w, "%s\t-\t-\t-\t-\tdoes not answer\n", i.Name)
			continue
		}
		if sum.Draining {
			sum.Short = append(sum.Short, "draining")
		}
		versions[fmt.Sprintf("%d %x", sum.Configuration.Version, sum.Configuration.Hash)] = true
		_, _ = fmt.Fprintf(w, "%s\t%d\t%08x\t%s\t%s\t%s\n", i.Name, sum.Configuration.Version, sum.Configuration.Hash>>32,
			sum.Configuration.Origin, refusals(sum.Configuration), strings.Join(sum.Short, "; "))
	}
	_ = w.Flush()
	if silent > 0 {
		return classifier.New(classifier.Lost, "%d of %d processes do not answer", silent, len(instances))
	}
	if len(versions) > 1 {
		return classifier.New(classifier.Conflict, "%d versions are in force", len(versions))
	}
	return nil
}

// printProcesses shows gateways and stewards. It fails when they differ in their
// version or can't be asked.
func printProcesses(ctx context.Context, out io.Writer, addresses []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ADDRESS\tROLE\tNAME\tVERSION\tSTORE\tSTATE")
	versions := map[registrar.Version]bool{}
	silent := 0
	for _, a := range addresses {
		var p driver.ProcessDump
		data, err := fetchDump(ctx, a)
		if err == nil {
			err = json.Unmarshal(data, &p)
		}
		if err != nil {
			silent++
			_, _ = fmt.Fprintf(w, "%s\t-\t-\t-\t-\tdoes not answer\n", a)
			continue
		}
		versions[p.Version] = true
		store, state := "answers", "serving"
		if p.StoreDown {
			store = "lost"
		}
		if p.Draining {
			state = "draining"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", a, p.Role, p.Name, p.Version, store, state)
	}
	_ = w.Flush()
	if silent > 0 {
		return classifier.New(classifier.Lost, "%d of %d processes do not answer", silent, len(addresses))
	}
	if len(versions) > 1 {
		return classifier.New(classifier.Conflict, "%d versions are in force", len(versions))
	}
	return nil
}

// refusals names the changes refused lately.
func refusals(r follower.Report) string {
	var ids []string
	for _, v := range r.Verdicts {
		if !v.Accepted {
			ids = append(ids, v.ID)
		}
	}
	if len(ids) == 0 {
		return "-"
	}
	return strings.Join(ids, ",")
}

func fetchDump(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "address %s", address)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, classifier.Wrap(classifier.Lost, err, "ask %s for its dump", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, classifier.New(classifier.Leaving, "%s answered %d", address, res.StatusCode)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, classifier.Wrap(classifier.Lost, err, "read dump of %s", address)
	}
	return data, nil
}
