package driver

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretwall/egretwall/internal/dispatcher"
	"github.com/egretwall/egretwall/internal/messenger"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
	"github.com/egretwall/egretwall/internal/watcher"
)

// originKeeper is a steward's knowledge of the streams that gateways have told it about.
// While a service has several releases, or shares a route with others, it writes those of its
// streams to the store, and reads there what others have written when it is asked for a stream
// that it does not know. It is guarded by the steward's syncer.mu.
type originKeeper struct {
	*tracker.Keeper
	log     *originLog
	service registrar.ServiceName          // of the steward's runner
	saving  map[registrar.ServiceName]bool // services whose streams may have begun elsewhere too
}

func newOriginKeeper(service registrar.ServiceName, s *syncer, store OriginStore, logger zerolog.Logger) *originKeeper {
	k := &originKeeper{Keeper: tracker.NewKeeper(), service: service, saving: map[registrar.ServiceName]bool{}}
	k.log = newOriginLog(originLogConfig{
		Store: store, Era: func() (watcher.Era, <-chan struct{}) { return s.store.Era() }, Logger: logger, Mu: &s.mu, Now: s.now, Watch: true,
		Known: k.saved, Added: k.refreshSaving,
		Loaded: func(at time.Duration, origins []tracker.Origin) {
			for i := range origins {
				origins[i].Service = k.serviceOr(origins[i].Service)
			}
			k.Load(s.now(), at, origins)
		},
	})
	return k
}

// serviceOr returns the service that a message or a record names. Those of earlier builds
// name none and are of the steward's own.
func (k *originKeeper) serviceOr(named registrar.ServiceName) registrar.ServiceName {
	if named == "" {
		return k.service
	}
	return named
}

// record stores an origin that a gateway told.
func (k *originKeeper) record(now time.Duration, o tracker.Origin) {
	if _, known := k.Streams.Origin(o.Stream); known {
		return
	}
	o.Service = k.serviceOr(o.Service)
	k.Streams.Record(now, o)
	if k.saving[o.Service] {
		k.log.add(o)
	}
}

// refreshSaving updates saving, and returns the origins of the streams of services that have
// been added to it.
func (k *originKeeper) refreshSaving(now time.Duration) []tracker.Origin {
	added := map[registrar.ServiceName]bool{}
	for service := range k.Releases {
		ambiguous := k.Ambiguous(now, service)
		added[service] = ambiguous && !k.saving[service]
		k.saving[service] = ambiguous
	}
	return k.originsOf(added)
}

// saved returns the origins that the store is to hold.
func (k *originKeeper) saved() []tracker.Origin { return k.originsOf(k.saving) }

func (k *originKeeper) originsOf(services map[registrar.ServiceName]bool) []tracker.Origin {
	if !slices.Contains(slices.Collect(maps.Values(services)), true) {
		return nil
	}
	return slices.DeleteFunc(k.Streams.Origins(), func(o tracker.Origin) bool { return !services[o.Service] })
}

// tellOrigin tells a gateway which release began a stream, or that this is not known and which
// releases of a service may have. If the list or the store must be read for that, the gateway
// asks again. The caller holds syncer.mu.
func (s *Steward) tellOrigin(to netip.AddrPort, service registrar.ServiceName, id tracker.StreamID) {
	answer := s.origins.Ask(s.syncer.now(), s.origins.serviceOr(service), id)
	if answer.ReadList {
		wake(s.syncer.listNow)
	}
	if answer.ReadStored {
		wake(s.origins.log.wanted)
	}
	if answer.Origin == nil && answer.Absence == nil {
		return
	}
	datagrams, err := messenger.Encode(messenger.Message{Sender: s.cfg.Name, Version: s.syncer.version(), Origin: answer.Origin, Absence: answer.Absence})
	if err != nil {
		s.cfg.Log.Logger.Error().Err(err).Msg("cannot encode origin of a stream")
		return
	}
	s.messenger.Send(to, datagrams...)
}

// newGatewayOrigins returns the log of the streams that a gateway can tell no steward of, and
// of those that it can ask no steward for.
func newGatewayOrigins(g *Gateway) *originLog {
	return newOriginLog(originLogConfig{
		Store: g.cfg.Origins, Era: g.syncer.store.Era, Logger: g.cfg.Log.Logger, Mu: &g.syncer.mu, Now: g.syncer.now, Known: g.savedStreams.Origins,
		Loaded: func(at time.Duration, origins []tracker.Origin) {
			g.apply(dispatcher.StreamsRead{At: at, Origins: origins})
		},
	})
}

// saveOrigin writes an origin to the store with the next write. The caller holds syncer.mu.
func (g *Gateway) saveOrigin(o tracker.Origin) {
	g.savedStreams.Record(g.syncer.now(), o)
	g.origins.add(o)
}
