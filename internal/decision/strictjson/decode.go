package strictjson

import (
	"encoding/json"

	"stepwick/internal/apierror"

	"github.com/pkg/errors"
)

// maxExcerpt bounds, in bytes, how much of an operator's text an error repeats.
const maxExcerpt = 64

// Excerpt shortens a text that came from outside, for use in an error.
func Excerpt(text string) string {
	if len(text) > maxExcerpt {
		return text[:maxExcerpt] + "…"
	}
	return text
}

// Decode validates data against the schema and unmarshals it into the value
// that into points to. Faults of form have the given code, BadJSON or
// UnknownField; on a fault, the value may be partly written.
func Decode(data []byte, schema *Schema, code apierror.Code, into any) *apierror.Error {
	if apiErr := Validate(data, schema, code); apiErr != nil {
		return apiErr
	}
	if err := json.Unmarshal(data, into); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return apierror.Errorf(code, "%s: %s is out of bounds", typeError.Field, Excerpt(typeError.Value))
		}
		return apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	return nil
}

// Validate checks that data is exactly one JSON value that follows the schema,
// with no name unknown or repeated.
func Validate(data []byte, schema *Schema, code apierror.Code) *apierror.Error {
	if !json.Valid(data) {
		return syntaxError(data)
	}
	s := scanner{data: data}
	return s.value(schema, code, nil, 0)
}

// syntaxError reports where data, which is not valid JSON, breaks the syntax.
func syntaxError(data []byte) *apierror.Error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return apierror.Errorf(apierror.BadJSON, "at byte %d: %v", syntax.Offset, err)
	}
	return apierror.Errorf(apierror.BadJSON, "%v", err)
}
