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

	"github.com/pkg/errors"

	"stepwick/internal/kernel"
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

func requestID(header http.Header) (string, *kernel.Fault) {
	given := header.Values(HeaderRequestID)
	switch {
	case len(given) == 0:
		return newID(), nil
	case len(given) > 1 || !wellFormedID(given[0]):
		return newID(), kernel.Refuse(kernel.BadField, "%s is not one id of 1 to %d letters, digits or ._:-", HeaderRequestID, idMax)
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

func bearerKey(header http.Header) (string, *kernel.Fault) {
	given := header.Values("Authorization")
	if len(given) != 1 || !strings.HasPrefix(given[0], bearerMark) {
		return "", kernel.Refuse(kernel.MissingKey, "send one Authorization: Bearer KEY")
	}
	key := strings.TrimSpace(given[0][len(bearerMark):])
	if key == "" {
		return "", kernel.Refuse(kernel.MissingKey, "the key is empty")
	}
	return key, nil
}

func (l Limits) deadlineOf(milliseconds float64) (kernel.Duration, *kernel.Fault) {
	if math.IsNaN(milliseconds) || milliseconds < 1 || milliseconds > float64(l.DeadlineMax.Milliseconds()) || milliseconds != math.Trunc(milliseconds) {
		return 0, kernel.Refuse(kernel.BadDeadline, "a deadline is a whole number of milliseconds from 1 to %d", l.DeadlineMax.Milliseconds())
	}
	return kernel.Duration(milliseconds) * kernel.Millisecond, nil
}

func (l Limits) headerDeadline(header http.Header) (span kernel.Duration, given bool, fault *kernel.Fault) {
	values := header.Values(HeaderDeadline)
	if len(values) == 0 {
		return l.DeadlineDefault, false, nil
	}
	milliseconds, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil || len(values) > 1 {
		span, fault = l.deadlineOf(math.NaN())
		return span, true, fault
	}
	span, fault = l.deadlineOf(float64(milliseconds))
	return span, true, fault
}

// heldBody reads a body whose bytes are held by an exchange.
type heldBody struct {
	io.Reader
	by *exchange
}

func (b heldBody) Read(into []byte) (int, error) {
	n, err := b.Reader.Read(into)
	if fault := b.by.hold(n); fault != nil {
		return 0, fault
	}
	return n, err
}

func (l Limits) readBody(w http.ResponseWriter, r *http.Request, by *exchange) ([]byte, *kernel.Fault) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > l.BodyMax {
		return nil, kernel.Refuse(kernel.BodyTooLarge, "a body has at most %d bytes", l.BodyMax)
	}
	if r.ContentLength > by.api.bodies.Left() {
		return nil, by.bodiesFull()
	}
	body, err := io.ReadAll(heldBody{http.MaxBytesReader(w, r.Body, l.BodyMax), by})
	if err == nil {
		return body, kernel.AsFault(errors.Wrap(http.NewResponseController(w).SetReadDeadline(kernel.Time{}), "lift the body's bound of time"))
	}
	var tooLarge *http.MaxBytesError
	var network net.Error
	var full *kernel.Fault
	switch {
	case errors.As(err, &full):
		return nil, full
	case errors.As(err, &tooLarge):
		return nil, kernel.Refuse(kernel.BodyTooLarge, "a body has at most %d bytes", l.BodyMax)
	case errors.As(err, &network) && network.Timeout():
		return nil, kernel.Refuse(kernel.SlowBody, "the body did not arrive within %s", l.BodyTimeout)
	}
	return nil, kernel.Refuse(kernel.BadJSON, "the body is not whole")
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

func (l Limits) parsePrompt(head Head, data []byte) (*Prompt, *kernel.Fault) {
	var body promptBody
	if fault := strictJSON(data, &body); fault != nil {
		return nil, fault
	}
	switch {
	case body.Service == nil || *body.Service == "":
		return nil, kernel.Refuse(kernel.MissingField, "service")
	case body.MaxTokens == nil:
		return nil, kernel.Refuse(kernel.MissingField, "max_tokens")
	case *body.MaxTokens < 1:
		return nil, kernel.Refuse(kernel.BadField, "max_tokens is below 1")
	case body.PrefixTokens < 0 || body.SessionTokens < 0:
		return nil, kernel.Refuse(kernel.BadField, "tokens are below 0")
	case len(*body.Service) > nameMax || len(body.Region) > nameMax || len(body.Home) > nameMax:
		return nil, kernel.Refuse(kernel.BadField, "a name has over %d bytes", nameMax)
	}
	prompt := &Prompt{Head: head, Service: *body.Service, Prefix: body.Prefix, Session: body.Session, PrefixTokens: body.PrefixTokens,
		SessionTokens: body.SessionTokens, MaxTokens: *body.MaxTokens, Region: body.Region, Home: body.Home}
	if prompt.Tokens() > l.TokensMax {
		return nil, kernel.Refuse(kernel.BadField, "a prompt has at most %.0f tokens", l.TokensMax)
	}
	if body.DeadlineMS != nil {
		span, fault := l.deadlineOf(*body.DeadlineMS)
		if fault != nil {
			return nil, fault
		}
		if deadline := head.Arrived.Add(span); !head.bounded || deadline.Before(head.Deadline) {
			prompt.Deadline = deadline
		}
	}
	return prompt, nil
}

func strictJSON(data []byte, into any) *kernel.Fault {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		var mistyped *json.UnmarshalTypeError
		if errors.As(err, &mistyped) && mistyped.Field == "deadline_ms" {
			return kernel.Refuse(kernel.BadDeadline, "deadline_ms is no number of milliseconds")
		}
		if errors.As(err, &mistyped) && mistyped.Field != "" {
			return kernel.Refuse(kernel.BadField, "%s is no %s", mistyped.Field, mistyped.Type)
		}
		if name, unknown := strings.CutPrefix(err.Error(), "json: unknown field "); unknown {
			return kernel.Refuse(kernel.UnknownField, "%s", name)
		}
		return kernel.Refuse(kernel.BadJSON, "the body is not one JSON object")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return kernel.Refuse(kernel.BadJSON, "something follows the JSON object")
	}
	return nil
}
