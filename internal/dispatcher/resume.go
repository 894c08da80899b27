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

// Timing and numbers of the search for the origin of a stream.
const (
	originTimeout     = 400 * time.Millisecond // for stewards to answer, which may have to read the list first
	reporterTimeout   = time.Second            // for stewards to report, which a gateway that has just started must wait for
	originRetryPeriod = 60 * time.Millisecond  // before they are asked again, in case the datagram or its answer was lost
	orphanRetryAfter  = time.Second            // of a stream whose origin is unknown
	recorderCount     = 2                      // stewards that are told of each stream
	askedRecorders    = 3                      // stewards that are asked; a recorder may have gone since
	firstReportTime   = 300 * time.Millisecond // until stewards that hear of this gateway have reported
	silentAsks        = 2                      // without an answer, after which stewards may be gone; one that has just started answers the second
	minRecorderPool   = 4                      // least number of stewards among which recorders are chosen
	stewardsPerPool   = 24                     // one of so many is in that pool; few, since each of them writes to the store
)

// originSearch is the search for the origin of the stream that a request resumes: the service
// and its release that began it.
type originSearch struct {
	until    time.Duration // zero without a search
	askedAt  time.Duration
	asks     int                     // how often stewards have been asked
	asked    int                     // questions in the last round, one for each steward and service
	absent   int                     // of these, those whose answer is that the stream is not known
	answered []registrar.ServiceName // of which a steward has told the releases that may have begun the stream
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
		return tracker.NewStreamID(r.Resumes)
	}
	return tracker.NewStreamID(r.AttemptID)
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
	o := tracker.Origin{Stream: r.stream(), Release: r.release, Service: r.Service}
	d.streams.Record(d.now, o)
	if recorders, _ := d.recordersOf(r, recorderCount); len(recorders) > 0 {
		d.emit(RecordStream{Addresses: recorders, Origin: o})
	} else {
		d.emit(SaveStream{Origin: o})
	}
}

