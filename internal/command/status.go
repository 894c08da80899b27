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
	"github.com/egretwall/egretwall/internal/verifier"
)

// dumpTimeout bounds the fetch of one dump.
const dumpTimeout = 2 * time.Second

// statusDump is the part of an entry's or agent's dump that status shows.
type statusDump struct {
	Role          string          `json:"role"`
	Draining      bool            `json:"draining"`
	Configuration follower.Report `json:"configuration"`
	Shortfalls    []string        `json:"short"`
}

var statusCommand = Command{
	Name: "status",
	Help: "Show the configuration version in force at each process and the guarantees that don't hold.",
	Bind: func(c *kingpin.CmdClause) Action {
		address := c.Flag("list", "IP address and port of the instance list of entries and agents.").String()
		admins := c.Arg("admin", "Admin addresses of gateways and stewards.").Strings()
		return func(ctx context.Context, s Streams) error {
			if (*address == "") == (len(*admins) == 0) {
				return classifier.New(classifier.Invalid, "expected either --list or admin addresses")
			}
			if len(*admins) > 0 {
				return printPlatformProcesses(ctx, s.Out, *admins)
			}
			list := lister.NewClient(lister.Config{Address: *address})
			defer list.Close()
			instances, _, err := list.List(ctx)
			if err != nil {
				return err
			}
			sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
			return printInstances(ctx, s.Out, instances)
		}
	},
}

// printInstances prints the state of entries and agents. It fails if their versions
// differ or one of them does not return its dump.
func printInstances(ctx context.Context, out io.Writer, instances []lister.Instance) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tVERSION\tHASH\tFROM\tREFUSED\tSHORT OF")
	versions := map[string]bool{}
	unreachable := 0
	for _, i := range instances {
		var dump statusDump
		data, err := fetchDump(ctx, i.AdminAddress)
		if err == nil {
			err = json.Unmarshal(data, &dump)
		}
		if err != nil {
			unreachable++
			_, _ = fmt.Fprintf(w, "%s\t-\t-\t-\t-\tdoes not answer\n", i.Name)
			continue
		}
		if dump.Draining {
			dump.Shortfalls = append(dump.Shortfalls, "draining")
		}
		versions[fmt.Sprintf("%d %x", dump.Configuration.Version, dump.Configuration.Hash)] = true
		_, _ = fmt.Fprintf(w, "%s\t%d\t%08x\t%s\t%s\t%s\n", i.Name, dump.Configuration.Version, dump.Configuration.Hash>>32,
			dump.Configuration.Origin, refusedChanges(dump.Configuration), strings.Join(dump.Shortfalls, "; "))
	}
	_ = w.Flush()
	if unreachable > 0 {
		return classifier.New(classifier.Lost, "%d of %d processes do not answer", unreachable, len(instances))
	}
	if len(versions) > 1 {
		return classifier.New(classifier.Conflict, "%d versions are in force", len(versions))
	}
	return nil
}

// printPlatformProcesses prints the state of gateways and stewards. It fails if their
// versions differ or one of them does not return its dump.
func printPlatformProcesses(ctx context.Context, out io.Writer, addresses []string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ADDRESS\tROLE\tNAME\tVERSION\tSTORE\tSTATE")
	versions := map[registrar.Version]bool{}
	unreachable := 0
	for _, a := range addresses {
		var dump driver.ProcessDump
		data, err := fetchDump(ctx, a)
		if err == nil {
			err = json.Unmarshal(data, &dump)
		}
		if err != nil {
			unreachable++
			_, _ = fmt.Fprintf(w, "%s\t-\t-\t-\t-\tdoes not answer\n", a)
			continue
		}
		versions[dump.Version] = true
		store, state := "answers", "serving"
		if dump.StoreDown {
			store = "lost"
		}
		if dump.Draining {
			state = "draining"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", a, dump.Role, dump.Name, dump.Version, store, state)
	}
	_ = w.Flush()
	if unreachable > 0 {
		return classifier.New(classifier.Lost, "%d of %d processes do not answer", unreachable, len(addresses))
	}
	if len(versions) > 1 {
		return classifier.New(classifier.Conflict, "%d versions are in force", len(versions))
	}
	return nil
}

// refusedChanges returns the IDs of the changes refused lately, separated by commas,
// and "-" if there are none.
func refusedChanges(r follower.Report) string {
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

// fetchDump returns the JSON dump of the process that serves an admin address.
func fetchDump(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
	if err != nil {
		return nil, classifier.Wrap(classifier.Invalid, err, "invalid address %s", address)
	}
	res, err := verifier.NewClient(&http.Transport{DisableKeepAlives: true}).Do(req)
	if err != nil {
		return nil, classifier.Wrap(classifier.Lost, err, "fetch dump of %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, classifier.New(classifier.Leaving, "fetch dump of %s: status %d", address, res.StatusCode)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, classifier.Wrap(classifier.Lost, err, "read dump of %s", address)
	}
	return data, nil
}
