package follower

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretwall/egretwall/internal/recorder"
	"github.com/egretwall/egretwall/pkg/configurator"
)

func testConfiguration() configurator.Configuration {
	return configurator.Configuration{
		Name: "test", IdempotencyWindow: 60_000,
		Store:   configurator.StoreLimits{ModelLoadRate: 1, ConcurrentModelLoads: 1, ConcurrentAdapterLoads: 1},
		Classes: []configurator.Class{{Name: "desk", TargetFirstToken: 1, TargetGap: 1, Timeout: 1}},
		Models:  []configurator.Model{{Name: "m0", Bytes: 40, Copies: 1}},
		Upstreams: []configurator.Upstream{
			runner("r0", "a"), runner("r1", "b"),
		},
	}
}

func runner(name, domain string) configurator.Upstream {
	return configurator.Upstream{
		Name: configurator.UpstreamName(name), Role: configurator.Runner, Domain: configurator.DomainName(domain),
		Address: "127.0.0.1:1", Accelerators: 1, WeightMemory: 100, Slots: 1, Lease: 1, MaxDeliveryDelay: 1,
	}
}

// testLog is an in-memory log whose records before first count as dropped.
type testLog struct {
	first   recorder.Offset
	records []recorder.Record
}

func (l *testLog) append(r recorder.Record) {
	r.Offset = recorder.Offset(len(l.records))
	r.LogTimeMs = int64(r.Offset)
	l.records = append(l.records, r)
}

func (l *testLog) read(from recorder.Offset, n int) recorder.Batch {
	start := max(from, l.first)
	end := min(int(start)+n, len(l.records))
	return recorder.Batch{FirstOffset: l.first, NextOffset: recorder.Offset(end), Records: l.records[start:end]}
}

// change returns the record of a change that was derived from version base.
func change(base configurator.Version, id string, puts map[string]any, drops ...configurator.Key) recorder.Record {
	c := configurator.Change{ID: id, Base: base, Puts: configurator.Items{}, Deletes: drops}
	for k, v := range puts {
		data, _ := json.Marshal(v)
		c.Puts[configurator.Key(k)] = data
	}
	return recorder.Record{ID: id, Kind: recorder.KindChange, Change: &c}
}

// firstChange returns the record of the change that creates testConfiguration.
func firstChange() recorder.Record {
	c := configurator.Diff("first", configurator.State{}, testConfiguration())
	return recorder.Record{ID: "first", Kind: recorder.KindChange, Change: &c}
}

func stateRecord(f *Follower) recorder.Record {
	data, hash := f.State().Snapshot()
	return recorder.Record{ID: "state", Kind: recorder.KindState, State: &recorder.Snapshot{Data: data, Hash: hash}}
}

func TestOneOfTwoConflictingChangesIsAccepted(t *testing.T) {
	log := &testLog{}
	log.append(firstChange())
	log.append(change(1, "a", map[string]any{"moves": 1}))
	log.append(change(1, "b", map[string]any{"moves": 2}))
	log.append(change(1, "c", map[string]any{"window": 5000}))
	f := New()
	require.True(t, f.Apply(0, log.read(0, 10)))
	v := f.Report().Verdicts
	require.True(t, v[1].Accepted)
	require.False(t, v[2].Accepted)
	require.Equal(t, []configurator.Key{"moves"}, v[2].ConflictingKeys)
	require.True(t, v[3].Accepted, "a change of other keys does not conflict")
	require.EqualValues(t, 3, f.State().Version)
}

func TestChangesThatAreInfeasibleTogetherAreRefused(t *testing.T) {
	log := &testLog{}
	log.append(firstChange())
	log.append(change(1, "a", map[string]any{"models/m1": configurator.Model{Name: "m1", Bytes: 50, Copies: 1}}))
	log.append(change(1, "b", map[string]any{"models/m2": configurator.Model{Name: "m2", Bytes: 50, Copies: 1}}))
	f := New()
	f.Apply(0, log.read(0, 10))
	v := f.Report().Verdicts
	require.True(t, v[1].Accepted)
	require.False(t, v[2].Accepted, "90 and 50 bytes do not fit on one runner of 100")
	require.NotEmpty(t, v[2].Problems)
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	f := New()
	f.Apply(0, (&testLog{records: []recorder.Record{firstChange()}}).read(0, 1))
	data, hash := f.State().Snapshot()
	_, err := New().Adopt(0, data[:len(data)-1], hash)
	require.Error(t, err)
}

// checkConvergence drives several followers over one log with random steps: reads,
// changes, restarts, dropped records, snapshots in the log and snapshots from peers.
// It returns an error if the version of a follower falls or if two followers have
// different content for the same version.
func checkConvergence(t *rapid.T, allowRollback bool) error {
	log := &testLog{}
	log.append(firstChange())
	followers := make([]*Follower, 3)
	lastVersions := make([]configurator.Version, 3)
	hashes := map[configurator.Version]uint64{}
	for i := range followers {
		followers[i] = New()
	}
	for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "who")
		f := followers[i]
		now := time.Duration(n)
		switch rapid.SampledFrom([]string{"read", "read", "change", "restart", "drop", "state", "peer"}).Draw(t, "step") {
		case "read":
			f.Apply(now, log.read(f.NextOffset(), rapid.IntRange(1, 5).Draw(t, "n")))
		case "change":
			key := rapid.SampledFrom([]string{"moves", "window"}).Draw(t, "key")
			behind := configurator.Version(rapid.IntRange(0, 1).Draw(t, "behind"))
			version := f.State().Version
			log.append(change(version-min(behind, version), fmt.Sprint(n), map[string]any{key: 2000 + n}))
		case "restart":
			followers[i], lastVersions[i] = New(), 0
		case "drop":
			if f.State().Version > 0 {
				log.append(stateRecord(f))
				log.first = min(log.first+3, recorder.Offset(f.State().Offset))
			}
		case "state":
			if f.State().Version > 0 {
				log.append(stateRecord(f))
			}
		case "peer":
			if allowRollback {
				f.AllowRollback()
			}
			data, hash := followers[rapid.IntRange(0, 2).Draw(t, "peer")].State().Snapshot()
			_, err := f.Adopt(now, data, hash)
			if err != nil {
				return err
			}
		}
		state := followers[i].State()
		if state.Version < lastVersions[i] {
			return fmt.Errorf("version fell from %d to %d", lastVersions[i], state.Version)
		}
		lastVersions[i] = state.Version
		hash := state.Hash()
		if known, ok := hashes[state.Version]; ok && known != hash {
			return fmt.Errorf("version %d has two contents", state.Version)
		}
		hashes[state.Version] = hash
	}
	return nil
}

func TestFollowersAgreeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, checkConvergence(t, false))
	})
}

func TestRevertingConfigurationIsCaught(t *testing.T) {
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		caught = caught || checkConvergence(t, true) != nil
	})
	require.True(t, caught)
}