// recordersOf returns the addresses of the runners whose stewards know the origin of a
// request's stream: the first n in rendezvous order for the stream among a pool, the first
// in rendezvous order for all streams among the runners whose stewards report. Others are
// the first n beyond the pool. The runners are those of all services, as a request that
// resumes a stream does not tell which one began it.
func (d *Dispatcher) recordersOf(r *request, n int) (recorders, others []string) {
	addresses := d.allReportingAddresses()
	poolSize := max(minRecorderPool, len(addresses)/stewardsPerPool)
	pool := firstInRendezvousOrder("recorders", addresses, poolSize)
	others = firstInRendezvousOrder(string(r.stream()), addresses[len(pool):], n)
	return firstInRendezvousOrder(string(r.stream()), pool, n), others
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

// allReportingAddresses returns the addresses of the runners of all services whose stewards
// report.
func (d *Dispatcher) allReportingAddresses() []string {
	var addresses []string
	for service := range d.upstreamsByService {
		addresses = append(addresses, d.reportingAddresses(service)...)
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

// resumesStream reports whether a request may only run where its stream began.
func (r *request) resumesStream() bool {
	return r.Resumed && r.Route.Kind == registrar.Streaming
}

// services returns the services that may run a request. One of them was drawn for it.
func (r *request) services() []registrar.ServiceName {
	services := []registrar.ServiceName{r.Service}
	for _, destination := range r.Route.Destinations() {
		if destination.Service != "" && !slices.Contains(services, destination.Service) {
			services = append(services, destination.Service)
		}
	}
	return services
}

// resume sends a request that resumes a stream to the origin of the stream, or begins a search
// for it.
func (d *Dispatcher) resume(r *request) {
	if origin, ok := d.streams.Origin(r.stream()); ok {
		d.admitAt(r, origin)
		return
	}
	r.search.until = min(d.now+reporterTimeout, r.Deadline-answerMargin)
	if !d.haveStewards(r.services()) {
		// A gateway that was cut off may not have seen yet which releases have joined.
		d.emit(ReadList{})
	}
	d.lookUp(r)
}

// admitAt admits a request that resumes a stream at the stream's origin. It refuses the request
// if that service does not run the requests of the route any more.
func (d *Dispatcher) admitAt(r *request, origin tracker.Origin) {
	r.search = originSearch{}
	if origin.Service != "" && origin.Service != r.Service {
		if !slices.Contains(r.services(), origin.Service) {
			r.lastCause = "the service that began the stream does not run the route any more"
			d.refuse(r, classifier.Orphaned, orphanRetryAfter)
			return
		}
		r.Service = origin.Service
		r.stats = d.statsOf(r)
	}
	r.release = origin.Release
	if !d.refuseIfTooLarge(r) {
		d.admit(r)
	}
}

// listSuffices reports whether only one release may have begun the stream of a request if the
// list, read anew, shows no other one.
func (d *Dispatcher) listSuffices(r *request) bool {
	services := r.services()
	return len(services) == 1 && !d.haveStewards(services) && d.releases.Of(r.Service).Only(d.now)
}

// handleListConfirmed ends the searches for which the list suffices and that began before it
// was read.
func (d *Dispatcher) handleListConfirmed(at time.Duration) {
	d.listConfirmedAt = max(d.listConfirmedAt, at)
	for _, r := range d.requestsByID() {
		if r.search.until > 0 && d.listSuffices(r) && r.arrivedAt <= d.listConfirmedAt {
			d.endSearch(r)
		}
	}
}

// lookUp asks stewards for the origin of the stream of a request, and reads the store if none
// reports or none answers.
func (d *Dispatcher) lookUp(r *request) {
	if d.listSuffices(r) {
		return
	}
	r.search.askedAt = d.now
	recorders, others := d.recordersOf(r, askedRecorders)
	if len(recorders) == 0 {
		if !d.expectsStewards() || d.now-r.arrivedAt >= firstReportTime {
			d.readStreams(r)
		}
		return
	}
	if r.search.asks == 0 {
		r.search.until = min(r.search.until, d.now+originTimeout)
	}
	if r.search.asks >= silentAsks && len(r.search.answered) == 0 {
		recorders = slices.Concat(recorders, others)
		d.readStreams(r)
	}
	r.search.asks++
	services := r.services()
	r.search.asked, r.search.absent = len(recorders)*len(services), 0
	for _, service := range services {
		d.emit(FindStream{Addresses: recorders, Service: service, Stream: r.stream()})
	}
}

// readStreams reads the origins in the store unless that was done since a request arrived.
func (d *Dispatcher) readStreams(r *request) {
	if d.streamsReadAt < r.arrivedAt {
		d.emit(ReadStreams{})
	}
}

// handleStreamsRead goes on with the requests whose streams have been read, and ends the
// searches that nobody else can answer.
func (d *Dispatcher) handleStreamsRead(ev StreamsRead) {
	d.streamsReadAt = max(d.streamsReadAt, ev.At)
	for _, o := range ev.Origins {
		d.streams.Record(d.now, o)
	}
	for _, r := range d.requestsByID() {
		if r.search.until == 0 {
			continue
		}
		if origin, ok := d.streams.Origin(r.stream()); ok {
			d.admitAt(r, origin)
		} else if !d.expectsStewards() && !d.listSuffices(r) && r.arrivedAt <= d.streamsReadAt {
			d.endSearch(r)
		}
	}
}

// continueSearch asks once more, or ends the search when its time is over.
func (d *Dispatcher) continueSearch(r *request) {
	switch {
	case d.now >= r.search.until:
		d.endSearch(r)
	case d.now >= r.search.askedAt+originRetryPeriod:
		d.lookUp(r)
	}
}

// haveStewards reports whether the upstreams of all these services have stewards.
func (d *Dispatcher) haveStewards(services []registrar.ServiceName) bool {
	return d.configuration != nil && !slices.ContainsFunc(services, func(service registrar.ServiceName) bool {
		return d.configuration.Services[service].Engine == nil
	})
}

// expectsStewards reports whether the upstreams of any service have stewards. Otherwise nobody
// tells what this gateway has not seen, and what only the store remembers.
func (d *Dispatcher) expectsStewards() bool {
	if d.configuration == nil {
		return false
	}
	for _, service := range d.configuration.Services {
		if service.Engine != nil {
			return true
		}
	}
	return false
}

// endSearch sends a request whose origin is unknown to the only release that may have
// begun its stream. It refuses the request if there are several, or if there may be: a
// gateway that has just started, or is cut off, does not see all of them.
func (d *Dispatcher) endSearch(r *request) {
	var origins []tracker.Origin
	certain := d.listSuffices(r) && r.arrivedAt <= d.listConfirmedAt
	answered := 0
	for _, service := range r.services() {
		for _, release := range d.releases.Of(service).Recent(d.now) {
			origins = append(origins, tracker.Origin{Release: release, Service: service})
		}
		if slices.Contains(r.search.answered, service) {
			answered++
		}
	}
	certain = certain || answered == len(r.services())
	r.search = originSearch{}
	switch {
	case len(origins) > 1 || !certain:
		r.lastCause = "the release that began the stream is unknown"
		d.refuse(r, classifier.Orphaned, orphanRetryAfter)
	case len(origins) == 1:
		d.admitAt(r, origins[0])
	default:
		d.admit(r)
	}
}

// handleStreamFound goes on with the requests that wait for the origin of a stream.
func (d *Dispatcher) handleStreamFound(o tracker.Origin) {
	d.streams.Record(d.now, o)
	for _, r := range d.requestsByID() {
		if r.search.until > 0 && r.stream() == o.Stream {
			d.admitAt(r, o)
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
		service := absence.Service
		if service == "" {
			service = r.Service
		}
		d.releases.Of(service).See(d.now, absence.Releases)
		if !slices.Contains(r.search.answered, service) {
			r.search.answered = append(r.search.answered, service)
		}
		r.search.absent++
		if r.search.absent >= r.search.asked && (r.search.asks > 1 || r.Resumes == "") {
			d.endSearch(r)
		}
	}
}
