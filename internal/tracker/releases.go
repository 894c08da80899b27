package tracker

import (
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// releaseMemory is how long after its last listing a release may have begun streams that
// are still to be resumed.
const releaseMemory = time.Minute

// Releases tells which releases of one service may have begun a stream. It is not safe for
// concurrent use.
type Releases struct {
	listed []registrar.Release
	since  time.Duration                       // of the first listing of an upstream
	known  bool                                // since is set
	seenAt map[registrar.Release]time.Duration // when each was last listed or seen, if it is not listed now
}

// NewReleases returns a Releases that knows none.
func NewReleases() *Releases {
	return &Releases{seenAt: map[registrar.Release]time.Duration{}}
}

// List replaces the releases of the upstreams that are listed.
func (r *Releases) List(now time.Duration, upstreams []*registrar.Upstream) {
	for _, release := range r.listed {
		r.seenAt[release] = now
	}
	if !r.known && len(upstreams) > 0 {
		r.since, r.known = now, true
	}
	r.listed = r.listed[:0]
	for _, u := range upstreams {
		if !slices.Contains(r.listed, u.Release) {
			r.listed = append(r.listed, u.Release)
		}
	}
}

// See records that releases are known to have begun streams lately.
func (r *Releases) See(now time.Duration, releases []registrar.Release) {
	for _, release := range releases {
		r.seenAt[release] = now
	}
}

// Complete reports whether upstreams have been listed for so long that Recent tells all
// releases. A process that has started lately has not seen those that had left before.
func (r *Releases) Complete(now time.Duration) bool {
	return r.known && now-r.since >= releaseMemory
}

// Only reports whether one release alone may have begun streams.
func (r *Releases) Only(now time.Duration) bool {
	return r.Complete(now) && len(r.Recent(now)) == 1
}

// Recent returns the releases that are listed or were within releaseMemory.
func (r *Releases) Recent(now time.Duration) []registrar.Release {
	recent := slices.Clone(r.listed)
	for release, seenAt := range r.seenAt {
		if now-seenAt < releaseMemory && !slices.Contains(recent, release) {
			recent = append(recent, release)
		}
	}
	return recent
}

// Services tells the releases of each service. It is not safe for concurrent use.
type Services map[registrar.ServiceName]*Releases

// Of returns the releases of a service.
func (s Services) Of(service registrar.ServiceName) *Releases {
	if s[service] == nil {
		s[service] = NewReleases()
	}
	return s[service]
}

// List replaces the releases of the upstreams that are listed, of all services.
func (s Services) List(now time.Duration, upstreams []*registrar.Upstream) {
	byService := map[registrar.ServiceName][]*registrar.Upstream{}
	for _, u := range upstreams {
		byService[u.Service] = append(byService[u.Service], u)
		s.Of(u.Service)
	}
	for service, releases := range s {
		releases.List(now, byService[service])
	}
}
