package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names maps this program's words to the names of the platform's wire format.
var names = func() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()

// wire returns the platform's name for a word.
func wire(word string) string {
	name, ok := names[word]
	if !ok {
		panic("no name for " + word)
	}
	return name
}
