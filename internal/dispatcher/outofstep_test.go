package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
	"github.com/egretwall/egretwall/internal/tracker"
)

// step tells how much a process has seen of a release whose runners have just joined.
type step string

const (
	inStep      step = "in step"
	behind      step = "behind, reads the list when it must"
	cutFromList step = "behind, does not reach the store"
	justStarted step = "just started"
	cutFromAll  step = "not heard by the others"
)

// releaseFleet is a gateway and the stewards of runners of an older and a newer release. The
// runners of the newer one have just joined.
type releaseFleet struct {
	*harness
	service  registrar.ServiceName
	runners  []*registrar.Upstream // the older ones first
	stewards map[string]*tracker.Keeper
	step     map[string]step // of stewards
}

const oldRunners = 4

func newReleaseFleet(t *testing.T, service registrar.ServiceName, gateway, stewards step) *releaseFleet {
	f := &releaseFleet{harness: newHarness(t), service: service, stewards: map[string]*tracker.Keeper{}, step: map[string]step{}}
	for i := range 2 * oldRunners {
		f.runners = append(f.runners, &registrar.Upstream{
			ID: registrar.UpstreamID(fmt.Sprint("u", i)), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i+1), Domain: "a",
			State: registrar.Ready, Slots: 64, Release: registrar.Release(fmt.Sprint("v", 1+i/oldRunners)), Residents: []registrar.ResidentModel{{Model: "m"}},
		})
	}
	before, after := f.runners[:oldRunners], f.runners
	f.reduce(UpstreamsListed{before})
	for i, u := range after {
		k := tracker.NewKeeper()
		f.stewards[u.Address], f.step[u.Address] = k, stewards
		if i >= oldRunners {
			f.step[u.Address] = justStarted // with its runner
		} else if stewards != justStarted {
			k.Releases.List(0, before)
		}
	}
	f.now = time.Hour
	f.reduce(UpstreamsListed{before})
	f.reduce(ListConfirmed{f.now - time.Second})
	for _, u := range after {
		switch f.step[u.Address] {
		case inStep, justStarted:
			f.readList(u.Address)
		}
	}
	switch gateway {
	case justStarted:
		f.harness = newHarness(t)
		f.now = time.Hour
		fallthrough
	case inStep:
		f.reduce(UpstreamsListed{after})
		f.reduce(ListConfirmed{f.now})
	}
	for _, u := range f.d.upstreams {
		f.reduce(Reported{Report{Address: u.info.Address, Residents: u.info.Residents, Gateways: 1}})
	}
	return f
}

// readList lets a steward read the list and what the store has of streams, which is nothing.
func (f *releaseFleet) readList(steward string) {
	k := f.stewards[steward]
	k.Releases.List(f.now, f.runners)
	k.ConfirmList(f.now)
	k.Load(f.now, f.now, nil)
}

// resume resumes a stream that a newer runner has begun and returns the answer or the send.
func (f *releaseFleet) resume(gateway step, attempt, resumes string) Effect {
	f.lastID++
	effects := f.reduce(Arrived{Request{
		ID: f.lastID, AttemptID: attempt, Route: route(registrar.Streaming, 2), Service: f.service, Model: "m",
		Deadline: f.now + 4*time.Second, Resumed: true, Resumes: resumes,
	}})
	for f.now < 2*time.Hour {
		queue := slices.Clone(effects)
		for len(queue) > 0 {
			var events []Event
			switch e := queue[0].(type) {
			case Send, Fail:
				return e
			case ReadList:
				if gateway != cutFromList {
					events = []Event{UpstreamsListed{f.runners}, ListConfirmed{f.now}}
				}
			case ReadStreams:
				if gateway != cutFromList {
					events = []Event{StreamsRead{At: f.now}}
				}
			case FindStream:
				for _, address := range e.Addresses {
					events = append(events, f.ask(address, e)...)
				}
			}
			queue = queue[1:]
			for _, e := range events {
				queue = append(queue, f.reduce(e)...)
			}
		}
		f.now += TickPeriod
		effects = f.reduce(Tick{})
	}
	return nil
}

// ask returns the answer of a steward, if it gives one.
func (f *releaseFleet) ask(address string, question FindStream) []Event {
	if f.step[address] == cutFromAll {
		return nil
	}
	answer := f.stewards[address].Ask(f.now, question.Service, question.Stream)
	switch {
	case answer.Origin != nil:
		return []Event{StreamFound{*answer.Origin}}
	case answer.Absence != nil:
		return []Event{StreamUnknown{*answer.Absence}}
	case f.step[address] != cutFromList:
		f.readList(address)
	}
	return nil
}

// Streams of a newer release's runners are resumed where those runners are not known yet.
func TestStreamIsNotJoinedWhoeverIsOutOfStep(t *testing.T) {
	steps := []step{inStep, behind, cutFromList, justStarted, cutFromAll}
	for _, service := range []registrar.ServiceName{runnerService, plainService} {
		for _, gateway := range steps[:4] {
			for _, stewards := range steps {
				for _, named := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s, gateway %s, stewards %s, named %v", service, gateway, stewards, named), func(t *testing.T) {
						f := newReleaseFleet(t, service, gateway, stewards)
						origin := "begun"
						if !named {
							origin = ""
						}
						switch e := f.resume(gateway, "again", origin).(type) {
						case Send:
							require.Equal(t, registrar.Release("v2"), f.d.upstreams[e.Upstream].info.Release)
						case Fail:
							require.Equal(t, "orphaned", string(e.Kind))
						default:
							require.FailNow(t, "neither sent nor refused")
						}
					})
				}
			}
		}
	}
}
