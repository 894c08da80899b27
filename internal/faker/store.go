package faker

import (
	"sync"
	"time"

	"github.com/egretwall/egretwall/pkg/configurator"
)

// WeightStoreConfig configures a WeightStore.
type WeightStoreConfig struct {
	Limits          configurator.StoreLimits
	BytesPerSecond  float64       // of a model load within the limits
	AdapterLoadTime time.Duration // of an adapter within the limits
}

// WeightStore simulates the weight store. It refuses model loads above its rate,
// and loads take longer when more of them run at once than its limits allow.
type WeightStore struct {
	cfg WeightStoreConfig

	mu           sync.Mutex
	tokens       float64 // of the token bucket that limits the rate of model loads
	refilled     time.Time
	modelLoads   int // in progress
	adapterLoads int // in progress
}

// NewWeightStore returns a store without running loads.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	return &WeightStore{cfg: cfg, tokens: 1, refilled: time.Now()}
}

// maxLoadBurst is the size of the token bucket: the number of model loads that may
// start at once after an idle time.
const maxLoadBurst = 4

// BeginLoad starts a load of b bytes. It returns how long the load takes, or false
// if the store refuses it. The caller must call EndLoad when an accepted load ends.
func (s *WeightStore) BeginLoad(b configurator.Bytes, adapter bool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapterLoads++
		return slowDown(s.cfg.AdapterLoadTime, s.adapterLoads, s.cfg.Limits.ConcurrentAdapterLoads), true
	}
	now := time.Now()
	s.tokens = min(maxLoadBurst, s.tokens+now.Sub(s.refilled).Seconds()*s.cfg.Limits.ModelLoadRate)
	s.refilled = now
	if s.tokens < 1 {
		return 0, false
	}
	s.tokens--
	s.modelLoads++
	d := time.Duration(float64(b) / s.cfg.BytesPerSecond * float64(time.Second))
	return slowDown(d, s.modelLoads, s.cfg.Limits.ConcurrentModelLoads), true
}

// slowDown multiplies a load time by n/limit when n loads exceed the limit.
func slowDown(d time.Duration, n, limit int) time.Duration {
	if n <= limit {
		return d
	}
	return time.Duration(float64(d) * float64(n) / float64(limit))
}

// EndLoad ends a load that BeginLoad accepted.
func (s *WeightStore) EndLoad(adapter bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if adapter {
		s.adapterLoads--
		return
	}
	s.modelLoads--
}
