package faker

import (
	"net/http"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/lister"
)

// InstanceList is the platform's list of instances; updates become visible after a
// lag.
type InstanceList struct {
	lag time.Duration

	mu      sync.Mutex
	visible map[string]lister.Instance
	pending []pendingUpdate
}

type pendingUpdate struct {
	due      time.Time
	instance lister.Instance
	removed  bool
}

// NewInstanceList returns an empty list whose updates become visible after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{lag: lag, visible: map[string]lister.Instance{}}
}

// Add adds or replaces an instance without the lag.
func (l *InstanceList) Add(i lister.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visible[i.Name] = i
}

// Update replaces an instance, or removes it, after the lag.
func (l *InstanceList) Update(i lister.Instance, removed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingUpdate{time.Now().Add(l.lag), i, removed})
}

// ServeHTTP serves GET /instances: the visible instances as a JSON array.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	for len(l.pending) > 0 && time.Now().After(l.pending[0].due) {
		u := l.pending[0]
		l.pending = l.pending[1:]
		l.visible[u.instance.Name] = u.instance
		if u.removed {
			delete(l.visible, u.instance.Name)
		}
	}
	instances := make([]lister.Instance, 0, len(l.visible))
	for _, i := range l.visible {
		instances = append(instances, i)
	}
	l.mu.Unlock()
	writeJSON(w, instances)
}
