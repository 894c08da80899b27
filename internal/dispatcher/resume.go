package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/placer"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

// Timing and numbers of the search for the release that began a stream.
const (
	originTimeout     = 400 * time.Millisecond // for stewards to answer, which may have to read the list first
	reporterTimeout   = time.Second            // for stewards to report, which a gateway that has just started must wait for
	originRetryPeriod = 60 * time.Millisecond  // before they are asked again, in case the datagram or its answer was lost
	orphanRetryAfter  = time.Second            // of a stream whose origin is unknown
	recorderCount     = 2                      // stewards that are told of each stream
	askedRecorders    = 3                      // stewards that are asked; a recorder may have gone since
	minRecorderPool   = 4                      // least number of stewards among which recorders are chosen
	stewardsPerPool   = 24                     // one of so many is in that pool; few, since each of them writes to the store
)

// originSearch is the search for the release that began the stream that a request resumes.
type originSearch struct {
	until    time.Duration // zero without a search
	askedAt  time.Duration
	asks     int  // how often stewards have been asked
	asked    int  // stewards that were asked last
	absent   int  // of these, those that don't know the stream
	answered bool // a steward has told which releases may have begun the stream
}

// unknownRelease is that of a stream which no upstream can go on with.
const unknownRelease registrar.Release = "\x00unknown"

// eligible reports whether an upstream may run a request: a stream that has begun goes on
// at the release that began it.
func (r *request) eligible(u *upstream) bool {
	return r.release == "" || r.release == u.info.Release
}

// stream returns the id of the stream that the request begins or resumes.
func (r *request) stream() tracker.StreamID {
	if r.Resumes != "" {
		return tracker.StreamID(r.Resumes)
	}
	return tracker.StreamID(r.AttemptID)
}

// recordOrigin binds a request whose first event has reached its caller to the release of
// its upstream, and tells stewards.
func (d *Dispatcher) recordOrigin(r *request) {
	if r.Route.Kind != registrar.Streaming || !r.Route.Repeatable() {
		return
	}
	if r.upstream.outdated {
		r.release = unknownRelease
		return
	}
	r.release = r.upstream.info.Release
	o := tracker.Origin{Stream: r.stream(), Release: r.release}
	d.streams.Record(d.now, o)
	if recorders := d.recordersOf(r, recorderCount); len(recorders) > 0 {
		d.emit(RecordStream{Addresses: recorders, Origin: o})
	}
}

// recordersOf returns the addresses of the runners whose stewards know the origin of a
// request's stream: the first n in rendezvous order for the stream among a pool, the first
// in rendezvous order for all streams among the service's runners whose stewards report.
func (d *Dispatcher) recordersOf(r *request, n int) []string {
	addresses := d.reportingAddresses(r.Service)
	pool := firstInRendezvousOrder("recorders", addresses, max(minRecorderPool, len(addresses)/stewardsPerPool))
	return firstInRendezvousOrder(string(r.stream()), pool, n)
}

// reportingAddresses returns the addresses of a service's runners whose stewards report.
func (d *Dispatcher) reportingAddresses(service registrar.ServiceName) []string {
	var addresses []string
	for _, u := range d.upstreamsByService[service] {
		if u.reported && d.now-u.reportedAt < reportTimeout {
			addresses = append(addresses, u.info.Address)
		}
	}
	return addresses
}

// firstInRendezvousOrder returns the n addresses with the highest scores for a key.
func firstInRendezvousOrder(key string, addresses []string, n int) []string {
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(placer.Score(key, b), placer.Score(key, a)), cmp.Compare(a, b))
	})
	return addresses[:min(n, len(addresses))]
}

// bindToOrigin binds a request that resumes a stream to the release that began it, and
// reports whether the caller is to admit it. Otherwise the request waits for the end of a
// search, or endSearch has admitted or refused it already.
func (d *Dispatcher) bindToOrigin(r *request) bool {
	if !r.Resumed || r.Route.Kind != registrar.Streaming {
		return true
	}
	if release, ok := d.streams.Release(r.stream()); ok {
		r.release = release
		return true
	}
	r.search.until = min(d.now+reporterTimeout, r.Deadline-answerMargin)
	if !d.hasStewards(r.Service) {
		d.readList(r)
		return false
	}
	d.askForOrigin(r)
	return false
}

