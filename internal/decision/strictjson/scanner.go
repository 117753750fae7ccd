package strictjson

import (
	"bytes"
	"encoding/json"
	"strings"

	"stepwick/internal/apierror"
)

// maxDepth bounds the nesting of objects and lists.
const maxDepth = 16

// scanner reads data that has been checked to be valid JSON.
type scanner struct {
	data   []byte
	offset int
}

// peekToken skips white space and separators and returns the first byte of the
// next value, name or closing bracket without consuming it.
func (s *scanner) peekToken() byte {
	for {
		switch c := s.data[s.offset]; c {
		case ' ', '\t', '\n', '\r', ',', ':':
			s.offset++
		default:
			return c
		}
	}
}

// readScalar consumes a string, number, boolean or null and returns its bytes.
func (s *scanner) readScalar() []byte {
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

// readString consumes a string and returns it unquoted and unescaped.
func (s *scanner) readString() string {
	quoted := s.readScalar()
	if bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : len(quoted)-1])
	}
	var text string
	_ = json.Unmarshal(quoted, &text)
	return text
}

// checkValue consumes one value and validates it against the schema.
func (s *scanner) checkValue(schema *Schema, code apierror.Code, path *valuePath, depth int) *apierror.Error {
	first := s.peekToken()
	if schema.kind == KindOpaque {
		return s.skipValue()
	}
	if schema.code != apierror.OK {
		code = schema.code
	}
	if depth > maxDepth {
		return apierror.Errorf(code, "%svalue is nested too deeply", path)
	}
	kind, isNull := kindOf(first)
	if isNull || !schema.accepts(kind) {
		return apierror.Errorf(code, "%swant %s, not %s", path, kindNames[schema.kind], s.describeValue(kind, isNull))
	}
	switch kind {
	case KindMap:
		return s.checkObject(schema, code, path, depth)
	case KindList:
		return s.checkList(schema, code, path, depth)
	}
	s.readScalar()
	return nil
}

// skipValue consumes one value without validating it.
func (s *scanner) skipValue() *apierror.Error {
	decoder := json.NewDecoder(bytes.NewReader(s.data[s.offset:]))
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		return apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	s.offset += int(decoder.InputOffset())
	return nil
}

// checkList consumes a list and validates its elements.
func (s *scanner) checkList(schema *Schema, code apierror.Code, path *valuePath, depth int) *apierror.Error {
	items := schema.items
	if schema.kind == KindAny {
		items = Any
	}
	s.offset++
	for i := 0; s.peekToken() != ']'; i++ {
		if apiErr := s.checkValue(items, code, &valuePath{parent: path, index: i}, depth+1); apiErr != nil {
			return apiErr
		}
	}
	s.offset++
	return nil
}

// checkObject consumes an object and validates its members.
func (s *scanner) checkObject(schema *Schema, code apierror.Code, path *valuePath, depth int) *apierror.Error {
	seen := make(map[string]struct{})
	s.offset++
	for s.peekToken() != '}' {
		memberPath := valuePath{parent: path, name: s.readString(), inObject: true}
		if _, repeated := seen[memberPath.name]; repeated {
			return apierror.Errorf(code, "%sgiven twice", &memberPath)
		}
		seen[memberPath.name] = struct{}{}
		memberSchema := schema.member(memberPath.name)
		if memberSchema == nil {
			return apierror.Errorf(apierror.UnknownField, "%sno such field", &memberPath)
		}
		if apiErr := s.checkValue(memberSchema, code, &memberPath, depth+1); apiErr != nil {
			return apiErr
		}
	}
	s.offset++
	return nil
}

// member returns the schema of an object's member, or nil for an unknown field of
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

// describeValue consumes a value that doesn't conform to its schema and describes
// it for an error message. Lists and objects are not consumed.
func (s *scanner) describeValue(kind Kind, isNull bool) string {
	switch {
	case isNull:
		return "null"
	case kind == KindList || kind == KindMap:
		return kindNames[kind]
	case kind == KindString:
		return Excerpt(s.readString())
	}
	return Excerpt(string(s.readScalar()))
}

// kindOf returns the kind of a value with the given first byte, or that the value
// is null.
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
