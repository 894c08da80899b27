package faker

import (
	"sync"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// WeightStoreConfig describes the weight store.
type WeightStoreConfig struct {
	Limits          configurator.StoreLimits
	BytesPerSecond  float64       // bytes a second of one load at full speed
	AdapterLoadTime time.Duration // load time of an adapter at full speed
}

// WeightStore is the weight store: it refuses loads above its rate and slows down
// when more run at once than its limits say.
type WeightStore struct {
	cfg WeightStoreConfig

	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	active  int
	transit int
}

// NewWeightStore returns an idle store.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	return &WeightStore{cfg: cfg, tokens: 1, filled: time.Now()}
}

// storeBurst is the number of loads that may start at once after a pause.
const storeBurst = 4

// BeginLoad starts a load. It returns the time that the load takes and false when
// the store refuses it; End must follow.
func (s *WeightStore) BeginLoad(b configurator.Bytes, adapter bool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.transit++
		return slowed(s.cfg.AdapterLoadTime, s.transit, s.cfg.Limits.ConcurrentAdapterLoads), true
	}
	now := time.Now()
	s.tokens = min(storeBurst, s.tokens+now.Sub(s.filled).Seconds()*s.cfg.Limits.ModelLoadRate)
	s.filled = now
	if s.tokens < 1 {
		return 0, false
	}
	s.tokens--
	s.active++
	full := time.Duration(float64(b) / s.cfg.BytesPerSecond * float64(time.Second))
	return slowed(full, s.active, s.cfg.Limits.ConcurrentModelLoads), true
}

// slowed stretches a load time in proportion to the excess over a limit.
func slowed(full time.Duration, n, limit int) time.Duration {
	if n <= limit {
		return full
	}
	return time.Duration(float64(full) * float64(n) / float64(limit))
}

// EndLoad finishes a load.
func (s *WeightStore) EndLoad(adapter bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.transit--
		return
	}
	s.active--
}
