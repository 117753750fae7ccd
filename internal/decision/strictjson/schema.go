// Package strictjson decodes JSON from operators against a schema and rejects
// what encoding/json would let pass: unknown and repeated names, nulls, values
// of another type, deep nesting and trailing data. An error names the position
// of the first fault in the body.
//
// It checks the form of a body only. Bounds and relations between fields are
// checked by the packages whose documents these are.
package strictjson

import "stepwick/internal/apierror"

// Kind is the type of a JSON value.
type Kind int

// Kinds of values.
const (
	KindString Kind = iota
	KindNumber
	KindBool
	KindList
	KindMap    // an object with any names
	KindRecord // an object with known fields
	KindAny    // a value of any type except null, whose objects repeat no name
	KindOpaque // any valid JSON; its content is not inspected
)

var kindNames = [...]string{"a text", "a number", "true or false", "a list", "an object", "an object", "a value", "a value"}

// Schema describes one JSON value. It is immutable once it is in use.
type Schema struct {
	kind Kind
	// items describes the elements of a list or the values of a map.
	items  *Schema
	fields Fields
	// code replaces the caller's result code for faults within this value; OK
	// leaves the caller's code in place.
	code apierror.Code
}

// Fields are the fields that a record may have, by name. All are optional.
type Fields map[string]*Schema

// Schemas of values without parameters.
var (
	String     = &Schema{kind: KindString}
	Number     = &Schema{kind: KindNumber}
	Bool       = &Schema{kind: KindBool}
	Any        = &Schema{kind: KindAny}
	Opaque     = &Schema{kind: KindOpaque}
	StringList = List(String)
)

// List returns the schema of a list whose elements follow items.
func List(items *Schema) *Schema { return &Schema{kind: KindList, items: items} }

// Map returns the schema of an object with any names whose values follow items.
func Map(items *Schema) *Schema { return &Schema{kind: KindMap, items: items} }

// Record returns the schema of an object with no fields but these.
func Record(fields Fields) *Schema { return &Schema{kind: KindRecord, fields: fields} }

// WithCode returns a copy of the schema that reports faults under the code.
func (s *Schema) WithCode(code apierror.Code) *Schema {
	withCode := *s
	withCode.code = code
	return &withCode
}

// accepts reports whether a value of the kind, as its first byte shows it,
// fits the schema.
func (s *Schema) accepts(found Kind) bool {
	switch s.kind {
	case KindAny:
		return true
	case KindRecord:
		return found == KindMap
	}
	return found == s.kind
}
