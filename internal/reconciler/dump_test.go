package reconciler

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Operators and scripts read dumps, so the JSON names must not change.
func TestDumpJSONNames(t *testing.T) {
	data, err := json.Marshal(Dump{
		Upstream: "r1", Fence: 41,
		State: State{
			Incarnation: 1769682926166, Sequence: 2,
			Residents:       []registrar.ResidentModel{{Model: "m1", Version: 3, Adapters: []registrar.AdapterName{"a1"}}},
			LoadingAdapters: []registrar.AdapterID{{Model: "m2", Name: "a2"}},
			Busy:            true, Running: 4, Waiting: 5, KVUsed: 6, KVTotal: 7,
			InHostMemory: []registrar.ModelName{"m3"}, OnHostDisk: []registrar.ModelName{"m4", "m5"}, Draining: true,
		},
		Loading: "m6", Evicting: "m7", Planned: []registrar.ModelName{"m8"}, PlanAgeMs: 8, PeerStoreLoads: 9, Gateways: 10,
		Counters: Counters{Loads: 11, Unloads: 12, AdapterOrders: 13, Refused: 14, Unknown: 15},
	})
	require.NoError(t, err)
	require.Equal(t, `{"upstream":"r1","fence":41,"state":{"Born":1769682926166,"Sequence":2,`+
		`"Holdings":[{"model":"m1","version":3,"adapters":["a1"]}],"Coming":[{"model":"m2","name":"a2"}],`+
		`"Busy":true,"Running":4,"Waiting":5,"Used":6,"Total":7,"Warm":["m3"],"Disk":["m4","m5"],"Draining":true},`+
		`"loading":"m6","leaving":"m7","planned":["m8"],"age":8,"stored":9,"gateways":10,`+
		`"counters":{"loads":11,"unloads":12,"adapters":13,"refused":14,"unknown":15}}`, string(data))
}

func TestEmptyDumpJSONNames(t *testing.T) {
	data, err := json.Marshal(Dump{})
	require.NoError(t, err)
	require.Equal(t, `{"upstream":"","fence":0,"state":{"Born":0,"Sequence":0,"Holdings":null,"Coming":null,`+
		`"Busy":false,"Running":0,"Waiting":0,"Used":0,"Total":0,"Warm":null,"Disk":null,"Draining":false},`+
		`"loading":"","leaving":"","planned":null,"age":0,"stored":0,"gateways":0,`+
		`"counters":{"loads":0,"unloads":0,"adapters":0,"refused":0,"unknown":0}}`, string(data))
}
