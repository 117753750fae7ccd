package clientapi

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// promptBody is the JSON form of a prompt. Pointers tell a missing field from a
// zero.
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

// parsePrompt parses and checks the body of a prompt. Of two deadlines, in the
// header and in the body, the earlier one holds.
func (l Limits) parsePrompt(head Head, data []byte) (*Prompt, *apierror.Error) {
	var body promptBody
	if apiErr := decodeStrict(data, &body); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := body.check(); apiErr != nil {
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
		Home:          body.Home,
	}
	if prompt.Tokens() > l.TokensMax {
		return nil, apierror.Errorf(apierror.BadField, "a prompt has at most %.0f tokens", l.TokensMax)
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

// check returns the first fault of the fields, or nil.
func (body *promptBody) check() *apierror.Error {
	switch {
	case body.Service == nil || *body.Service == "":
		return apierror.Errorf(apierror.MissingField, "service")
	case body.MaxTokens == nil:
		return apierror.Errorf(apierror.MissingField, "max_tokens")
	case *body.MaxTokens < 1:
		return apierror.Errorf(apierror.BadField, "max_tokens is below 1")
	case body.PrefixTokens < 0 || body.SessionTokens < 0:
		return apierror.Errorf(apierror.BadField, "tokens are below 0")
	case len(*body.Service) > maxNameLength || len(body.Region) > maxNameLength || len(body.Home) > maxNameLength:
		return apierror.Errorf(apierror.BadField, "a name has over %d bytes", maxNameLength)
	}
	return nil
}

// decodeStrict decodes exactly one JSON object without unknown fields.
func decodeStrict(data []byte, into any) *apierror.Error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return apierror.Errorf(apierror.BadJSON, "something follows the JSON object")
	}
	return nil
}

// decodeError converts an error of encoding/json to the code that callers get.
func decodeError(err error) *apierror.Error {
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) && mistyped.Field == "deadline_ms" {
		return apierror.Errorf(apierror.BadDeadline, "deadline_ms is no number of milliseconds")
	}
	if errors.As(err, &mistyped) && mistyped.Field != "" {
		return apierror.Errorf(apierror.BadField, "%s is no %s", mistyped.Field, mistyped.Type)
	}
	if name, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
		return apierror.Errorf(apierror.UnknownField, "%s", name)
	}
	return apierror.Errorf(apierror.BadJSON, "the body is not one JSON object")
}
