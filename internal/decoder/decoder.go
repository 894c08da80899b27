// Package decoder reads JSON documents that people write. It reports every
// unknown field, duplicate field and wrong type with its JSON path, not only
// the first one.
//
// Usage:
//
//	var cfg configurator.Configuration
//	problems := decoder.Decode(data, &cfg)
package decoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Problem is one mistake in a document.
type Problem struct {
	Path string `json:"path"` // JSON path, "$" for the whole document
	Text string `json:"text"` // what is wrong and what would be right
}

func (p Problem) String() string {
	return p.Path + ": " + p.Text
}

// Decode fills v, a pointer to a struct, from data and returns all mistakes
// found. v is filled as far as the document is right, so that the caller can
// check values in the same run; it is left as it is when the JSON is malformed.
func Decode(data []byte, v any) []Problem {
	s := &scanner{dec: json.NewDecoder(bytes.NewReader(data))}
	s.dec.UseNumber()
	if err := s.value("$", reflect.TypeOf(v).Elem()); err != nil {
		return append(s.problems, Problem{"$", fmt.Sprintf("malformed JSON at byte %d: %v", s.dec.InputOffset(), err)})
	}
	if _, err := s.dec.Token(); err != io.EOF {
		return append(s.problems, Problem{"$", "remove what follows the document"})
	}
	if err := json.Unmarshal(data, v); err != nil && len(s.problems) == 0 {
		s.add("$", "%v", err)
	}
	return s.problems
}

// maxDepth bounds the nesting of a document.
const maxDepth = 64

type scanner struct {
	dec      *json.Decoder
	problems []Problem
	depth    int
}

func (s *scanner) add(path, format string, args ...any) {
	s.problems = append(s.problems, Problem{path, fmt.Sprintf(format, args...)})
}

// value checks the next JSON value against t; a nil t accepts anything.
func (s *scanner) value(path string, t reflect.Type) error {
	s.depth++
	defer func() { s.depth-- }()
	if s.depth > maxDepth {
		return fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	tok, err := s.dec.Token()
	if err != nil {
		return err
	}
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t != nil && t == reflect.TypeOf(json.RawMessage{}) {
		t = nil
	}
	switch tok {
	case json.Delim('{'):
		return s.object(path, t)
	case json.Delim('['):
		return s.array(path, t)
	}
	s.scalar(path, tok, t)
	return nil
}

func (s *scanner) object(path string, t reflect.Type) error {
	var fields map[string]reflect.Type
	var elem reflect.Type
	switch {
	case t == nil:
	case t.Kind() == reflect.Struct:
		fields = fieldsOf(t)
	case t.Kind() == reflect.Map:
		elem = t.Elem()
	default:
		s.add(path, "expected %s, found an object", describe(t))
	}
	seen := map[string]bool{}
	for s.dec.More() {
		tok, err := s.dec.Token()
		if err != nil {
			return err
		}
		name := tok.(string)
		child := path + "." + name
		if seen[name] {
			s.add(child, "duplicate field, keep one")
		}
		seen[name] = true
		next := elem
		if fields != nil {
			known, ok := fields[name]
			if !ok {
				s.add(child, "unknown field, expected one of %s", strings.Join(names(t), ", "))
			}
			next = known
		}
		if err := s.value(child, next); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *scanner) array(path string, t reflect.Type) error {
	var elem reflect.Type
	if t != nil {
		if t.Kind() == reflect.Slice {
			elem = t.Elem()
		} else {
			s.add(path, "expected %s, found an array", describe(t))
		}
	}
	for i := 0; s.dec.More(); i++ {
		if err := s.value(fmt.Sprintf("%s[%d]", path, i), elem); err != nil {
			return err
		}
	}
	_, err := s.dec.Token()
	return err
}

func (s *scanner) scalar(path string, tok json.Token, t reflect.Type) {
	if t == nil || tok == nil {
		return
	}
	switch v := tok.(type) {
	case string:
		if t.Kind() != reflect.String && t.Kind() != reflect.Interface {
			s.add(path, "expected %s, found a string", describe(t))
		}
	case bool:
		if t.Kind() != reflect.Bool && t.Kind() != reflect.Interface {
			s.add(path, "expected %s, found %t", describe(t), v)
		}
	case json.Number:
		s.number(path, v, t)
	}
}

func (s *scanner) number(path string, n json.Number, t reflect.Type) {
	switch t.Kind() {
	case reflect.Float64, reflect.Interface:
	case reflect.Int, reflect.Int64:
		if _, err := n.Int64(); err != nil {
			s.add(path, "expected a whole number, found %s", n)
		}
	case reflect.Uint64, reflect.Uint32:
		if json.Unmarshal([]byte(n), new(uint64)) != nil {
			s.add(path, "expected a whole number of zero or more, found %s", n)
		}
	default:
		s.add(path, "expected %s, found %s", describe(t), n)
	}
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		fields[jsonName(f)] = f.Type
	}
	return fields
}

func names(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		out = append(out, jsonName(t.Field(i)))
	}
	return out
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint32:
		return "a whole number"
	case reflect.Slice:
		return "an array"
	default:
		return "an object"
	}
}

// ObjectKeys lists the names of a document's top-level fields, and none when it is
// no object.
func ObjectKeys(data []byte) []string {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	return list
}

// FieldNames returns the JSON names of a struct's fields.
func FieldNames(t reflect.Type) map[string]bool {
	known := map[string]bool{}
	for _, name := range names(t) {
		known[name] = true
	}
	return known
}
