package isolator

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Trait is what requests may have in common that crashes upstreams: a shared part of their
// prompts, written as its ID, or a digest with its kind as prefix. IDs of parts contain no
// colon.
type Trait string

// TraitKind is a kind of trait.
type TraitKind string

// The kinds of traits, from the most specific to the least.
const (
	RequestTrait TraitKind = "request" // the content and the caller
	ContentTrait TraitKind = "content" // method, host, path, query and body
	PartTrait    TraitKind = "part"    // one shared part of the prompt
)

// digestBytes is the length of a digest; traits of all requests of some seconds are kept
// and told to other processes.
const digestBytes = 12

// Content is what a request asks for, and who asks. An attempt's ID and deadline are not
// among it, so that all attempts of a request have the same.
type Content struct {
	Method, Host, Target string // Target is the path with the query
	Caller               string // address or name
	Body                 []byte
}

// TraitsOf returns the traits of a request, the most specific first. parts are the shared
// ones of its prompt.
func TraitsOf(c Content, parts []registrar.PartID) []Trait {
	traits := make([]Trait, 0, 2+len(parts))
	traits = append(traits, c.digest(RequestTrait, c.Caller), c.digest(ContentTrait, ""))
	for _, p := range parts {
		traits = append(traits, Trait(p))
	}
	return traits
}

// digest hashes the fields with their lengths, so that none can pass for the end of
// another.
func (c Content) digest(kind TraitKind, caller string) Trait {
	h := sha256.New()
	for _, field := range []string{c.Method, c.Host, c.Target, caller} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(c.Body)
	return Trait(string(kind) + ":" + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// Kind returns the kind of a trait.
func (t Trait) Kind() TraitKind {
	switch kind, _, digest := strings.Cut(string(t), ":"); {
	case !digest:
		return PartTrait
	case TraitKind(kind) == RequestTrait:
		return RequestTrait
	}
	return ContentTrait
}

// IsolationEvent returns the event under which processes log that the trait is isolated.
func (t Trait) IsolationEvent() string {
	if t.Kind() == PartTrait {
		return "prompt part isolated"
	}
	return "request isolated"
}

// narrower reports whether t is of a more specific kind than other.
func (t Trait) narrower(other Trait) bool {
	return specificity[t.Kind()] > specificity[other.Kind()]
}

var specificity = map[TraitKind]int{PartTrait: 0, ContentTrait: 1, RequestTrait: 2}
