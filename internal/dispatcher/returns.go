package dispatcher

import (
	"time"

	"github.com/egretwall/egretwall/internal/isolator"
)

// returns remembers the requests that were refused lately for want of room. Callers that
// repeat them at once and often would get more of the room than those that wait as they are
// told; until about that time their requests go last among those of the same priority.
type returns struct {
	due     map[isolator.Trait]time.Duration // when each may come back; its most specific trait stands for a request
	sweptAt time.Duration
}

// refuse records that a request with a workspace is refused.
func (t *returns) refuse(now time.Duration, r *request, retryAfter time.Duration) {
	if len(r.Traits) == 0 {
		return
	}
	if t.due == nil {
		t.due = map[isolator.Trait]time.Duration{}
	}
	if len(t.due) >= maxReturns {
		t.sweep(now)
	}
	if len(t.due) < maxReturns {
		t.due[r.Traits[0]] = now + time.Duration(float64(retryAfter)*earlyReturnShare)
	}
}

// early reports whether a request was refused and comes back too early.
func (t *returns) early(now time.Duration, r *request) bool {
	if len(t.due) == 0 || len(r.Traits) == 0 {
		return false
	}
	due, ok := t.due[r.Traits[0]]
	if ok && now >= due {
		delete(t.due, r.Traits[0])
		return false
	}
	return ok
}

// sweep forgets requests that may come back, at most once in returnsSweepPeriod.
func (t *returns) sweep(now time.Duration) {
	if now < t.sweptAt+returnsSweepPeriod {
		return
	}
	t.sweptAt = now
	for trait, due := range t.due {
		if now >= due {
			delete(t.due, trait)
		}
	}
}
