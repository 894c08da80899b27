package driver

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/exchanger"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/watcher"
)

// Timing of the simulated fleet.
const (
	announcePeriod    = 250 * time.Millisecond // between messages of a process to its peers
	clientTimeout     = 1500 * time.Millisecond
	maxDrainDelay     = 2 * time.Second // from the announcement that an upstream drains until it gets nothing new
	stableWindow      = 3 * time.Second // after which the loss of connections excuses no delay
	transferParts     = 50              // of an answer
	simulatedGateways = 6
	simulatedStewards = 9
)

var errStore = errors.New("the store can't be reached")

// fleetStore is the client of a process to a store that can refuse its calls, and all
// connections to which can go silent.
type fleetStore struct {
	*fleet
	refuses bool // this process
	process int
	idle    []time.Time // when the idle connections were opened; guarded by fleet.mu
}

// connect returns when the connection of a new call was opened.
func (f *fleetStore) connect() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle) == 0 {
		return time.Now()
	}
	openedAt := f.idle[len(f.idle)-1]
	f.idle = f.idle[:len(f.idle)-1]
	return openedAt
}

// answer waits until the answer to a call on a connection arrives.
func (f *fleetStore) answer(ctx context.Context, openedAt time.Time) error {
	f.mu.Lock()
	if !f.silentAt.After(openedAt) {
		f.idle = append(f.idle, openedAt)
		f.mu.Unlock()
		return nil
	}
	f.mu.Unlock()
	<-ctx.Done()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = nil // a client closes its idle connections after a timeout
	return ctx.Err()
}

// fleet simulates the processes that follow the configuration and tell each other its
// version. Its fields are guarded by mu.
type fleet struct {
	mu        sync.Mutex
	version   registrar.Version
	wakes     bool // long polls answer at once with a new record
	listed    int  // changes of the upstream list
	silentAt  time.Time
	transfer  time.Duration // that an answer with a configuration takes over the links of gateways
	processes []*syncer
	stores    []*fleetStore
	frozen    map[int]chan struct{} // processes that don't run, until the channel is closed
	hangs     map[string]bool       // addresses that take a connection and never answer
	inForceAt map[registrar.Version][]time.Time
	// listReadAt is when each gateway last learned of a change of the upstream list.
	listReadAt [simulatedGateways]time.Time
	changed    chan struct{}
}

// newFleet returns gateways, followed by stewards, that run until ctx ends.
func newFleet(ctx context.Context, g *sync.WaitGroup) *fleet {
	f := &fleet{version: 1, wakes: true, frozen: map[int]chan struct{}{}, hangs: map[string]bool{}, inForceAt: map[registrar.Version][]time.Time{}, changed: make(chan struct{})}
	for i := range simulatedGateways + simulatedStewards {
		timing := stewardPollTiming
		if i < simulatedGateways {
			timing = gatewayPollTiming(maxDrainDelay, maxApplyDelay, 0)
		}
		store := &fleetStore{fleet: f, process: i}
		s := newSyncer(store, zerolog.Nop(), timing)
		s.fetch = f.fetch
		s.onList = func() {
			if i < simulatedGateways {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.listReadAt[i] = time.Now()
			}
		}
		s.onConfiguration = func(c *registrar.Configuration) {
			if i < simulatedGateways {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.inForceAt[c.Version] = append(f.inForceAt[c.Version], time.Now())
			}
		}
		f.processes, f.stores = append(f.processes, s), append(f.stores, store)
	}
	for i, s := range f.processes {
		g.Go(func() { s.run(ctx) })
		g.Go(func() { f.announce(ctx, i) })
	}
	return f
}

func addressOf(process int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(process)}), 7380)
}

// announce sends the version of a process to all stewards and, from a steward, to all
// gateways.
func (f *fleet) announce(ctx context.Context, from int) {
	rng := rand.New(rand.NewPCG(uint64(from), 1))
	time.Sleep(time.Duration(rng.Int64N(int64(announcePeriod))))
	for ctx.Err() == nil {
		s := f.processes[from]
		s.mu.Lock()
		v := s.version()
		s.mu.Unlock()
		for to, peer := range f.processes {
			if to == from || from < simulatedGateways && to < simulatedGateways || f.isFrozen(from) || f.isFrozen(to) {
				continue
			}
			peer.mu.Lock()
			peer.handlePeerVersion(addressOf(from), v)
			peer.mu.Unlock()
		}
		time.Sleep(announcePeriod)
	}
}

