package faker

import (
	"net/http"
	"sync"
	"time"

	"github.com/egretwall/egretwall/internal/lister"
)

// InstanceList is the platform's list of instances; what it shows lags.
type InstanceList struct {
	lag time.Duration

	mu     sync.Mutex
	shown  map[string]lister.Instance
	queued []update
}

type update struct {
	at       time.Time
	instance lister.Instance
	gone     bool
}

// NewInstanceList returns an empty list whose changes show after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{lag: lag, shown: map[string]lister.Instance{}}
}

// Add shows an instance at once.
func (l *InstanceList) Add(i lister.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shown[i.Name] = i
}

// Update shows a change of an instance after the lag.
func (l *InstanceList) Update(i lister.Instance, gone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = append(l.queued, update{time.Now().Add(l.lag), i, gone})
}

// ServeHTTP answers GET /instances.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	for len(l.queued) > 0 && time.Now().After(l.queued[0].at) {
		u := l.queued[0]
		l.queued = l.queued[1:]
		l.shown[u.instance.Name] = u.instance
		if u.gone {
			delete(l.shown, u.instance.Name)
		}
	}
	instances := make([]lister.Instance, 0, len(l.shown))
	for _, i := range l.shown {
		instances = append(instances, i)
	}
	l.mu.Unlock()
	writeJSON(w, instances)
}
