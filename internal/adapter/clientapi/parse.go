package clientapi

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"stepwick/internal/apierror"

	"github.com/pkg/errors"
)

const (
	idMax      = 128
	nameMax    = 128
	bearerMark = "Bearer "
)

func newID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return "sw-" + hex.EncodeToString(raw[:])
}

func requestID(header http.Header) (string, *apierror.Error) {
	given := header.Values(HeaderRequestID)
	switch {
	case len(given) == 0:
		return newID(), nil
	case len(given) > 1 || !wellFormedID(given[0]):
		return newID(), apierror.Errorf(apierror.BadField, "%s is not one id of 1 to %d letters, digits or ._:-", HeaderRequestID, idMax)
	}
	return given[0], nil
}

func wellFormedID(id string) bool {
	if id == "" || len(id) > idMax {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '_', c == ':', c == '-':
		default:
			return false
		}
	}
	return true
}

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}

func bearerKey(header http.Header) (string, *apierror.Error) {
	given := header.Values("Authorization")
	if len(given) != 1 || !strings.HasPrefix(given[0], bearerMark) {
		return "", apierror.Errorf(apierror.MissingKey, "send one Authorization: Bearer KEY")
	}
	key := strings.TrimSpace(given[0][len(bearerMark):])
	if key == "" {
		return "", apierror.Errorf(apierror.MissingKey, "the key is empty")
	}
	return key, nil
}

func (l Limits) deadlineOf(milliseconds float64) (time.Duration, *apierror.Error) {
	if math.IsNaN(milliseconds) || milliseconds < 1 || milliseconds > float64(l.DeadlineMax.Milliseconds()) || milliseconds != math.Trunc(milliseconds) {
		return 0, apierror.Errorf(apierror.BadDeadline, "a deadline is a whole number of milliseconds from 1 to %d", l.DeadlineMax.Milliseconds())
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

func (l Limits) headerDeadline(header http.Header) (span time.Duration, given bool, apiErr *apierror.Error) {
	values := header.Values(HeaderDeadline)
	if len(values) == 0 {
		return l.DeadlineDefault, false, nil
	}
	milliseconds, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || len(values) > 1 {
		span, apiErr = l.deadlineOf(math.NaN())
		return span, true, apiErr
	}
	span, apiErr = l.deadlineOf(float64(milliseconds))
	return span, true, apiErr
}

// heldBody reads a body whose bytes are held by an exchange.
type heldBody struct {
	io.Reader
	by *exchange
}

func (b heldBody) Read(into []byte) (int, error) {
	n, err := b.Reader.Read(into)
	if apiErr := b.by.hold(n); apiErr != nil {
		return 0, apiErr
	}
	return n, err
}

func (l Limits) readBody(w http.ResponseWriter, r *http.Request, by *exchange) ([]byte, *apierror.Error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > l.BodyMax {
		return nil, apierror.Errorf(apierror.BodyTooLarge, "a body has at most %d bytes", l.BodyMax)
	}
	if r.ContentLength > by.api.bodies.Available() {
		return nil, by.bodiesFull()
	}
	body, err := io.ReadAll(heldBody{http.MaxBytesReader(w, r.Body, l.BodyMax), by})
	if err == nil {
		return body, apierror.From(errors.Wrap(http.NewResponseController(w).SetReadDeadline(time.Time{}), "lift the body's bound of time"))
	}
	var tooLarge *http.MaxBytesError
	var network net.Error
	var full *apierror.Error
	switch {
	case errors.As(err, &full):
		return nil, full
	case errors.As(err, &tooLarge):
		return nil, apierror.Errorf(apierror.BodyTooLarge, "a body has at most %d bytes", l.BodyMax)
	case errors.As(err, &network) && network.Timeout():
		return nil, apierror.Errorf(apierror.SlowBody, "the body did not arrive within %s", l.BodyTimeout)
	}
	return nil, apierror.Errorf(apierror.BadJSON, "the body is not whole")
}

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

func (l Limits) parsePrompt(head Head, data []byte) (*Prompt, *apierror.Error) {
	var body promptBody
	if apiErr := strictJSON(data, &body); apiErr != nil {
		return nil, apiErr
	}
	switch {
	case body.Service == nil || *body.Service == "":
		return nil, apierror.Errorf(apierror.MissingField, "service")
	case body.MaxTokens == nil:
		return nil, apierror.Errorf(apierror.MissingField, "max_tokens")
	case *body.MaxTokens < 1:
		return nil, apierror.Errorf(apierror.BadField, "max_tokens is below 1")
	case body.PrefixTokens < 0 || body.SessionTokens < 0:
		return nil, apierror.Errorf(apierror.BadField, "tokens are below 0")
	case len(*body.Service) > nameMax || len(body.Region) > nameMax || len(body.Home) > nameMax:
		return nil, apierror.Errorf(apierror.BadField, "a name has over %d bytes", nameMax)
	}
	prompt := &Prompt{Head: head, Service: *body.Service, Prefix: body.Prefix, Session: body.Session, PrefixTokens: body.PrefixTokens,
		SessionTokens: body.SessionTokens, MaxTokens: *body.MaxTokens, Region: body.Region, Home: body.Home}
	if prompt.Tokens() > l.TokensMax {
		return nil, apierror.Errorf(apierror.BadField, "a prompt has at most %.0f tokens", l.TokensMax)
	}
	if body.DeadlineMS != nil {
		span, apiErr := l.deadlineOf(*body.DeadlineMS)
		if apiErr != nil {
			return nil, apiErr
		}
		if deadline := head.Arrived.Add(span); !head.bounded || deadline.Before(head.Deadline) {
			prompt.Deadline = deadline
		}
	}
	return prompt, nil
}

func strictJSON(data []byte, into any) *apierror.Error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
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
	if _, err := decoder.Token(); err != io.EOF {
		return apierror.Errorf(apierror.BadJSON, "something follows the JSON object")
	}
	return nil
}