func (f *fleet) fetch(ctx context.Context, r exchanger.Request) (exchanger.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, exchanger.CallTimeout)
	defer cancel()
	f.mu.Lock()
	hangs := f.hangs[r.Address]
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return exchanger.Record{}, ctx.Err()
	}
	for i, s := range f.processes {
		if addressOf(i).String() != r.Address {
			continue
		}
		if c := s.current(); c.Version > r.After {
			return c, nil
		}
		return exchanger.Record{}, exchanger.ErrNotNewer
	}
	return exchanger.Record{}, errStore
}

// freeze keeps a process from running until thaw.
func (f *fleet) freeze(process int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[process] = make(chan struct{})
}

func (f *fleet) thaw(process int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen[process])
	delete(f.frozen, process)
}

func (f *fleet) isFrozen(process int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frozen[process] != nil
}

// restart makes a process forget its configuration, as one that starts has none.
func (f *fleet) restart(process int) {
	s := f.processes[process]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrar, s.currentRecord = registrar.New(registrar.Config{OutageGrace: outageGrace}), exchanger.Record{}
	s.announcements, s.nextFetchAt = newAnnouncements(), 0
}

func (f *fleet) publish(v registrar.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = v
	if f.wakes {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// silence makes all connections to the store silent; new ones work.
func (f *fleet) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silentAt = time.Now()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fleetStore) latest(topic string) (watcher.Batch, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuses {
		return watcher.Batch{}, f.changed, errStore
	}
	if topic == f.UpstreamTopic() {
		return watcher.Batch{Records: make([]watcher.Record, f.listed), NextOffset: int64(f.listed)}, f.changed, nil
	}
	return watcher.Batch{Records: []watcher.Record{{Key: "configuration", Value: []byte{byte(f.version)}}}, NextOffset: int64(f.version)}, f.changed, nil
}

// awaitThaw waits until the process runs.
func (f *fleetStore) awaitThaw() {
	f.mu.Lock()
	thawed := f.frozen[f.process]
	f.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (f *fleetStore) ReadLatest(ctx context.Context, topic string) (watcher.Batch, error) {
	defer f.awaitThaw()
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	if err := f.answer(ctx, f.connect()); err != nil {
		return watcher.Batch{}, err
	}
	batch, _, err := f.latest(topic)
	return batch, err
}

func (f *fleetStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error) {
	defer f.awaitThaw()
	ctx, cancel := context.WithTimeout(ctx, wait+clientTimeout)
	defer cancel()
	openedAt := f.connect()
	batch, changed, err := f.latest(topic)
	if err == nil && batch.NextOffset <= from && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			return watcher.Batch{}, ctx.Err()
		}
	}
	if err := f.answer(ctx, openedAt); err != nil {
		return watcher.Batch{}, err
	}
	batch, _, err = f.latest(topic)
	if err == nil && batch.NextOffset <= from {
		return watcher.Batch{NextOffset: from}, nil
	}
	if err == nil && topic == f.ConfigurationTopic() {
		err = f.receive(ctx, batch.NextOffset)
	}
	return batch, err
}

// receive waits while an answer with records before end comes over the link of a gateway.
func (f *fleetStore) receive(ctx context.Context, end int64) error {
	trace := watcher.TraceOf(ctx)
	for range transferParts {
		trace.Progress(nil)
		trace.Pending(end)
		if f.process < simulatedGateways {
			time.Sleep(f.transfer / transferParts)
		}
	}
	return ctx.Err()
}

func (*fleetStore) Era() (watcher.Era, <-chan struct{}) { return 0, nil }

func (*fleetStore) ConfigurationTopic() string { return "operator" }
func (*fleetStore) UpstreamTopic() string      { return "list" }

// revokedKey is a key that only the first version has.
var revokedKey = registrar.DigestKey("k1")

func (*fleetStore) DecodeConfiguration(r watcher.Record) (*registrar.Configuration, error) {
	c := &registrar.Configuration{Version: registrar.Version(r.Value[0]), Workspaces: []registrar.Workspace{{Name: "a"}}}
	if c.Version == 1 {
		c.Workspaces[0].Keys = []registrar.KeyDigest{revokedKey}
	}
	return c, nil
}

func (*fleetStore) DecodeUpstream(watcher.Record) (*registrar.Upstream, error) { return nil, nil }
