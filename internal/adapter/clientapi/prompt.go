package clientapi

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// promptBody is the JSON form of a prompt. The pointers distinguish a missing field
// from a zero value.
type promptBody struct {
	Service       *string  `json:"service"`
	Prefix        string   `json:"prefix"`
	Session       string   `json:"session"`
	PrefixTokens  int      `json:"prefix_tokens"`
	SessionTokens int      `json:"session_tokens"`
	MaxTokens     *int     `json:"max_tokens"`
	DeadlineMS    *float64 `json:"deadline_ms"`
	Region        string   `json:"region"`
	Home          string   `json:"home"`
}

// parsePrompt parses and validates the body of a prompt. If both the header and the
// body contain a deadline, the earlier one applies.
func (l Limits) parsePrompt(head Head, data []byte) (*Prompt, *apierror.Error) {
	var body promptBody
	if apiErr := decodeStrict(data, &body); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := body.validate(); apiErr != nil {
		return nil, apiErr
	}
	prompt := &Prompt{
		Head:          head,
		Service:       *body.Service,
		Prefix:        body.Prefix,
		Session:       body.Session,
		PrefixTokens:  body.PrefixTokens,
		SessionTokens: body.SessionTokens,
		MaxTokens:     *body.MaxTokens,
		Region:        body.Region,
		HomeRegion:    body.Home,
	}
	if prompt.Tokens() > l.MaxPromptTokens {
		return nil, apierror.Errorf(apierror.BadField, "the prompt has %.0f tokens; the limit is %.0f", prompt.Tokens(), l.MaxPromptTokens)
	}
	if body.DeadlineMS != nil {
		timeout, apiErr := l.parseDeadline(*body.DeadlineMS)
		if apiErr != nil {
			return nil, apiErr
		}
		if deadline := head.Arrived.Add(timeout); !head.deadlineGiven || deadline.Before(head.Deadline) {
			prompt.Deadline = deadline
		}
	}
	return prompt, nil
}

// validate returns an error for the first invalid field, or nil.
func (body *promptBody) validate() *apierror.Error {
	switch {
	case body.Service == nil || *body.Service == "":
		return apierror.Errorf(apierror.MissingField, "service")
	case body.MaxTokens == nil:
		return apierror.Errorf(apierror.MissingField, "max_tokens")
	case *body.MaxTokens < 1:
		return apierror.Errorf(apierror.BadField, "max_tokens must be at least 1")
	case body.PrefixTokens < 0 || body.SessionTokens < 0:
		return apierror.Errorf(apierror.BadField, "prefix_tokens and session_tokens must not be negative")
	case len(*body.Service) > maxNameLength || len(body.Region) > maxNameLength || len(body.Home) > maxNameLength:
		return apierror.Errorf(apierror.BadField, "service, region or home is longer than %d bytes", maxNameLength)
	}
	return nil
}

// decodeStrict decodes exactly one JSON object without unknown fields.
func decodeStrict(data []byte, target any) *apierror.Error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return apierror.Errorf(apierror.BadJSON, "unexpected data after the JSON object")
	}
	return nil
}

// decodeError converts an error of encoding/json to one with a result code.
func decodeError(err error) *apierror.Error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field == "deadline_ms" {
		return apierror.Errorf(apierror.BadDeadline, "deadline_ms must be a number of milliseconds")
	}
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return apierror.Errorf(apierror.BadField, "%s must be of type %s", typeErr.Field, typeErr.Type)
	}
	if name, isUnknownField := strings.CutPrefix(err.Error(), "json: unknown field "); isUnknownField {
		return apierror.Errorf(apierror.UnknownField, "%s", name)
	}
	return apierror.Errorf(apierror.BadJSON, "the body is not a valid JSON object")
}
