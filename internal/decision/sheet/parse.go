package sheet

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"stepwick/internal/apierror"

	"github.com/pkg/errors"
)

type kind int

const (
	isText kind = iota
	isNumber
	isBool
	isList
	isTable  // an object with any names
	isRecord // an object with known fields
	isAny
	isOpaque // any valid JSON, not looked into
)

const maxDepth = 16

var kindNames = [...]string{"a text", "a number", "true or false", "a list", "an object", "an object", "a value", "a value"}

type shape struct {
	kind   kind
	each   *shape
	fields map[string]*shape
	code   apierror.Code
}

var (
	text   = &shape{kind: isText}
	number = &shape{kind: isNumber}
	truth  = &shape{kind: isBool}
	whole  = &shape{kind: isAny}
	opaque = &shape{kind: isOpaque}
	texts  = &shape{kind: isList, each: text}

	rowShapes = map[string]*shape{
		"services": {kind: isRecord, fields: map[string]*shape{"kind": text, "plain_tokens": number, "health_path": text,
			"max_connections": number, "cold_per_second": number, "cold_ms": number, "origin": opaque}},
		"routes":  routeShape,
		"limits":  limitsShape,
		"weights": {kind: isTable, each: number},
		"tenants": {kind: isRecord, fields: map[string]*shape{"rate": number, "burst": number, "home": text, "keys": texts,
			"priority": number, "unit": text, "plain_tokens": number, "homes": texts, "origin": opaque}},
	}
	sheetShape = &shape{kind: isRecord, code: apierror.InvalidSheet, fields: map[string]*shape{
		"services": {kind: isTable, each: rowShapes["services"]},
		"weights":  {kind: isTable, each: rowShapes["weights"]},
		"tenants":  {kind: isTable, each: rowShapes["tenants"]},
		"settings": {kind: isTable, each: text},
		"routes":   {kind: isTable, each: routeShape},
		"limits":   limitsShape,
		"origin":   opaque,
	}}
)

// ParseSheet reads a sheet from at most limit bytes of JSON and checks it.
// Unknown or repeated names, nulls, wrong types and trailing data are refused.
func ParseSheet(data []byte, limit int) (*Sheet, *apierror.Error) {
	if len(data) > limit {
		return nil, apierror.Errorf(apierror.SheetTooLarge, "%d bytes; the bound is %d", len(data), limit)
	}
	var s Sheet
	if apiErr := parse(data, sheetShape, apierror.InvalidSheet, &s); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := s.Check(); apiErr != nil {
		return nil, apiErr
	}
	return &s, nil
}

func parse(data []byte, want *shape, code apierror.Code, into any) *apierror.Error {
	if apiErr := scan(data, want, code); apiErr != nil {
		return apiErr
	}
	if err := json.Unmarshal(data, into); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return apierror.Errorf(code, "%s: %s is out of bounds", wrong.Field, clip(wrong.Value))
		}
		return apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	return nil
}

// scan checks that data is one JSON value of the wanted shape, with no name
// unknown or given twice.
func scan(data []byte, want *shape, code apierror.Code) *apierror.Error {
	if !json.Valid(data) {
		var raw json.RawMessage
		err := json.Unmarshal(data, &raw)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return apierror.Errorf(apierror.BadJSON, "at byte %d: %v", syntax.Offset, err)
		}
		return apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	s := scanner{data: data}
	return s.value(want, code, nil, 0)
}

// scanner walks data that is known to be valid JSON.
type scanner struct {
	data []byte
	at   int
}

func (s *scanner) next() byte {
	for {
		switch c := s.data[s.at]; c {
		case ' ', '\t', '\n', '\r', ',', ':':
			s.at++
		default:
			return c
		}
	}
}

func (s *scanner) skip() []byte {
	from := s.at
	if s.data[s.at] == '"' {
		for s.at++; s.data[s.at] != '"'; s.at++ {
			if s.data[s.at] == '\\' {
				s.at++
			}
		}
		s.at++
		return s.data[from:s.at]
	}
	for s.at < len(s.data) && strings.IndexByte(" \t\n\r,]}", s.data[s.at]) < 0 {
		s.at++
	}
	return s.data[from:s.at]
}

func (s *scanner) name() string {
	quoted := s.skip()
	if bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : len(quoted)-1])
	}
	var name string
	_ = json.Unmarshal(quoted, &name)
	return name
}

func (s *scanner) value(want *shape, code apierror.Code, path *place, depth int) *apierror.Error {
	first := s.next()
	if want.kind == isOpaque {
		return s.pass()
	}
	if want.code != apierror.OK {
		code = want.code
	}
	if depth > maxDepth {
		return apierror.Errorf(code, "%sit is nested too deep", path)
	}
	got, known := kindOf(first)
	fits := known && (got == want.kind || want.kind == isRecord && got == isTable || want.kind == isAny)
	if !fits {
		return apierror.Errorf(code, "%swant %s, not %s", path, kindNames[want.kind], s.describe(got, known))
	}
	switch got {
	case isTable:
		return s.object(want, code, path, depth)
	case isList:
		return s.list(want, code, path, depth)
	}
	s.skip()
	return nil
}

// pass goes over one value that is known to be valid.
func (s *scanner) pass() *apierror.Error {
	decoder := json.NewDecoder(bytes.NewReader(s.data[s.at:]))
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		return apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	s.at += int(decoder.InputOffset())
	return nil
}

func (s *scanner) list(want *shape, code apierror.Code, path *place, depth int) *apierror.Error {
	each := want.each
	if want.kind == isAny {
		each = whole
	}
	s.at++
	for i := 0; s.next() != ']'; i++ {
		if apiErr := s.value(each, code, &place{in: path, number: i}, depth+1); apiErr != nil {
			return apiErr
		}
	}
	s.at++
	return nil
}

func (s *scanner) object(want *shape, code apierror.Code, path *place, depth int) *apierror.Error {
	seen := make(map[string]struct{})
	s.at++
	for s.next() != '}' {
		here := place{in: path, name: s.name(), named: true}
		if _, twice := seen[here.name]; twice {
			return apierror.Errorf(code, "%sgiven twice", &here)
		}
		seen[here.name] = struct{}{}
		inner := want.each
		switch want.kind {
		case isRecord:
			if inner = want.fields[here.name]; inner == nil {
				return apierror.Errorf(apierror.UnknownField, "%sno such field", &here)
			}
		case isAny:
			inner = whole
		}
		if apiErr := s.value(inner, code, &here, depth+1); apiErr != nil {
			return apiErr
		}
	}
	s.at++
	return nil
}

func (s *scanner) describe(got kind, known bool) string {
	switch {
	case !known:
		return "null"
	case got == isList || got == isTable:
		return kindNames[got]
	case got == isText:
		return clip(s.name())
	}
	return clip(string(s.skip()))
}

func kindOf(first byte) (k kind, known bool) {
	switch first {
	case '"':
		return isText, true
	case '[':
		return isList, true
	case '{':
		return isTable, true
	case 't', 'f':
		return isBool, true
	case 'n':
		return isAny, false
	}
	return isNumber, true
}

// place is where in a body a value stands; its text ends in ": " unless it is
// nil, the whole.
type place struct {
	in     *place
	name   string
	named  bool
	number int
}

func (p *place) String() string {
	if p == nil {
		return ""
	}
	name := clip(p.name)
	if !p.named {
		name = strconv.Itoa(p.number)
	}
	return strings.TrimSuffix(p.in.String(), ": ") + dotted(p.in, name) + ": "
}

func dotted(in *place, name string) string {
	if in == nil {
		return name
	}
	return "." + name
}
