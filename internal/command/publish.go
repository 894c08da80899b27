package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/follower"
	"github.com/egretwall/egretwall/internal/loader"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// verdictTimeout bounds publishing, from the first read of the log to the verdict on the
// change.
const verdictTimeout = 10 * time.Second

var publishCommand = Command{
	Name: "publish",
	Help: "Append a configuration to the log and report whether it was accepted.",
	Bind: func(c *kingpin.CmdClause) Action {
		file := c.Arg("file", "Configuration to publish.").Required().String()
		base := c.Flag("base", "Version that the configuration is based on.").Required().Uint64()
		address := c.Flag("log", "IP address and port of the platform's log.").Required().String()
		return func(ctx context.Context, s Streams) error {
			cfg, err := readConfiguration(*file)
			if err != nil {
				return err
			}
			log := recorder.NewClient(recorder.Config{Address: *address})
			defer log.Close()
			verdict, err := publish(ctx, log, cfg, configurator.Version(*base))
			if err != nil {
				return err
			}
			return reportVerdict(s, verdict)
		}
	},
}

func readConfiguration(path string) (configurator.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return configurator.Configuration{}, classifier.Wrap(classifier.Invalid, err, "read configuration")
	}
	cfg, problems := configurator.Parse(data)
	return cfg, loader.ProblemsError(path, problems)
}

// publish appends the difference between cfg and version base to the log, and reads the
// log until it holds the verdict on the change. If the appended change has no verdict
// within verdictTimeout, the error is of kind classifier.Lost and the change may still
// be accepted.
func publish(ctx context.Context, log *recorder.Client, cfg configurator.Configuration, base configurator.Version) (configurator.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	f := follower.New()
	baseState, err := stateAtVersion(ctx, log, f, base)
	if err != nil {
		return configurator.Verdict{}, err
	}
	change := configurator.Diff(fmt.Sprintf("publish-%016x", rand.Uint64()), baseState, cfg)
	if len(change.Puts) == 0 && len(change.Deletes) == 0 {
		return configurator.Verdict{}, classifier.New(classifier.Invalid, "the configuration equals version %d, nothing to publish", base)
	}
	record := recorder.Record{ID: change.ID, Kind: recorder.KindChange, Change: &change}
	if _, err := log.Append(ctx, recorder.MainStream, record); err != nil && classifier.KindOf(err) != classifier.Lost {
		return configurator.Verdict{}, err
	}
	for ctx.Err() == nil {
		for _, v := range f.Report().Verdicts {
			if v.ID == change.ID {
				return v, nil
			}
		}
		if batch, err := log.Read(ctx, recorder.MainStream, f.NextOffset()); err == nil {
			f.Apply(0, batch)
		}
	}
	return configurator.Verdict{}, classifier.New(classifier.Lost, "no verdict on change %s in the log yet, see egretwall status before publishing again", change.ID)
}

// stateAtVersion reads the log up to its end, applies it to f and returns the state of
// a version.
func stateAtVersion(ctx context.Context, log *recorder.Client, f *follower.Follower, version configurator.Version) (configurator.State, error) {
	var state configurator.State
	found := version == 0
	for {
		batch, err := log.Read(ctx, recorder.MainStream, f.NextOffset())
		if err != nil {
			return state, err
		}
		for _, r := range batch.Records {
			f.Apply(0, recorder.Batch{FirstOffset: batch.FirstOffset, NextOffset: r.Offset + 1, Records: []recorder.Record{r}})
			if f.State().Version == version && !found {
				state, found = *f.State(), true
			}
		}
		if len(batch.Records) == 0 {
			break
		}
	}
	if !found {
		return state, classifier.New(classifier.Missing, "the log does not hold version %d, version %d is in force", version, f.State().Version)
	}
	return state, nil
}

// reportVerdict prints the version of an accepted change, and returns an error for a
// refused one.
func reportVerdict(s Streams, v configurator.Verdict) error {
	if v.Accepted {
		_, _ = fmt.Fprintf(s.Out, "accepted as version %d\n", v.Version)
		return nil
	}
	if len(v.ConflictingKeys) > 0 {
		keys := make([]string, len(v.ConflictingKeys))
		for i, k := range v.ConflictingKeys {
			keys[i] = string(k)
		}
		return classifier.New(classifier.Conflict, "refused: version %d is accepted and has changed %s since the base version, repeat the change on top of it", v.Version, strings.Join(keys, ", "))
	}
	return loader.ProblemsError("refused", v.Problems)
}
