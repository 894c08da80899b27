package tracker

import (
	"time"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Limits of the questions that a Keeper remembers.
const (
	questionMemory = 250 * time.Millisecond // a gateway repeats its question more often
	maxQuestions   = 10_000
)

// Keeper is what a steward knows of the streams of its service, and of services whose
// upstreams have no stewards. Its answers depend only on what was true when a question came or
// later: a steward that was cut off, or stood still, may not have seen yet which releases have
// joined. It is not safe for concurrent use.
type Keeper struct {
	Streams  *Tracker
	Releases Services

	split           map[registrar.ServiceName]bool // of SetSplit
	stored          bool                           // the origins in the store have been read
	storedAt        time.Duration                  // as of which they are known
	listConfirmedAt time.Duration                  // as of which the list is known
	questions       map[questionKey]question
}

// questionKey identifies a question: which release of a service began a stream.
type questionKey struct {
	service registrar.ServiceName
	stream  StreamID
}

// question is a question about a stream that is not known.
type question struct {
	askedAt, repeatedAt time.Duration
}

// NewKeeper returns a keeper that knows nothing.
func NewKeeper() *Keeper {
	return &Keeper{Streams: New(), Releases: Services{}, questions: map[questionKey]question{}}
}

// ConfirmList records that Releases tells the list as it was at a time or later.
func (k *Keeper) ConfirmList(at time.Duration) {
	k.listConfirmedAt = max(k.listConfirmedAt, at)
}

// SetSplit tells the services that share a route of streams with other services, so that not
// even a single release of each tells where a stream began.
func (k *Keeper) SetSplit(services map[registrar.ServiceName]bool) {
	k.split = services
}

// Ambiguous reports whether it takes the origin of a service's stream to know where it goes on.
func (k *Keeper) Ambiguous(now time.Duration, service registrar.ServiceName) bool {
	return k.split[service] || len(k.Releases.Of(service).Recent(now)) > 1
}

// Load records origins that the store has. Together with those of earlier calls they are all
// that it had at a time or later.
func (k *Keeper) Load(now, at time.Duration, origins []Origin) {
	k.stored, k.storedAt = true, max(k.storedAt, at)
	for _, o := range origins {
		k.Streams.Record(now, o)
		k.Releases.Of(o.Service).See(now, []registrar.Release{o.Release})
	}
}

// Answer is the answer to a question about a stream. If neither Origin nor Absence is set,
// the question is to be repeated after the sources in question have been read.
type Answer struct {
	Origin     *Origin
	Absence    *Absence
	ReadList   bool // the list of upstreams must be read
	ReadStored bool // the origins in the store must be read
}

// Ask answers the question which release began a stream. If that is not known, it answers for
// one of the services that may have begun it. Between several releases or services, an earlier read of the store does not prove that a stream is unknown: the stewards
// that were told of it may have written it since and be gone. The store is read anew only when
// the question is repeated, since a steward that knows the stream answers the first one.
func (k *Keeper) Ask(now time.Duration, service registrar.ServiceName, id StreamID) Answer {
	key := questionKey{service, id}
	if o, known := k.Streams.Origin(id); known {
		delete(k.questions, key)
		return Answer{Origin: &o}
	}
	releases := k.Releases.Of(service)
	q, repeated := k.remember(now, key)
	a := Answer{ReadList: k.listConfirmedAt < q.askedAt}
	missing := false
	switch {
	case releases.Only(now) && !k.split[service]: // whatever the store holds
	case !k.stored:
		missing, a.ReadStored = true, true
	case k.storedAt < q.askedAt && k.Ambiguous(now, service):
		missing, a.ReadStored = true, repeated
	}
	if !a.ReadList && !missing {
		a.Absence = &Absence{Stream: id, Releases: releases.Recent(now), Service: service}
	}
	return a
}

// remember returns a question about an unknown stream, and whether it is repeated.
func (k *Keeper) remember(now time.Duration, key questionKey) (question, bool) {
	q, repeated := k.questions[key]
	if repeated && now-q.repeatedAt < questionMemory {
		q.repeatedAt = now
		k.questions[key] = q
		return q, true
	}
	if len(k.questions) >= maxQuestions {
		clear(k.questions)
	}
	for other, q := range k.questions {
		if now-q.repeatedAt >= questionMemory {
			delete(k.questions, other)
		}
	}
	q = question{askedAt: now, repeatedAt: now}
	k.questions[key] = q
	return q, false
}
