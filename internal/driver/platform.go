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

// RecordLog is the client of the platform's append-only log, which entries and agents use
// and which has several streams.
type RecordLog interface {
	// Append writes a record and returns its offset.
	Append(ctx context.Context, stream recorder.Stream, r recorder.Record) (recorder.Offset, error)
	// Read returns the records from an offset on and may wait for the first of them.
	Read(ctx context.Context, stream recorder.Stream, from recorder.Offset) (recorder.Batch, error)
	Close()
}

// InstanceList is the client of the platform's list of running instances, which entries
// and agents use.
type InstanceList interface {
	// List returns all instances and the size of the answer in bytes.
	List(ctx context.Context) ([]lister.Instance, int, error)
	Close()
}

// Timing and limits of calls to the platform.
const (
	readRetryDelay       = 100 * time.Millisecond // after a failed read, doubled each time
	maxReadRetryDelay    = 2 * time.Second
	listPeriod           = time.Second // between reads of the instance list, at least
	listBytesPerSecond   = 1024        // limits the average rate of list reads, so that a large list is read less often
	bootstrapDelay       = time.Second // time for the log to deliver a configuration before agents are asked for one
	maxConcurrentAppends = 4           // per process
)

// platformClient calls the log and the list for one entry or agent and posts the results
// as events.
type platformClient struct {
	log         RecordLog
	list        InstanceList
	creds       credentials.TransportCredentials
	post        func(reducer.Event)
	now         func() time.Duration // clock of the reducer
	seed        uint64
	appendSlots chan struct{}
	configured  chan struct{} // closed once a configuration is in force
}

func newPlatformClient(log RecordLog, list InstanceList, creds credentials.TransportCredentials, seed uint64) *platformClient {
	return &platformClient{log: log, list: list, creds: creds, seed: seed, appendSlots: make(chan struct{}, maxConcurrentAppends), configured: make(chan struct{})}
}

// start begins to follow the main stream of the log and to poll the list until ctx ends.
func (p *platformClient) start(ctx context.Context) {
	go p.follow(ctx, recorder.MainStream)
	go p.pollInstances(ctx)
}

// follow reads a stream of the log from its start and posts the records. After a failed
// read it retries with backoff and jitter.
func (p *platformClient) follow(ctx context.Context, stream recorder.Stream) {
	jitter := router.New(p.seed)
	var next recorder.Offset
	delay := readRetryDelay
	for ctx.Err() == nil {
		askedAt := p.now()
		batch, err := p.log.Read(ctx, stream, next)
		if err != nil {
			sleep(ctx, jitter.Jitter(delay))
			delay = min(2*delay, maxReadRetryDelay)
			continue
		}
		delay = readRetryDelay
		p.post(reducer.RecordsRead{Stream: stream, Batch: batch})
		if age, ok := batch.Covers(next); ok && stream == recorder.MainStream {
			p.post(reducer.ConfigurationConfirmed{At: askedAt - age})
		}
		next = max(next, batch.NextOffset)
	}
}

// pollInstances posts the list of instances periodically. While the process has no
// configuration, it also asks the listed agents for theirs.
func (p *platformClient) pollInstances(ctx context.Context) {
	startedAt := time.Now()
	for ctx.Err() == nil {
		instances, size, err := p.list.List(ctx)
		if err == nil && len(instances) > 0 {
			p.post(upstreamsListed(instances))
			if time.Since(startedAt) > bootstrapDelay {
				p.bootstrap(ctx, instances)
			}
		}
		sleep(ctx, max(listPeriod, time.Duration(size)*time.Second/listBytesPerSecond))
	}
}

// upstreamsListed returns the event with the upstreams that have a live agent.
func upstreamsListed(instances []lister.Instance) reducer.UpstreamsListed {
	ev := reducer.UpstreamsListed{Live: map[configurator.UpstreamName]bool{}}
	for _, i := range instances {
		if i.Upstream != "" && i.State == lister.Live {
			ev.Live[i.Upstream] = true
		}
	}
	return ev
}

// bootstrap asks all listed agents for their configuration unless the process has one;
// the reducer keeps the highest version.
func (p *platformClient) bootstrap(ctx context.Context, instances []lister.Instance) {
	select {
	case <-p.configured:
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

// appendRecord appends a record in the background and posts the result. At most
// maxConcurrentAppends run at once.
func (p *platformClient) appendRecord(ctx context.Context, stream recorder.Stream, r recorder.Record) {
	go func() {
		select {
		case p.appendSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		offset, err := p.log.Append(ctx, stream, r)
		<-p.appendSlots
		p.post(reducer.Appended{ID: r.ID, Offset: offset, Err: err})
	}()
}

// setConfigured makes bootstrap stop asking agents for a configuration.
func (p *platformClient) setConfigured() {
	select {
	case <-p.configured:
	default:
		close(p.configured)
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
