// Command rig2 is a small deployment of real gateways and stewards with stand-ins for the
// platform's store, the runners and the clients. Each case of the review is one scenario.
//
// Usage:
//
//	rig2 --program target/egretwall --record record.txt SCENARIO
//
// It exits with 1 if the rule of the scenario was broken, with 0 if it held, and with 2 if the
// scenario could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed names.json
var namesFile []byte

// wireNames are the names of the wire, which stand in a data file.
var wireNames = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
	return names
}()

// wire returns a name of the wire.
func wire(key string) string {
	name, ok := wireNames[key]
	if !ok {
		panic(fmt.Sprintf("names.json lacks %q", key))
	}
	return name
}
