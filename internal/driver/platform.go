package driver

import (
	"context"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/egretwall/egretwall/internal/linker"
	"github.com/egretwall/egretwall/internal/lister"
	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/internal/reducer"
	"github.com/egretwall/egretwall/internal/router"
	"github.com/egretwall/egretwall/pkg/configurator"
)

// RecordLog is the platform's log.
type RecordLog interface {
	Append(ctx context.Context, stream recorder.Stream, r recorder.Record) (recorder.Offset, error)
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset) (recorder.Batch, error)
	Close()
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	List(ctx context.Context) ([]lister.Instance, int, error)
	Close()
}

// Periods of the calls to the platform.
const (
	logPause      = 100 * time.Millisecond // after a failed read, doubled each time
	logPauseLimit = 2 * time.Second
	listPeriod    = time.Second
	listBudget    = 1024        // bytes a second, which spaces the reads of a long list
	bootstrapWait = time.Second // a process without configuration asks its peers after this time
	maxAppends    = 4           // appends under way
)

// platform runs the calls to the log and the list for one process.
type platform struct {
	log   RecordLog
	list  InstanceList
	creds credentials.TransportCredentials
	post  func(reducer.Event)
	seed  uint64
	slots chan struct{}
	known chan struct{} // closed once a configuration is in force
}

func newPlatform(log RecordLog, list InstanceList, creds credentials.TransportCredentials, seed uint64) *platform {
	return &platform{log: log, list: list, creds: creds, seed: seed, slots: make(chan struct{}, maxAppends), known: make(chan struct{})}
}

// start follows the log and the list until ctx ends.
func (p *platform) start(ctx context.Context) {
	go p.follow(ctx, recorder.MainStream)
	go p.watch(ctx)
}

// follow reads a stream of the log and posts what it reads.
func (p *platform) follow(ctx context.Context, stream recorder.Stream) {
	jitter := router.New(p.seed)
	var next recorder.Offset
	pause := logPause
	for ctx.Err() == nil {
		batch, err := p.log.Read(ctx, stream, next)
		if err != nil {
			sleep(ctx, jitter.Jitter(pause))
			pause = min(2*pause, logPauseLimit)
			continue
		}
		pause = logPause
		next = max(next, batch.NextOffset)
		p.post(reducer.RecordsRead{Stream: stream, Batch: batch})
	}
}

// watch reads the list and, while there is no configuration, asks its agents.
func (p *platform) watch(ctx context.Context) {
	begun := time.Now()
	for ctx.Err() == nil {
		instances, size, err := p.list.List(ctx)
		if err == nil && len(instances) > 0 {
			p.post(listed(instances))
			if time.Since(begun) > bootstrapWait {
				p.bootstrap(ctx, instances)
			}
		}
		sleep(ctx, max(listPeriod, time.Duration(size)*time.Second/listBudget))
	}
}

// listed turns the list into an event.
func listed(instances []lister.Instance) reducer.UpstreamsListed {
	ev := reducer.UpstreamsListed{Live: map[configurator.UpstreamName]bool{}}
	for _, i := range instances {
		if i.Upstream != "" && i.State == lister.Live {
			ev.Live[i.Upstream] = true
		}
	}
	return ev
}

// bootstrap asks the listed agents for the configuration; the reducer keeps
// the highest version.
func (p *platform) bootstrap(ctx context.Context, instances []lister.Instance) {
	select {
	case <-p.known:
		return
	default:
	}
	for _, i := range instances {
		if i.Address == "" {
			continue
		}
		if doc, err := linker.FetchConfiguration(ctx, i.Address, p.creds); err == nil {
			p.post(reducer.ConfigurationReceived{Document: doc})
		}
	}
}

// append writes a record and reports the outcome.
func (p *platform) append(ctx context.Context, stream recorder.Stream, r recorder.Record) {
	go func() {
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		offset, err := p.log.Append(ctx, stream, r)
		<-p.slots
		p.post(reducer.Appended{ID: r.ID, Offset: offset, Err: err})
	}()
}

// installed notes that a configuration is in force.
func (p *platform) installed() {
	select {
	case <-p.known:
	default:
		close(p.known)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
