package strictjson

import (
	"bytes"
	"encoding/json"
	"strings"

	"stepwick/internal/apierror"
)

// maxDepth bounds the nesting of objects and lists.
const maxDepth = 16

// scanner walks data that is known to be valid JSON.
type scanner struct {
	data   []byte
	offset int
}

// peek skips white space and separators and returns the first byte of the next
// value, name or closing bracket.
func (s *scanner) peek() byte {
	for {
		switch c := s.data[s.offset]; c {
		case ' ', '\t', '\n', '\r', ',', ':':
			s.offset++
		default:
			return c
		}
	}
}

// scalar consumes a string, number, bool or null and returns its bytes.
func (s *scanner) scalar() []byte {
	start := s.offset
	if s.data[s.offset] == '"' {
		for s.offset++; s.data[s.offset] != '"'; s.offset++ {
			if s.data[s.offset] == '\\' {
				s.offset++
			}
		}
		s.offset++
		return s.data[start:s.offset]
	}
	for s.offset < len(s.data) && strings.IndexByte(" \t\n\r,]}", s.data[s.offset]) < 0 {
		s.offset++
	}
	return s.data[start:s.offset]
}

// unquoted consumes a string and returns it without quotes and escapes.
func (s *scanner) unquoted() string {
	quoted := s.scalar()
	if bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : len(quoted)-1])
	}
	var name string
	_ = json.Unmarshal(quoted, &name)
	return name
}

// value consumes one value and checks it against the schema.
func (s *scanner) value(schema *Schema, code apierror.Code, at *position, depth int) *apierror.Error {
	first := s.peek()
	if schema.kind == KindOpaque {
		return s.opaque()
	}
	if schema.code != apierror.OK {
		code = schema.code
	}
	if depth > maxDepth {
		return apierror.Errorf(code, "%sit is nested too deep", at)
	}
	found, isNull := kindOf(first)
	if isNull || !schema.accepts(found) {
		return apierror.Errorf(code, "%swant %s, not %s", at, kindNames[schema.kind], s.describe(found, isNull))
	}
	switch found {
	case KindMap:
		return s.object(schema, code, at, depth)
	case KindList:
		return s.list(schema, code, at, depth)
	}
	s.scalar()
	return nil
}

// opaque consumes one value without inspecting it.
func (s *scanner) opaque() *apierror.Error {
	decoder := json.NewDecoder(bytes.NewReader(s.data[s.offset:]))
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		return apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	s.offset += int(decoder.InputOffset())
	return nil
}

func (s *scanner) list(schema *Schema, code apierror.Code, at *position, depth int) *apierror.Error {
	items := schema.items
	if schema.kind == KindAny {
		items = Any
	}
	s.offset++
	for i := 0; s.peek() != ']'; i++ {
		if apiErr := s.value(items, code, &position{parent: at, index: i}, depth+1); apiErr != nil {
			return apiErr
		}
	}
	s.offset++
	return nil
}

func (s *scanner) object(schema *Schema, code apierror.Code, at *position, depth int) *apierror.Error {
	seen := make(map[string]struct{})
	s.offset++
	for s.peek() != '}' {
		member := position{parent: at, name: s.unquoted(), named: true}
		if _, repeated := seen[member.name]; repeated {
			return apierror.Errorf(code, "%sgiven twice", &member)
		}
		seen[member.name] = struct{}{}
		memberSchema := schema.member(member.name)
		if memberSchema == nil {
			return apierror.Errorf(apierror.UnknownField, "%sno such field", &member)
		}
		if apiErr := s.value(memberSchema, code, &member, depth+1); apiErr != nil {
			return apiErr
		}
	}
	s.offset++
	return nil
}

// member returns the schema of an object's member; nil for an unknown field of
// a record.
func (s *Schema) member(name string) *Schema {
	switch s.kind {
	case KindRecord:
		return s.fields[name]
	case KindAny:
		return Any
	}
	return s.items
}

// describe returns what was found in place of the wanted value.
func (s *scanner) describe(found Kind, isNull bool) string {
	switch {
	case isNull:
		return "null"
	case found == KindList || found == KindMap:
		return kindNames[found]
	case found == KindString:
		return Excerpt(s.unquoted())
	}
	return Excerpt(string(s.scalar()))
}

// kindOf returns the kind of a value by its first byte, or that it is null.
func kindOf(first byte) (kind Kind, isNull bool) {
	switch first {
	case '"':
		return KindString, false
	case '[':
		return KindList, false
	case '{':
		return KindMap, false
	case 't', 'f':
		return KindBool, false
	case 'n':
		return KindAny, true
	}
	return KindNumber, false
}
