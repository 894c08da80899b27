package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

const service registrar.ServiceName = "llm"

// keeperOf returns a keeper that has read the store and lists upstreams of releases.
func keeperOf(releases ...registrar.Release) *Keeper {
	k := NewKeeper()
	var all []*registrar.Upstream
	for _, r := range releases {
		all = append(all, &registrar.Upstream{Release: r, Service: service})
	}
	k.Releases.List(0, all)
	k.Load(0, 0, nil)
	return k
}

// A steward read the origins in the store once in its life, so that streams whose recorders
// were lost later were unknown to it.
func TestOriginsWrittenSinceTheLastReadAreFound(t *testing.T) {
	k := keeperOf("v1", "v2")
	for loss := range 3 {
		at, stream := time.Duration(1+loss)*time.Minute, StreamID(string(rune('a'+loss)))
		k.ConfirmList(at)
		require.Equal(t, Answer{}, k.Ask(at, service, stream), "another steward may know it")
		at += 60 * time.Millisecond
		require.Equal(t, Answer{ReadStored: true}, k.Ask(at, service, stream))
		k.Load(at, at, []Origin{{stream, "v2", service}})
		at += 60 * time.Millisecond
		require.Equal(t, Answer{Origin: &Origin{stream, "v2", service}}, k.Ask(at, service, stream))
	}
}

// An answer to an earlier question was taken for one to the question of a caller who came back.
func TestStreamIsUnknownOnlyByAReadSinceTheQuestion(t *testing.T) {
	k := keeperOf("v1", "v2")
	for _, at := range []time.Duration{time.Minute, time.Minute + time.Second} {
		k.ConfirmList(at)
		require.Equal(t, Answer{}, k.Ask(at, service, "a"))
		k.Load(at, at-time.Millisecond, nil)
		require.Equal(t, Answer{ReadStored: true}, k.Ask(at+60*time.Millisecond, service, "a"), "that read began before the question")
		k.Load(at, at, nil)
		answer := k.Ask(at+120*time.Millisecond, service, "a")
		require.NotNil(t, answer.Absence)
		require.ElementsMatch(t, []registrar.Release{"v1", "v2"}, answer.Absence.Releases)
	}
}

// With a single release, the store is read once at most.
func TestStoreIsNotReadAnewWithASingleRelease(t *testing.T) {
	k := keeperOf("v1")
	k.ConfirmList(time.Second)
	require.NotNil(t, k.Ask(time.Second, service, "a").Absence)
}

// One release of each of several services may have begun a stream.
func TestStoreIsReadAnewForSplitServices(t *testing.T) {
	k := keeperOf("v1")
	k.SetSplit(map[registrar.ServiceName]bool{service: true})
	at := 2 * time.Minute
	k.ConfirmList(at)
	require.NotNil(t, k.Ask(at, "other", "a").Absence, "no release of it has been seen")
	require.Equal(t, Answer{}, k.Ask(at, service, "a"), "another steward may know it")
	at += 60 * time.Millisecond
	require.Equal(t, Answer{ReadStored: true}, k.Ask(at, service, "a"))
	k.Load(at, at, []Origin{{"a", "v1", "other"}})
	require.Equal(t, Answer{Origin: &Origin{"a", "v1", "other"}}, k.Ask(at, service, "a"))
}
