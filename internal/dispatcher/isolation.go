package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/egretwall/egretwall/internal/classifier"
	"github.com/egretwall/egretwall/internal/isolator"
	"github.com/egretwall/egretwall/internal/registrar"
)

// Timing and limits of what a gateway tells analysts of crashes.
const (
	crashLatency     = 250 * time.Millisecond // from the beginning of an answer until it can't have crashed the upstream any more
	crashConfirmTime = 3 * time.Second        // for an upstream's end to be known after its sends were broken off
	crashRepeats     = 3                      // reports of each crash, in case datagrams are lost
	crashRepeatDelay = 100 * time.Millisecond // between them
	answeredMemory   = 30 * time.Second       // for which a part counts as answered
	maxAnswered      = 20_000                 // parts that are remembered
	analystCount     = 8                      // stewards that crashes are reported to, some of which may be gone or cut off
	isolatedDelay    = time.Minute            // Retry-After of requests with an isolated part
)

// breakage is what this gateway knows of sends to one incarnation of an upstream that were
// broken off, perhaps by a crash.
type breakage struct {
	incarnation int64
	service     registrar.ServiceName
	since       time.Duration
	suspects    map[isolator.Trait]bool
	reports     int // since suspects last grew
	reportedAt  time.Duration
}

// recordBreakage notes a send that its upstream broke off. Unless the answer had been
// written for a while, the parts of the request are suspects if the upstream has crashed.
func (d *Dispatcher) recordBreakage(r *request, u *upstream) {
	if r.answerBegan && d.now-r.beganAt >= crashLatency {
		return
	}
	b := d.breakages[u.info.ID]
	if b == nil || b.incarnation != u.info.Incarnation {
		b = &breakage{incarnation: u.info.Incarnation, service: r.Service, since: d.now, suspects: map[isolator.Trait]bool{}}
		d.breakages[u.info.ID] = b
	}
	for _, p := range r.Traits {
		if !b.suspects[p] {
			b.suspects[p], b.reports = true, 0
		}
	}
}

// partsOf returns those of the traits that are parts of prompts.
func partsOf(traits []isolator.Trait) []isolator.Trait {
	var parts []isolator.Trait
	for _, t := range traits {
		if t.Kind() == isolator.PartTrait {
			parts = append(parts, t)
		}
	}
	return parts
}

// recordAnswered notes that prompts with the parts of a request are answered.
func (d *Dispatcher) recordAnswered(r *request, completed bool) {
	parts := partsOf(r.Traits)
	if len(parts) == 0 || !r.answerBegan && !completed || !completed && d.now-r.beganAt < crashLatency {
		return
	}
	if len(d.answeredAt) >= maxAnswered {
		maps.DeleteFunc(d.answeredAt, func(_ isolator.Trait, at time.Duration) bool { return d.now-at >= answeredMemory })
	}
	for _, p := range parts {
		if _, known := d.answeredAt[p]; known || len(d.answeredAt) < maxAnswered {
			d.answeredAt[p] = d.now
		}
	}
}

// Answered returns those of the parts to which this gateway has seen an answer lately, and
// which can't be what crashes upstreams.
func (d *Dispatcher) Answered(now time.Duration, parts []isolator.Trait) []isolator.Trait {
	being := map[isolator.Trait]bool{}
	for _, r := range d.requests {
		if r.upstream != nil && r.answerBegan && now-r.beganAt >= crashLatency {
			for _, p := range r.Traits {
				being[p] = true
			}
		}
	}
	var answered []isolator.Trait
	for _, p := range parts {
		at, ok := d.answeredAt[p]
		if being[p] || ok && now-at < answeredMemory {
			answered = append(answered, p)
		}
	}
	return answered
}

// reportCrashes tells analysts of the upstreams that have ended since their sends were
// broken off.
func (d *Dispatcher) reportCrashes() {
	for _, id := range slices.Sorted(maps.Keys(d.breakages)) {
		b := d.breakages[id]
		if d.now-b.since >= crashConfirmTime {
			delete(d.breakages, id)
			continue
		}
		if b.reports >= crashRepeats || b.reports > 0 && d.now-b.reportedAt < crashRepeatDelay || !d.hasEnded(id, b) {
			continue
		}
		if b.reports == 0 {
			d.logCrash(id, b)
		}
		b.reports++
		b.reportedAt = d.now
		parts := partsOf(slices.Sorted(maps.Keys(b.suspects)))
		if analysts := firstInRendezvousOrder("crashes", d.reportingAddresses(b.service), analystCount); len(analysts) > 0 && len(parts) > 0 {
			crash := isolator.Crash{Upstream: id, Incarnation: b.incarnation, Suspects: parts}
			d.emit(ReportCrash{Addresses: analysts, Crash: crash})
		}
	}
}

// logCrash logs that an upstream has ended since its sends were broken off, and how many
// analysts are told so.
func (d *Dispatcher) logCrash(id registrar.UpstreamID, b *breakage) {
	analysts := min(analystCount, len(d.reportingAddresses(b.service)))
	d.emit(Log{Event: UpstreamCrashed, Upstream: id, Traits: slices.Sorted(maps.Keys(b.suspects)), Analysts: analysts, Waiting: d.waitingCount})
}

// hasEnded reports whether an incarnation of an upstream is known to have ended.
func (d *Dispatcher) hasEnded(id registrar.UpstreamID, b *breakage) bool {
	u := d.upstreams[id]
	return u == nil || u.info.Incarnation != b.incarnation || u.connectionRefused || u.replaced || u.reported && u.report.Unreachable
}

// handleVerdicts isolates parts: requests with them that wait, or whose answers have not
// begun, are ended.
func (d *Dispatcher) handleVerdicts(verdicts []isolator.Verdict) {
	added := d.verdicts.Learn(d.now, verdicts)
	for _, p := range added {
		d.emit(Log{Event: "prompt part isolated", Traits: []isolator.Trait{p}, Waiting: d.waitingCount})
	}
	if len(added) == 0 {
		return
	}
	for _, r := range d.requestsByID() {
		if !d.isolates(r) {
			continue
		}
		switch {
		case r.upstream == nil:
			d.refuseIsolated(r)
		case !r.answerBegan:
			r.lastCause = "a part of the prompt crashes upstreams"
			d.emit(Abort{r.ID, classifier.Lost})
			d.failAfterRun(r, classifier.Lost)
		}
	}
}

// isolates reports whether a part of the request's prompt is isolated.
func (d *Dispatcher) isolates(r *request) bool {
	_, ok := d.verdicts.Isolated(d.now, r.Traits)
	return ok
}

// refuseIsolated refuses a request that is under way at no upstream.
func (d *Dispatcher) refuseIsolated(r *request) {
	d.Counters.Isolated++
	d.refuse(r, classifier.Isolated, isolatedDelay)
}
