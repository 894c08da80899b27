// Package decoder reads JSON documents that are written by hand. It reports every
// unknown field, duplicate field and wrong type with its JSON path, not only the first
// one.
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
	Text string `json:"text"` // what is wrong and what is expected
}

func (p Problem) String() string {
	return p.Path + ": " + p.Text
}

// Decode fills v, a pointer to a struct, from data and returns all mistakes found. v is
// filled as far as the document is valid, so that values can be checked in the same
// pass. It is unchanged if the JSON is malformed or followed by more data.
func Decode(data []byte, v any) []Problem {
	c := &checker{dec: json.NewDecoder(bytes.NewReader(data))}
	c.dec.UseNumber()
	if err := c.checkValue("$", reflect.TypeOf(v).Elem()); err != nil {
		return append(c.problems, Problem{"$", fmt.Sprintf("malformed JSON at byte %d: %v", c.dec.InputOffset(), err)})
	}
	if _, err := c.dec.Token(); err != io.EOF {
		return append(c.problems, Problem{"$", "unexpected data after the document, remove it"})
	}
	if err := json.Unmarshal(data, v); err != nil && len(c.problems) == 0 {
		c.addProblem("$", "%v", err)
	}
	return c.problems
}

// maxDepth bounds the nesting of a document, in levels.
const maxDepth = 64

// checker checks a document against a type and collects the mistakes.
type checker struct {
	dec      *json.Decoder
	problems []Problem
	depth    int
}

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{path, fmt.Sprintf(format, args...)})
}

// checkValue checks the next JSON value against t; a nil t accepts any value. Mistakes
// are collected, and an error means that the JSON is malformed or nested too deeply.
func (c *checker) checkValue(path string, t reflect.Type) error {
	c.depth++
	defer func() { c.depth-- }()
	if c.depth > maxDepth {
		return fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	tok, err := c.dec.Token()
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
		return c.checkObject(path, t)
	case json.Delim('['):
		return c.checkArray(path, t)
	}
	c.checkScalar(path, tok, t)
	return nil
}

func (c *checker) checkObject(path string, t reflect.Type) error {
	var fields map[string]reflect.Type
	var elemType reflect.Type
	switch {
	case t == nil:
	case t.Kind() == reflect.Struct:
		fields = fieldTypes(t)
	case t.Kind() == reflect.Map:
		elemType = t.Elem()
	default:
		c.addProblem(path, "expected %s, found an object", describeType(t))
	}
	seen := map[string]bool{}
	for c.dec.More() {
		tok, err := c.dec.Token()
		if err != nil {
			return err
		}
		name := tok.(string)
		childPath := path + "." + name
		if seen[name] {
			c.addProblem(childPath, "duplicate field, keep one")
		}
		seen[name] = true
		childType := elemType
		if fields != nil {
			fieldType, ok := fields[name]
			if !ok {
				c.addProblem(childPath, "unknown field, expected one of %s", strings.Join(jsonNames(t), ", "))
			}
			childType = fieldType
		}
		if err := c.checkValue(childPath, childType); err != nil {
			return err
		}
	}
	_, err := c.dec.Token()
	return err
}

func (c *checker) checkArray(path string, t reflect.Type) error {
	var elemType reflect.Type
	if t != nil {
		if t.Kind() == reflect.Slice {
			elemType = t.Elem()
		} else {
			c.addProblem(path, "expected %s, found an array", describeType(t))
		}
	}
	for i := 0; c.dec.More(); i++ {
		if err := c.checkValue(fmt.Sprintf("%s[%d]", path, i), elemType); err != nil {
			return err
		}
	}
	_, err := c.dec.Token()
	return err
}

func (c *checker) checkScalar(path string, tok json.Token, t reflect.Type) {
	if t == nil || tok == nil {
		return
	}
	switch v := tok.(type) {
	case string:
		if t.Kind() != reflect.String && t.Kind() != reflect.Interface {
			c.addProblem(path, "expected %s, found a string", describeType(t))
		}
	case bool:
		if t.Kind() != reflect.Bool && t.Kind() != reflect.Interface {
			c.addProblem(path, "expected %s, found %t", describeType(t), v)
		}
	case json.Number:
		c.checkNumber(path, v, t)
	}
}

func (c *checker) checkNumber(path string, n json.Number, t reflect.Type) {
	switch t.Kind() {
	case reflect.Float64, reflect.Interface:
	case reflect.Int, reflect.Int64:
		if _, err := n.Int64(); err != nil {
			c.addProblem(path, "expected a whole number, found %s", n)
		}
	case reflect.Uint64, reflect.Uint32:
		if json.Unmarshal([]byte(n), new(uint64)) != nil {
			c.addProblem(path, "expected a whole number of zero or more, found %s", n)
		}
	default:
		c.addProblem(path, "expected %s, found %s", describeType(t), n)
	}
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		fields[jsonName(f)] = f.Type
	}
	return fields
}

// jsonNames returns the JSON names of a struct's fields in the order of declaration.
func jsonNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, jsonName(t.Field(i)))
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// describeType returns the expected JSON type in words, for the text of a problem.
func describeType(t reflect.Type) string {
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

// ObjectKeys returns the names of a document's top-level fields, in no particular order,
// and none if the document is not a JSON object.
func ObjectKeys(data []byte) []string {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(data, &fields) != nil {
		return nil
	}
	keys := make([]string, 0, len(fields))
	for name := range fields {
		keys = append(keys, name)
	}
	return keys
}

// FieldNames returns the set of the JSON names of a struct's fields.
func FieldNames(t reflect.Type) map[string]bool {
	names := map[string]bool{}
	for _, name := range jsonNames(t) {
		names[name] = true
	}
	return names
}