// readList asks for the list, since a gateway that was cut off may not have seen yet which
// releases of the service have joined.
func (d *Dispatcher) readList(r *request) {
	if !d.releasesOf(r.Service).Complete(d.now) {
		d.endSearch(r)
		return
	}
	d.emit(ReadList{})
}

// handleListConfirmed ends the searches of requests that came before the list was read.
func (d *Dispatcher) handleListConfirmed(at time.Duration) {
	d.listConfirmedAt = max(d.listConfirmedAt, at)
	for _, r := range d.requestsByID() {
		if r.search.until > 0 && !d.hasStewards(r.Service) && r.arrivedAt <= d.listConfirmedAt {
			d.endSearch(r)
		}
	}
}

// askForOrigin asks stewards for the release that began the stream of a request.
func (d *Dispatcher) askForOrigin(r *request) {
	r.search.askedAt = d.now
	recorders := d.recordersOf(r, askedRecorders)
	if len(recorders) == 0 {
		return
	}
	if r.search.asks == 0 {
		r.search.until = min(r.search.until, d.now+originTimeout)
	}
	r.search.asks++
	r.search.asked, r.search.absent = len(recorders), 0
	d.emit(FindStream{Addresses: recorders, Stream: r.stream()})
}

// continueSearch asks once more, or ends the search when its time is over.
func (d *Dispatcher) continueSearch(r *request) {
	switch {
	case d.now >= r.search.until:
		d.endSearch(r)
	case d.hasStewards(r.Service) && d.now >= r.search.askedAt+originRetryPeriod:
		d.askForOrigin(r)
	}
}

// releasesOf returns the releases of a service's upstreams.
func (d *Dispatcher) releasesOf(service registrar.ServiceName) *tracker.Releases {
	if d.releases[service] == nil {
		d.releases[service] = tracker.NewReleases()
	}
	return d.releases[service]
}

// hasStewards reports whether the upstreams of a service have stewards. Those of others have
// nobody who tells what this gateway has not seen.
func (d *Dispatcher) hasStewards(service registrar.ServiceName) bool {
	return d.configuration != nil && d.configuration.Services[service].Engine != nil
}

// endSearch sends a request whose origin is unknown to the only release that may have
// begun its stream. It refuses the request if there are several, or if there may be: a
// gateway that has just started, or is cut off, does not see all of them.
func (d *Dispatcher) endSearch(r *request) {
	known := d.releasesOf(r.Service)
	releases, certain := known.Recent(d.now), r.search.answered
	if !d.hasStewards(r.Service) {
		certain = known.Complete(d.now) && r.arrivedAt <= d.listConfirmedAt
	}
	r.search = originSearch{}
	if len(releases) > 1 || !certain {
		r.lastCause = "the release that began the stream is unknown"
		d.refuse(r, classifier.Orphaned, orphanRetryAfter)
		return
	}
	if len(releases) == 1 {
		r.release = releases[0]
	}
	d.admit(r)
}

// handleStreamFound goes on with the requests that wait for the origin of a stream.
func (d *Dispatcher) handleStreamFound(o tracker.Origin) {
	d.streams.Record(d.now, o)
	for _, r := range d.requestsByID() {
		if r.search.until > 0 && r.stream() == o.Stream {
			r.search, r.release = originSearch{}, o.Release
			d.admit(r)
		}
	}
}

// handleStreamUnknown records the releases that a steward has seen. It ends the search when
// all stewards that were asked don't know the stream, since one that has just started may not
// have seen all releases. The first round does not count, since the message about the stream's
// beginning may still be under way, unless the caller does not name the stream.
func (d *Dispatcher) handleStreamUnknown(absence tracker.Absence) {
	for _, r := range d.requestsByID() {
		if r.search.until == 0 || r.stream() != absence.Stream {
			continue
		}
		d.releasesOf(r.Service).See(d.now, absence.Releases)
		r.search.answered = true
		r.search.absent++
		if r.search.absent >= r.search.asked && (r.search.asks > 1 || r.Resumes == "") {
			d.endSearch(r)
		}
	}
}
