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

// streamFleet is several gateways and stewards before runners of two releases, of which the
// newer one joins. Datagrams may be lost, gateways and stewards restart without memory, and any
// of them may be out of step, that is read no list while others go on.
type streamFleet struct {
	rt       *rapid.T
	now      time.Duration
	lastID   RequestID
	gateways []*Dispatcher
	stewards map[string]*tracker.Keeper // by the address of their runner
	runners  []*registrar.Upstream      // all, of which the first listed ones have joined
	listed   int
	streams  map[RequestID]tracker.StreamID
	origins  map[tracker.StreamID]registrar.Release // of streams that have begun
	open     []openStream
	service  registrar.ServiceName
	stored   []tracker.Origin // in the store, by gateways that heard no steward
}

// openStream is a send under way.
type openStream struct {
	gateway int
	send    Send
}

func newStreamFleet(rt *rapid.T, service registrar.ServiceName) *streamFleet {
	f := &streamFleet{rt: rt, service: service, stewards: map[string]*tracker.Keeper{}, listed: 3, streams: map[RequestID]tracker.StreamID{}, origins: map[tracker.StreamID]registrar.Release{}}
	for i := range 6 {
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		f.runners = append(f.runners, &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: service, Address: address, Domain: "a", State: registrar.Ready, Slots: 64,
			Release: registrar.Release(fmt.Sprint("v", i/3)), Residents: []registrar.ResidentModel{{Model: "m"}},
		})
		if service == runnerService {
			f.stewards[address] = tracker.NewKeeper()
		}
	}
	for address := range f.stewards {
		f.restartSteward(address)
	}
	for range 3 {
		f.gateways = append(f.gateways, nil)
		f.restart(len(f.gateways) - 1)
	}
	f.now = time.Hour
	for address := range f.stewards {
		f.readList(address)
	}
	return f
}

func (f *streamFleet) list() []*registrar.Upstream { return f.runners[:f.listed] }

func (f *streamFleet) restartSteward(address string) {
	f.stewards[address] = tracker.NewKeeper()
	f.readList(address)
}

// readList lets a steward read the list and what the store has of streams.
func (f *streamFleet) readList(steward string) {
	k := f.stewards[steward]
	if k == nil {
		return
	}
	k.Releases.List(f.now, f.list())
	k.ConfirmList(f.now)
	k.Load(f.now, f.now, f.stored)
}

func (f *streamFleet) restart(g int) {
	d := New(Config{Domain: "a", Seed: 5, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}})
	service := registrar.Service{Name: f.service}
	if f.service == runnerService {
		service.Engine = &registrar.Engine{Slots: 64, Models: map[registrar.ModelName]registrar.Model{"m": {Name: "m"}}}
	}
	d.Reduce(f.now, Configured{&registrar.Configuration{Services: map[registrar.ServiceName]registrar.Service{f.service: service}}})
	d.Reduce(f.now, UpstreamsListed{f.list()})
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
					f.stewards[address].Streams.Record(f.now, ef.Origin)
				}
			}
		case SaveStream:
			if rapid.IntRange(0, 4).Draw(f.rt, "written") > 0 {
				f.stored = append(f.stored, ef.Origin)
			}
		case ReadList:
			if rapid.Bool().Draw(f.rt, "list read") {
				if err := errors.Join(f.reduce(g, UpstreamsListed{f.list()}), f.reduce(g, ListConfirmed{f.now})); err != nil {
					return err
				}
			}
		case ReadStreams:
			if rapid.Bool().Draw(f.rt, "store read") {
				if err := f.reduce(g, StreamsRead{At: f.now, Origins: f.stored}); err != nil {
					return err
				}
			}
		case FindStream:
			for _, address := range ef.Addresses {
				if rapid.IntRange(0, 4).Draw(f.rt, "answered") == 0 {
					continue
				}
				if err := f.ask(g, address, ef); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// ask lets a steward answer a gateway's question. It may reach the store for that.
func (f *streamFleet) ask(g int, address string, question FindStream) error {
	k := f.stewards[address]
	answer := k.Ask(f.now, question.Service, question.Stream)
	switch {
	case answer.Origin != nil:
		return f.reduce(g, StreamFound{*answer.Origin})
	case answer.Absence != nil:
		return f.reduce(g, StreamUnknown{*answer.Absence})
	case rapid.Bool().Draw(f.rt, "store reached"):
		f.readList(address)
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
func runStreams(rt *rapid.T, service registrar.ServiceName, forgetful bool) error {
	f := newStreamFleet(rt, service)
	for range 100 {
		f.now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond
		g := rapid.IntRange(0, len(f.gateways)-1).Draw(rt, "gateway")
		var err error
		switch step := rapid.IntRange(0, 14).Draw(rt, "step"); {
		case step == 0:
			f.restart(g)
		case step == 1 && len(f.stewards) > 0:
			f.restartSteward(f.runners[rapid.IntRange(0, len(f.runners)-1).Draw(rt, "steward")].Address)
		case step <= 3 && len(f.stewards) > 0:
			for _, u := range f.list() {
				err = errors.Join(err, f.reduce(g, Reported{Report{Address: u.Address, Residents: u.Residents, Gateways: 3}}))
			}
		case step == 4 && len(f.open) > 0:
			i := rapid.IntRange(0, len(f.open)-1).Draw(rt, "send")
			o := f.open[i]
			f.open = slices.Delete(f.open, i, i+1)
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
		case step == 9:
			f.listed = len(f.runners)
		case step == 10:
			err = f.reduce(g, UpstreamsListed{f.list()})
		case step == 11:
			f.readList(f.runners[rapid.IntRange(0, len(f.runners)-1).Draw(rt, "steward")].Address)
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
		ID: f.lastID, AttemptID: fmt.Sprint("s", f.lastID), Route: route(registrar.Streaming, 3), Service: f.service,
		Deadline: f.now + 4*time.Second, Resumed: resumed, Resumes: string(stream),
	}
	if f.service == runnerService {
		r.Model = "m"
	}
	if stream == "" {
		stream = tracker.StreamID(r.AttemptID)
	}
	f.streams[r.ID] = stream
	return f.reduce(g, Arrived{r})
}

func TestStreamsStayAtTheirReleaseInAllHistories(t *testing.T) {
	for _, service := range []registrar.ServiceName{runnerService, plainService} {
		rapid.Check(t, func(rt *rapid.T) { require.NoError(rt, runStreams(rt, service, false)) })
	}
}

func TestMutantsThatForgetTheOriginOfStreamsAreCaught(t *testing.T) {
	for _, service := range []registrar.ServiceName{runnerService, plainService} {
		caught := false
		rapid.Check(t, func(rt *rapid.T) { caught = caught || runStreams(rt, service, true) != nil })
		require.True(t, caught, service)
	}
}
