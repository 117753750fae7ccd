// Package strictjson decodes JSON from operators against a schema. It rejects what
// encoding/json may accept: unknown and repeated names, nulls, values of another
// type, deep nesting and trailing data. An error contains the path of the first
// violation in the body.
//
// Only the structure of a body is validated. The packages that define the
// documents check bounds and relations between fields.
package strictjson

import "stepwick/internal/apierror"

// Kind is the type of a JSON value.
type Kind int

// Kinds of JSON values.
const (
	KindString Kind = iota
	KindNumber
	KindBool
	KindList
	KindMap    // an object with any names
	KindRecord // an object with a fixed set of optional fields
	KindAny    // any value except null; its objects must not repeat names
	KindOpaque // any valid JSON, not validated further
)

var kindNames = [...]string{"a string", "a number", "true or false", "a list", "an object", "an object", "a value", "a value"}

// Schema describes a JSON value. It must not be modified once it is in use.
type Schema struct {
	kind Kind
	// items is the schema of a list's elements or a map's values.
	items  *Schema
	fields Fields
	// code replaces the caller's error code for violations within this value. OK
	// leaves the caller's code in effect.
	code apierror.Code
}

// Fields maps the names of a record's fields to their schemas. All fields are
// optional.
type Fields map[string]*Schema

// Predefined schemas.
var (
	String     = &Schema{kind: KindString}
	Number     = &Schema{kind: KindNumber}
	Bool       = &Schema{kind: KindBool}
	Any        = &Schema{kind: KindAny}
	Opaque     = &Schema{kind: KindOpaque}
	StringList = List(String)
)

// List returns the schema of a list whose elements conform to items.
func List(items *Schema) *Schema { return &Schema{kind: KindList, items: items} }

// Map returns the schema of an object with arbitrary names, whose values conform
// to items.
func Map(items *Schema) *Schema { return &Schema{kind: KindMap, items: items} }

// Record returns the schema of an object that may have only the given fields.
func Record(fields Fields) *Schema { return &Schema{kind: KindRecord, fields: fields} }

// WithCode returns a copy of the schema that reports violations under the given
// code, except unknown fields, which are always UnknownField.
func (s *Schema) WithCode(code apierror.Code) *Schema {
	copied := *s
	copied.code = code
	return &copied
}

// accepts reports whether the schema allows a value of the kind that kindOf
// returned.
func (s *Schema) accepts(kind Kind) bool {
	switch s.kind {
	case KindAny:
		return true
	case KindRecord:
		return kind == KindMap
	}
	return kind == s.kind
}
