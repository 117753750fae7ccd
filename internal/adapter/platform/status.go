package platform

import (
	"context"
	"math"
	"net/http"

	"github.com/pkg/errors"

	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const statusPath = "/v1/status"

// errOutOfBounds means that a rate or fraction in a status is negative, too large or
// not a number.
var errOutOfBounds = errors.New("value out of bounds")

// statusBody is the JSON representation of a server's status.
type statusBody struct {
	Server           string  `json:"server"`
	Incarnation      uint64  `json:"incarnation"`
	State            string  `json:"state"`
	Slots            uint32  `json:"slots"`
	Running          uint32  `json:"running"`
	Queued           uint32  `json:"queued"`
	TokensPerSecond  float64 `json:"tokens_per_second"`
	PrefillPerSecond float64 `json:"prefill_per_second"`
	KVUsed           float64 `json:"kv_used"` // 0 to 1
	Answered         uint64  `json:"answered"`
}

// Status polls a server for the status that it reports, which holds neither its region
// nor its zone. A server that doesn't implement the call is reported as reachable without
// figures. The error is non-nil for an outcome other than port.PollAnswered.
func (c *Client) Status(ctx context.Context, name, address string) (*wire.ServerStatus, port.PollOutcome, error) {
	resp, err := c.get(ctx, "http://"+address+statusPath, c.config.StatusLimit, "")
	if err != nil {
		return nil, outcomeOfFailure(err), errors.Wrap(err, "server status")
	}
	switch resp.statusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return &wire.ServerStatus{Name: name, Reachable: true}, port.PollAnswered, nil
	default:
		return nil, port.PollMalformed, errors.Wrap(statusError{resp.statusCode}, "server status")
	}
	status, err := ParseStatus(name, resp.body)
	if err != nil {
		return nil, port.PollMalformed, err
	}
	return status, port.PollAnswered, nil
}

// outcomeOfFailure returns the outcome of a poll whose response could not be read in full.
func outcomeOfFailure(err error) port.PollOutcome {
	switch {
	case port.IsConnectionRefused(err):
		return port.PollRefused
	case errors.Is(err, errBodyTooLarge):
		return port.PollMalformed
	}
	return port.PollUnanswered
}

// ParseStatus parses the body of a status, which must be that of the named server.
func ParseStatus(name string, data []byte) (*wire.ServerStatus, error) {
	var body statusBody
	if err := decodeSingleValue(data, &body); err != nil {
		return nil, errors.Wrap(err, "server status")
	}
	state, isKnown := serverStates[body.State]
	switch {
	case body.Server != name:
		return nil, errors.Errorf("server status: response is from %q, want %q", body.Server, name)
	case !isKnown:
		return nil, errors.Errorf("server status: unknown state %q", body.State)
	case !body.isWithinBounds():
		return nil, errors.Wrapf(errOutOfBounds, "server status: tokens_per_second %g, prefill_per_second %g, kv_used %g",
			body.TokensPerSecond, body.PrefillPerSecond, body.KVUsed)
	}
	return &wire.ServerStatus{
		Name:             name,
		State:            state,
		Incarnation:      body.Incarnation,
		Slots:            body.Slots,
		Running:          body.Running,
		Queued:           body.Queued,
		TokensPerSecond:  body.TokensPerSecond,
		PrefillPerSecond: body.PrefillPerSecond,
		KvUsed:           body.KVUsed,
		Reachable:        true,
		Answered:         body.Answered,
	}, nil
}

// isWithinBounds reports whether the rates and the fraction of the KV cache used are
// valid.
func (b *statusBody) isWithinBounds() bool {
	return isWithin(b.TokensPerSecond, math.MaxFloat64) &&
		isWithin(b.PrefillPerSecond, math.MaxFloat64) &&
		isWithin(b.KVUsed, 1)
}

func isWithin(value, maxValue float64) bool { return value >= 0 && value <= maxValue }
