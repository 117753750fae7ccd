package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/port"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
)

const (
	controlPath = "/v1/control/"
	// maxResponseBytes bounds the body of a response that is read.
	maxResponseBytes = 64 << 20
	// retryInterval is the shortest wait before a call is repeated.
	retryInterval  = 200 * time.Millisecond
	dialTimeout    = 2 * time.Second
	defaultTimeout = 10 * time.Second
)

// Environment variables of operators' commands.
const (
	nodeVariable = "STEPWICK_NODE"
	keyVariable  = "STEPWICK_OPERATOR_KEY"
)

// errInterrupted ends a command whose context was cancelled by a signal.
var errInterrupted = errors.New("interrupted")

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
}

// fleetClient calls the operators' API at any node of the fleet.
type fleetClient struct {
	app     *App
	nodes   []string
	keyFile string
	// timeout bounds each node's response.
	timeout time.Duration
}

func (c *fleetClient) register(flags *pflag.FlagSet) {
	flags.StringSliceVar(&c.nodes, "node", nil, "caller addresses of nodes, tried in turn (default $STEPWICK_NODE)")
	flags.StringVar(&c.keyFile, "key-file", "", "a file with the operator's key (default $STEPWICK_OPERATOR_KEY)")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long one node may take to answer")
}

// addresses returns the nodes to call, from the flag or the environment.
func (c *fleetClient) addresses() ([]string, error) {
	nodes := c.nodes
	if len(nodes) == 0 {
		for node := range strings.SplitSeq(c.app.Env(nodeVariable), ",") {
			if node = strings.TrimSpace(node); node != "" {
				nodes = append(nodes, node)
			}
		}
	}
	if len(nodes) == 0 {
		return nil, errors.New("no node named: give --node IP:PORT or set STEPWICK_NODE")
	}
	return nodes, nil
}

// key returns the operator's key, from a file or the environment.
func (c *fleetClient) key() (string, error) {
	if c.keyFile != "" {
		data, err := os.ReadFile(c.keyFile)
		if err != nil {
			return "", err
		}
		return strings.TrimSpace(string(data)), nil
	}
	if key := strings.TrimSpace(c.app.Env(keyVariable)); key != "" {
		return key, nil
	}
	return "", errors.New("no operator's key: set STEPWICK_OPERATOR_KEY or give --key-file")
}

// response is a node's answer: a body, or an error with a result code.
type response struct {
	node   string
	body   []byte
	apiErr *apierror.Error
}

// decode decodes the body; the error has the code BadAnswer.
func (r *response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return apierror.Errorf(apierror.BadAnswer, "%s: %v", r.node, err)
	}
	return nil
}

// unreachableError reports why no node answered, one line a node.
type unreachableError struct {
	lines []string
	// mayHaveArrived is set where a node may have received the call although no
	// response came.
	mayHaveArrived bool
}

func (e *unreachableError) Error() string { return strings.Join(e.lines, "\n") }

func (e *unreachableError) apiError() *apierror.Error {
	return &apierror.Error{Code: apierror.CoreUnreachable, Detail: e.Error()}
}

// asUnreachable returns the error as an unreachableError; nil for any other.
func asUnreachable(err error) *unreachableError {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return unreachable
	}
	return nil
}

// call sends one call to the nodes in turn, beginning with the one at the index
// first, and returns the first response. The error is an *unreachableError where
// no node answered.
func (c *fleetClient) call(ctx context.Context, first int, method, path string, body []byte) (*response, error) {
	nodes, err := c.addresses()
	if err != nil {
		return nil, err
	}
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	unreachable := &unreachableError{}
	for i := range nodes {
		index := (first + i) % len(nodes)
		answer, err := c.send(ctx, nodes[index], key, method, path, body)
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			return nil, errInterrupted
		}
		if !port.IsConnectionRefused(err) {
			unreachable.mayHaveArrived = true
		}
		unreachable.lines = append(unreachable.lines,
			fmt.Sprintf("node %d of %d (%s) unreachable: %s", index+1, len(nodes), nodes[index], failureReason(err)))
	}
	return nil, unreachable
}

// failureReason returns in few words why a node didn't answer.
func failureReason(err error) string {
	var network net.Error
	switch {
	case port.IsConnectionRefused(err):
		return "refused"
	case errors.As(err, &network) && network.Timeout():
		return "silent"
	}
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err.Error()
	}
	return err.Error()
}

// send sends one call to one node.
func (c *fleetClient) send(ctx context.Context, node, key, method, path string, body []byte) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.app.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "its answer broke off")
	}
	answer := &response{node: node, body: data}
	if resp.StatusCode == http.StatusOK {
		return answer, nil
	}
	var errorBody apierror.ErrorBody
	if err := json.Unmarshal(data, &errorBody); err != nil || errorBody.Code == apierror.OK {
		return nil, errors.Errorf("answered %s without a result code", resp.Status)
	}
	answer.apiErr = &apierror.Error{
		Code:       errorBody.Code,
		Detail:     errorBody.Detail,
		RetryAfter: time.Duration(errorBody.RetryAfterMS) * time.Millisecond,
	}
	return answer, nil
}

// get makes a call that changes nothing and returns the response's body, also
// decoded unless into is nil. A node's error is retried at the next node unless
// the same is to be expected there.
func (c *fleetClient) get(ctx context.Context, path string, into any) ([]byte, error) {
	nodes, err := c.addresses()
	if err != nil {
		return nil, err
	}
	var lastErr *apierror.Error
	for i := range nodes {
		answer, err := c.call(ctx, i, http.MethodGet, path, nil)
		if unreachable := asUnreachable(err); unreachable != nil {
			return nil, unreachable.apiError()
		}
		if err != nil {
			return nil, err
		}
		if answer.apiErr == nil {
			if into != nil {
				if err := answer.decode(into); err != nil {
					return nil, err
				}
			}
			return answer.body, nil
		}
		lastErr = answer.apiErr
		if lastErr.Code.Info().Retry == apierror.RetryNo {
			break
		}
	}
	return nil, lastErr
}
