package dispatcher

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

// streamFleet is several gateways and stewards before runners of two releases. Datagrams
// may be lost, and gateways and stewards restart without memory.
type streamFleet struct {
	rt       *rapid.T
	now      time.Duration
	lastID   RequestID
	gateways []*Dispatcher
	stewards map[string]*tracker.Tracker // by the address of their runner
	runners  []*registrar.Upstream
	streams  map[RequestID]tracker.StreamID
	origins  map[tracker.StreamID]registrar.Release // of streams that have begun
	open     []openStream
}

// openStream is a send under way.
type openStream struct {
	gateway int
	send    Send
}

func newStreamFleet(rt *rapid.T) *streamFleet {
	f := &streamFleet{rt: rt, stewards: map[string]*tracker.Tracker{}, streams: map[RequestID]tracker.StreamID{}, origins: map[tracker.StreamID]registrar.Release{}}
	for i := range 6 {
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		f.runners = append(f.runners, &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: runnerService, Address: address, Domain: "a", State: registrar.Ready, Slots: 64,
			Release: registrar.Release(fmt.Sprint("v", i%2)), Residents: []registrar.ResidentModel{{Model: "m"}},
		})
		f.stewards[address] = tracker.New()
	}
	for range 3 {
		f.gateways = append(f.gateways, nil)
		f.restart(len(f.gateways) - 1)
	}
	return f
}

func (f *streamFleet) restart(g int) {
	d := New(Config{Domain: "a", Seed: 5, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}})
	engine := &registrar.Engine{Slots: 64, Models: map[registrar.ModelName]registrar.Model{"m": {Name: "m"}}}
	d.Reduce(f.now, Configured{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{runnerService: {Name: runnerService, Engine: engine}}}})
	d.Reduce(f.now, UpstreamsListed{f.runners})
	f.gateways[g] = d
	f.open = slices.DeleteFunc(f.open, func(o openStream) bool { return o.gateway == g })
}

// reduce passes an event to a gateway and carries out the effects. It fails if a stream is
// sent to another release than the one that began it.
func (f *streamFleet) reduce(g int, e Event) error {
	for _, effect := range slices.Clone(f.gateways[g].Reduce(f.now, e)) {
		switch ef := effect.(type) {
		case Send:
			if origin, ok := f.origins[f.streams[ef.ID]]; ok && f.releaseOf(ef) != origin {
				return errors.New("stream sent to another release")
			}
			f.open = append(f.open, openStream{g, ef})
		case RecordStream:
			for _, address := range ef.Addresses {
				if rapid.IntRange(0, 4).Draw(f.rt, "delivered") > 0 {
					f.stewards[address].Record(f.now, ef.Origin)
				}
			}
		case FindStream:
			for _, address := range ef.Addresses {
				if rapid.IntRange(0, 4).Draw(f.rt, "answered") == 0 {
					continue
				}
				var answer Event = StreamUnknown{tracker.Absence{Stream: ef.Stream, Releases: []registrar.Release{"v0", "v1"}}}
				if release, ok := f.stewards[address].Release(ef.Stream); ok {
					answer = StreamFound{tracker.Origin{Stream: ef.Stream, Release: release}}
				}
				if err := f.reduce(g, answer); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (f *streamFleet) releaseOf(s Send) registrar.Release {
	for _, u := range f.runners {
		if u.ID == s.Upstream {
			return u.Release
		}
	}
	return ""
}

// runStreams plays a random history. A forgetful fleet takes resumptions for new streams.
func runStreams(rt *rapid.T, forgetful bool) error {
	f := newStreamFleet(rt)
	for range 60 {
		f.now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond
		g := rapid.IntRange(0, len(f.gateways)-1).Draw(rt, "gateway")
		var err error
		switch step := rapid.IntRange(0, 11).Draw(rt, "step"); {
		case step == 0:
			f.restart(g)
		case step == 1:
			f.stewards[f.runners[rapid.IntRange(0, len(f.runners)-1).Draw(rt, "steward")].Address] = tracker.New()
		case step <= 3:
			for _, u := range f.runners {
				err = errors.Join(err, f.reduce(g, Reported{Report{Address: u.Address, Residents: u.Residents, Gateways: 3}}))
			}
		case step == 4 && len(f.open) > 0:
			o := f.open[0]
			f.open = f.open[1:]
			if stream := f.streams[o.send.ID]; f.origins[stream] == "" {
				f.origins[stream] = f.releaseOf(o.send)
			}
			err = errors.Join(f.reduce(o.gateway, AnswerBegan{ID: o.send.ID, Try: o.send.Try}),
				f.reduce(o.gateway, SendEnded{ID: o.send.ID, Try: o.send.Try, Outcome: Interrupted}))
		case step <= 6 && len(f.origins) > 0:
			stream := tracker.StreamID(fmt.Sprint("s", rapid.IntRange(1, int(f.lastID)).Draw(rt, "stream")))
			if f.origins[stream] != "" {
				err = f.arrive(g, stream, !forgetful)
			}
		case step <= 8:
			err = f.reduce(g, Tick{})
		default:
			err = f.arrive(g, "", false)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// arrive submits a request that begins a stream, or goes on with the given one.
func (f *streamFleet) arrive(g int, stream tracker.StreamID, resumed bool) error {
	f.lastID++
	r := Request{
		ID: f.lastID, AttemptID: fmt.Sprint("s", f.lastID), Route: route(registrar.Streaming, 3), Service: runnerService, Model: "m",
		Deadline: f.now + 4*time.Second, Resumed: resumed, Resumes: string(stream),
	}
	if stream == "" {
		stream = tracker.StreamID(r.AttemptID)
	}
	f.streams[r.ID] = stream
	return f.reduce(g, Arrived{r})
}

func TestStreamsStayAtTheirReleaseInAllHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { require.NoError(rt, runStreams(rt, false)) })
}

func TestMutantsThatForgetTheOriginOfStreamsAreCaught(t *testing.T) {
	caught := false
	rapid.Check(t, func(rt *rapid.T) { caught = caught || runStreams(rt, true) != nil })
	require.True(t, caught)
}
