package sheet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"stepwick/internal/kernel"
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
)

const maxDepth = 16

var kindNames = [...]string{"a text", "a number", "true or false", "a list", "an object", "an object", "a value"}

type shape struct {
	kind   kind
	each   *shape
	fields map[string]*shape
	code   kernel.Code
}

var (
	text   = &shape{kind: isText}
	number = &shape{kind: isNumber}
	truth  = &shape{kind: isBool}
	whole  = &shape{kind: isAny}
	texts  = &shape{kind: isList, each: text}

	rowShapes = map[string]*shape{
		"services": {kind: isRecord, fields: map[string]*shape{"kind": text, "plain_tokens": number}},
		"weights":  {kind: isTable, each: number},
		"tenants":  {kind: isRecord, fields: map[string]*shape{"rate": number, "burst": number, "home": text, "keys": texts}},
	}
	sheetShape = &shape{kind: isRecord, code: kernel.InvalidSheet, fields: map[string]*shape{
		"services": {kind: isTable, each: rowShapes["services"]},
		"weights":  {kind: isTable, each: rowShapes["weights"]},
		"tenants":  {kind: isTable, each: rowShapes["tenants"]},
		"settings": {kind: isTable, each: text},
	}}
)

// ParseSheet reads a sheet from at most limit bytes of JSON and checks it.
// Unknown or repeated names, nulls, wrong types and trailing data are declined.
func ParseSheet(data []byte, limit int) (*Sheet, *kernel.Fault) {
	if len(data) > limit {
		return nil, kernel.Decline(kernel.SheetTooLarge, "%d bytes; the bound is %d", len(data), limit)
	}
	var s Sheet
	if fault := parse(data, sheetShape, kernel.InvalidSheet, &s); fault != nil {
		return nil, fault
	}
	if fault := s.Check(); fault != nil {
		return nil, fault
	}
	return &s, nil
}

func parse(data []byte, want *shape, code kernel.Code, into any) *kernel.Fault {
	if fault := scan(data, want, code); fault != nil {
		return fault
	}
	if err := json.Unmarshal(data, into); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return kernel.Decline(code, "%s: %s is out of bounds", wrong.Field, clip(wrong.Value))
		}
		return kernel.Decline(kernel.BadJSON, "%v", err)
	}
	return nil
}

func scan(data []byte, want *shape, code kernel.Code) *kernel.Fault {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	s := scanner{tokens: d}
	if fault := s.value(want, code, "", 0); fault != nil {
		return fault
	}
	if _, err := d.Token(); err != io.EOF {
		return kernel.Decline(kernel.BadJSON, "more follows after the value")
	}
	return nil
}

type scanner struct{ tokens *json.Decoder }

func (s scanner) next() (json.Token, *kernel.Fault) {
	token, err := s.tokens.Token()
	if err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, kernel.Decline(kernel.BadJSON, "at byte %d: %v", s.tokens.InputOffset(), err)
	}
	return token, nil
}

func (s scanner) value(want *shape, code kernel.Code, path string, depth int) *kernel.Fault {
	token, fault := s.next()
	if fault != nil {
		return fault
	}
	if want.code != kernel.OK {
		code = want.code
	}
	if depth > maxDepth {
		return kernel.Decline(code, "%sit is nested too deep", at(path))
	}
	got := kindOf(token)
	fits := got == want.kind || want.kind == isRecord && got == isTable || want.kind == isAny && token != nil
	if !fits {
		return kernel.Decline(code, "%swant %s, not %s", at(path), kindNames[want.kind], describe(token))
	}
	switch got {
	case isTable:
		return s.object(want, code, path, depth)
	case isList:
		each := want.each
		if want.kind == isAny {
			each = whole
		}
		for i := 0; s.tokens.More(); i++ {
			if fault := s.value(each, code, join(path, strconv.Itoa(i)), depth+1); fault != nil {
				return fault
			}
		}
		_, fault = s.next()
		return fault
	}
	return nil
}

func (s scanner) object(want *shape, code kernel.Code, path string, depth int) *kernel.Fault {
	seen := make(map[string]struct{})
	for s.tokens.More() {
		token, fault := s.next()
		if fault != nil {
			return fault
		}
		name, _ := token.(string)
		place := join(path, name)
		if _, twice := seen[name]; twice {
			return kernel.Decline(code, "%sgiven twice", at(place))
		}
		seen[name] = struct{}{}
		inner := want.each
		switch want.kind {
		case isRecord:
			if inner = want.fields[name]; inner == nil {
				return kernel.Decline(kernel.UnknownField, "%sno such field", at(place))
			}
		case isAny:
			inner = whole
		}
		if fault := s.value(inner, code, place, depth+1); fault != nil {
			return fault
		}
	}
	_, fault := s.next()
	return fault
}

func kindOf(token json.Token) kind {
	switch t := token.(type) {
	case string:
		return isText
	case json.Number:
		return isNumber
	case bool:
		return isBool
	case json.Delim:
		if t == '[' {
			return isList
		}
		return isTable
	}
	return -1
}

func describe(token json.Token) string {
	if token == nil {
		return "null"
	}
	if got := kindOf(token); got == isList || got == isTable {
		return kindNames[got]
	}
	return clip(fmt.Sprintf("%v", token))
}

func at(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

func join(path, name string) string {
	if path == "" {
		return clip(name)
	}
	return path + "." + clip(name)
}
