package isolator

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/egretwall/egretwall/internal/registrar"
)

// Trait is what requests may have in common that crashes upstreams: a shared part of their
// prompts, written as its ID if that is short, or digests with their kind as prefix. IDs of
// parts contain no colon.
type Trait string

// TraitKind is a kind of trait.
type TraitKind string

// The kinds of traits.
const (
	RequestTrait TraitKind = "request" // the content and the caller: request:CONTENT.CALLER
	ContentTrait TraitKind = "content" // method, host, path, query and body: content:CONTENT
	PartTrait    TraitKind = "part"    // one shared part of the prompt: ID, or part:DIGEST
)

// Lengths of digests and of IDs that stand for themselves; the traits of all requests of some
// seconds are kept and told to other processes.
const (
	contentDigestBytes = 12
	callerDigestBytes  = 6
	partDigestBytes    = 12
	maxPlainID         = 32
)

// Content is what a request asks for, and who asks. An attempt's ID and deadline are not
// among it, so that all attempts of a request have the same.
type Content struct {
	Method, Host, Target string // Target is the path with the query
	Caller               string // address or name
	Body                 []byte
}

// TraitsOf returns the traits of a request. parts are the shared ones of its prompt.
func TraitsOf(c Content, parts []registrar.PartID) []Trait {
	content := c.digest()
	caller := sha256.Sum256([]byte(c.Caller))
	traits := make([]Trait, 0, 2+len(parts))
	traits = append(traits, newTrait(RequestTrait, content+"."+encodeDigest(caller[:callerDigestBytes])), newTrait(ContentTrait, content))
	for _, p := range parts {
		traits = append(traits, partTrait(p))
	}
	return traits
}

// partTrait returns the trait of a part. Longer IDs, and those that are no text, are replaced
// by a digest, so that every trait fits into a message and the key of a record.
func partTrait(id registrar.PartID) Trait {
	if len(id) <= maxPlainID && !strings.ContainsFunc(string(id), func(r rune) bool { return r <= ' ' || r > '~' || r == ':' }) {
		return Trait(id)
	}
	digest := sha256.Sum256([]byte(id))
	return newTrait(PartTrait, encodeDigest(digest[:partDigestBytes]))
}

func newTrait(kind TraitKind, digest string) Trait { return Trait(string(kind) + ":" + digest) }

func encodeDigest(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

// digest hashes all fields but the caller, with their lengths, so that none can pass for the
// end of another.
func (c Content) digest() string {
	h := sha256.New()
	for _, field := range []string{c.Method, c.Host, c.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(c.Body)
	return encodeDigest(h.Sum(nil)[:contentDigestBytes])
}

// Kind returns the kind of a trait.
func (t Trait) Kind() TraitKind {
	switch kind, _, digest := strings.Cut(string(t), ":"); {
	case !digest || TraitKind(kind) == PartTrait:
		return PartTrait
	case TraitKind(kind) == RequestTrait:
		return RequestTrait
	}
	return ContentTrait
}

// content returns the ContentTrait of a RequestTrait.
func (t Trait) content() Trait {
	digests, _, _ := strings.Cut(strings.TrimPrefix(string(t), string(RequestTrait)+":"), ".")
	return newTrait(ContentTrait, digests)
}

// IsolationEvent returns the event under which processes log that the trait is isolated.
func (t Trait) IsolationEvent() string {
	if t.Kind() == PartTrait {
		return "prompt part isolated"
	}
	return "request isolated"
}

// ofContent reports whether t is a RequestTrait and other its ContentTrait.
func (t Trait) ofContent(other Trait) bool {
	return t.Kind() == RequestTrait && t.content() == other
}

// breadth ranks kinds by how many requests may have one trait of it.
var breadth = map[TraitKind]int{RequestTrait: 0, ContentTrait: 1, PartTrait: 2}
