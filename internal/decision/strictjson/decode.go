package strictjson

import (
	"encoding/json"
	"unicode/utf8"

	"stepwick/internal/apierror"

	"github.com/pkg/errors"
)

// maxExcerptBytes bounds how much of an operator's input an error repeats.
const maxExcerptBytes = 64

// Excerpt truncates external input for use in an error message, at the end of a character.
func Excerpt(text string) string {
	if len(text) <= maxExcerptBytes {
		return text
	}
	end := maxExcerptBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end] + "…"
}

// Decode validates data against the schema and unmarshals it into the value that
// target points to. Invalid JSON is reported as BadJSON, an unknown field as
// UnknownField, and any other violation under the given code (see
// Schema.WithCode). On error, the value may be partly written.
func Decode(data []byte, schema *Schema, code apierror.Code, target any) *apierror.Error {
	if apiErr := Validate(data, schema, code); apiErr != nil {
		return apiErr
	}
	if err := json.Unmarshal(data, target); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return apierror.Errorf(code, "%s: %s is out of bounds", typeError.Field, Excerpt(typeError.Value))
		}
		return apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	return nil
}

// Validate checks that data is exactly one JSON value that conforms to the schema,
// without unknown or repeated names. Its errors have the same codes as Decode's.
func Validate(data []byte, schema *Schema, code apierror.Code) *apierror.Error {
	if !json.Valid(data) {
		return syntaxError(data)
	}
	s := scanner{data: data}
	return s.checkValue(schema, code, nil, 0)
}

// syntaxError returns the error for invalid JSON, with the offset of the first
// syntax error.
func syntaxError(data []byte) *apierror.Error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return apierror.Errorf(apierror.BadJSON, "at byte %d: %v", syntax.Offset, err)
	}
	return apierror.Errorf(apierror.BadJSON, "%v", err)
}
