package standin

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed wire.json
var wireNames []byte

// Names are the names of the platform's headers, paths and fields that the stand-ins and the
// cases use, beside those that package platform exports. They stand in wire.json, since no Go
// code outside platform may hold names of the wire.
type Names struct {
	// Headers.
	AttemptID, Deadline, Seal, NotRun, ExpectID, ServerID, Model, TokenUsage, PromptParts, Leaving, Era string
	// Paths.
	PathNewest, PathRead, PathAppend, PathReport, PathOrder string
	// Fields of routes, entries, engines, reports and limits.
	TargetLatency, TargetGap, RoutePrefix, AttemptLimit, ColdLeft, CacheSize, CacheUsed, CacheTotal, HeaderTimeout, IdleTimeout string
}

// Wire holds the names.
var Wire = readNames()

func readNames() Names {
	var n Names
	if err := json.Unmarshal(wireNames, &n); err != nil {
		panic(fmt.Sprintf("names of the wire: %v", err)) // the file is part of the program
	}
	return n
}
