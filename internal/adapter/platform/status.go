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

// errOutOfBounds means that a figure of a status is negative, too large or no
// number.
var errOutOfBounds = errors.New("a figure is out of its bounds")

// statusBody is the JSON form of a server's status.
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

// Status polls a server for its own status, which holds neither its region nor its
// zone. A server that has no such call is reachable, with no figures. The error
// explains an outcome other than port.PollAnswered.
func (c *Client) Status(ctx context.Context, name, address string) (*wire.ServerStatus, port.PollOutcome, error) {
	answer, err := c.get(ctx, "http://"+address+statusPath, c.config.StatusLimit, "")
	if err != nil {
		return nil, failedPoll(err), errors.Wrap(err, "server status")
	}
	switch answer.statusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return &wire.ServerStatus{Name: name, Reachable: true}, port.PollAnswered, nil
	default:
		return nil, port.PollMalformed, errors.Wrap(statusError{answer.statusCode}, "server status")
	}
	status, err := ParseStatus(name, answer.body)
	if err != nil {
		return nil, port.PollMalformed, err
	}
	return status, port.PollAnswered, nil
}

// failedPoll returns the outcome of a poll whose response could not be read.
func failedPoll(err error) port.PollOutcome {
	switch {
	case port.IsConnectionRefused(err):
		return port.PollRefused
	case errors.Is(err, errBodyTooLong):
		return port.PollMalformed
	}
	return port.PollUnanswered
}

// ParseStatus parses the body of a status, which must be the named server's.
func ParseStatus(name string, data []byte) (*wire.ServerStatus, error) {
	var body statusBody
	if err := decodeOne(data, &body); err != nil {
		return nil, errors.Wrap(err, "server status")
	}
	state, known := serverStates[body.State]
	switch {
	case body.Server != name:
		return nil, errors.Errorf("server status: %q answers in the place of %q", body.Server, name)
	case !known:
		return nil, errors.Errorf("server status: unknown state %q", body.State)
	case !body.isWithinBounds():
		return nil, errors.Wrap(errOutOfBounds, "server status")
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

// isWithinBounds reports whether all rates and fractions are valid.
func (b *statusBody) isWithinBounds() bool {
	return isWithin(b.TokensPerSecond, math.MaxFloat64) &&
		isWithin(b.PrefillPerSecond, math.MaxFloat64) &&
		isWithin(b.KVUsed, 1)
}

func isWithin(value, most float64) bool { return value >= 0 && value <= most }
