package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

var splitServices = []registrar.ServiceName{"llm-a", "llm-b", "llm-c"}

// splitRoute returns a route of resumable streams that is split over services.
func splitRoute(services ...registrar.ServiceName) *registrar.Route {
	r := route(registrar.Streaming, 2)
	for _, service := range services {
		r.Split = append(r.Split, registrar.WeightedService{Service: service, Weight: 1})
	}
	return r
}

// newSplitHarness lists two runners of each given release of all services, whose stewards report.
func newSplitHarness(t *testing.T, releases ...registrar.Release) *harness {
	h := newHarness(t)
	configuration := &registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{}}
	var all []*registrar.Upstream
	for _, service := range splitServices {
		configuration.Services[service] = registrar.Service{Name: service, Engine: &registrar.Engine{Slots: 64, Models: map[registrar.ModelName]registrar.Model{"m": {Name: "m"}}}}
		for _, release := range releases {
			for range 2 {
				all = append(all, &registrar.Upstream{
					ID: registrar.UpstreamID(fmt.Sprint("u", len(all))), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", len(all)+1), Domain: "a",
					State: registrar.Ready, Slots: 64, Release: release, Residents: []registrar.ResidentModel{{Model: "m"}},
				})
			}
		}
	}
	h.reduce(Configured{configuration})
	h.now = time.Hour
	h.reduce(UpstreamsListed{all})
	h.now += time.Hour
	for _, u := range all {
		h.reduce(Reported{Report{Address: u.Address, Residents: u.Residents, Gateways: 1}})
	}
	return h
}

// arriveSplit submits a request that was drawn for a service, which resumes a stream unless
// that is empty.
func (h *harness) arriveSplit(r *registrar.Route, drawn registrar.ServiceName, resumes string) []Effect {
	h.lastID++
	return h.reduce(Arrived{Request{
		ID: h.lastID, AttemptID: fmt.Sprint("a", h.lastID), Route: r, Service: drawn, Model: "m", Deadline: h.now + 4*time.Second,
		Resumed: resumes != "", Resumes: resumes,
	}})
}

// A stream was resumed at the service that was drawn for the resuming request, where its
// release does not run, or where another release has the same name.
func TestStreamOfASplitRouteGoesOnAtTheServiceThatBeganIt(t *testing.T) {
	for _, releases := range [][]registrar.Release{{"v1", "v2"}, {"v1"}} {
		for _, began := range splitServices {
			for _, drawn := range splitServices {
				h := newSplitHarness(t, releases...)
				first := h.requireSend(h.arriveSplit(splitRoute(splitServices...), began, ""))
				effects := h.reduce(AnswerBegan{ID: first.ID, Try: first.Try})
				record := effects[0].(RecordStream)
				require.Equal(t, began, record.Origin.Service)
				requireOrigin := func(h *harness, effects []Effect) {
					u := h.d.upstreams[h.requireSend(effects).Upstream].info
					require.Equal(t, record.Origin, tracker.Origin{Stream: record.Origin.Stream, Release: u.Release, Service: u.Service})
				}
				requireOrigin(h, h.arriveSplit(splitRoute(splitServices...), drawn, string(record.Origin.Stream)))

				other := newSplitHarness(t, releases...)
				var asked []registrar.ServiceName
				for _, e := range other.arriveSplit(splitRoute(splitServices...), drawn, string(record.Origin.Stream)) {
					ask := e.(FindStream)
					require.Subset(t, ask.Addresses, record.Addresses, "stewards that know the stream")
					asked = append(asked, ask.Service)
				}
				require.ElementsMatch(t, splitServices, asked)
				requireOrigin(other, other.reduce(StreamFound{record.Origin}))
			}
		}
	}
}

// Each service has a single release, but any of them may have begun the stream.
func TestStreamOfUnknownOriginIsRefusedBetweenServices(t *testing.T) {
	h := newSplitHarness(t, "v1")
	h.arriveSplit(splitRoute(splitServices...), "llm-a", "lost")
	h.now += originRetryPeriod
	questions := h.reduce(Tick{})
	var effects []Effect
	for _, q := range questions {
		ask := q.(FindStream)
		for range ask.Addresses {
			require.Empty(t, effects, "not all have answered")
			effects = h.reduce(StreamUnknown{tracker.Absence{Stream: ask.Stream, Service: ask.Service, Releases: []registrar.Release{"v1"}}})
		}
	}
	require.Equal(t, classifier.Orphaned, h.requireFail(effects).Kind)
}

// Only one service has upstreams, so it began the stream whatever was drawn.
func TestStreamOfUnknownOriginGoesOnAtTheOnlyServiceWithUpstreams(t *testing.T) {
	h := newSplitHarness(t, "v1")
	r := splitRoute("llm-a", "empty")
	h.arriveSplit(r, "empty", "lost")
	h.now += originRetryPeriod
	var effects []Effect
	for _, q := range h.reduce(Tick{}) {
		ask := q.(FindStream)
		absence := tracker.Absence{Stream: ask.Stream, Service: ask.Service}
		if ask.Service == "llm-a" {
			absence.Releases = []registrar.Release{"v1"}
		}
		for range ask.Addresses {
			effects = h.reduce(StreamUnknown{absence})
		}
	}
	require.EqualValues(t, "llm-a", h.d.upstreams[h.requireSend(effects).Upstream].info.Service)
}

// A stream went on at another service once its route had been moved there.
func TestStreamIsRefusedWhenItsRouteHasLeftItsService(t *testing.T) {
	h := newSplitHarness(t, "v1")
	h.reduce(StreamFound{tracker.Origin{Stream: "a", Release: "v1", Service: "llm-a"}})
	require.Equal(t, classifier.Orphaned, h.requireFail(h.arriveSplit(splitRoute("llm-b", "llm-c"), "llm-b", "a")).Kind)
	moved := route(registrar.Streaming, 2)
	moved.Service = "llm-b"
	require.Equal(t, classifier.Orphaned, h.requireFail(h.arriveSplit(moved, "llm-b", "a")).Kind)
}
