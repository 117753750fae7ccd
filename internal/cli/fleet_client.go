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
	// maxResponseBytes is the maximum size of a response body. The rest is not read.
	maxResponseBytes = 64 << 20
	// retryInterval is the minimum delay before a call is repeated.
	retryInterval  = 200 * time.Millisecond
	dialTimeout    = 2 * time.Second
	defaultTimeout = 10 * time.Second
)

// Environment variables that operators' commands read.
const (
	nodeVariable = "STEPWICK_NODE"
	keyVariable  = "STEPWICK_OPERATOR_KEY"
)

// errInterrupted is the error of a command whose context was cancelled.
var errInterrupted = errors.New("interrupted")

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
}

// fleetClient is a client of the operators' API, which every node of the fleet
// serves.
type fleetClient struct {
	app     *App
	nodes   []string
	keyFile string
	// timeout applies to each call of one node.
	timeout time.Duration
}

func (c *fleetClient) register(flags *pflag.FlagSet) {
	flags.StringSliceVar(&c.nodes, "node", nil, "caller addresses (listen.caller) of nodes, tried in turn (default $STEPWICK_NODE)")
	flags.StringVar(&c.keyFile, "key-file", "", "a file with the operator's key (default $STEPWICK_OPERATOR_KEY)")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit for the response of one node")
}

// addresses returns the addresses of the nodes to call, from the flag or the
// environment.
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
		return nil, errors.New("no node address: give --node IP:PORT or set STEPWICK_NODE")
	}
	return nodes, nil
}

// key returns the operator's key, from the key file or the environment.
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

// response is a node's response: a body, or an error with a result code.
type response struct {
	node   string
	body   []byte
	apiErr *apierror.Error
}

// decode decodes the JSON body. An error has the code BadAnswer.
func (r *response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return apierror.Errorf(apierror.BadResponse, "%s: %v", r.node, err)
	}
	return nil
}

// unreachableError is the error of a call that no node answered, with one line for
// each node.
type unreachableError struct {
	lines []string
	// mayHaveArrived is set if a node may have received the call although it sent no
	// response.
	mayHaveArrived bool
}

func (e *unreachableError) Error() string { return strings.Join(e.lines, "\n") }

func (e *unreachableError) apiError() *apierror.Error {
	return &apierror.Error{Code: apierror.CoreUnreachable, Detail: e.Error()}
}

// asUnreachable returns err as an *unreachableError, or nil for any other error.
func asUnreachable(err error) *unreachableError {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return unreachable
	}
	return nil
}

// call sends a call to the nodes in turn, starting with the one at firstIndex, and
// returns the first response. The error is an *unreachableError if no node answered.
func (c *fleetClient) call(ctx context.Context, firstIndex int, method, path string, body []byte) (*response, error) {
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
		index := (firstIndex + i) % len(nodes)
		resp, err := c.send(ctx, nodes[index], key, method, path, body)
		if err == nil {
			return resp, nil
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

// failureReason returns a short description of why a node did not respond.
func failureReason(err error) string {
	var network net.Error
	switch {
	case port.IsConnectionRefused(err):
		return "connection refused"
	case errors.As(err, &network) && network.Timeout():
		return "timed out"
	}
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err.Error()
	}
	return err.Error()
}

// send sends a call to one node and returns its response. An error means that no
// usable response was received.
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
	httpResp, err := c.app.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer httpResp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "incomplete response")
	}
	resp := &response{node: node, body: data}
	if httpResp.StatusCode == http.StatusOK {
		return resp, nil
	}
	var errorBody apierror.ErrorBody
	if err := json.Unmarshal(data, &errorBody); err != nil || errorBody.Code == apierror.OK {
		return nil, errors.Errorf("response with status %s and no result code", httpResp.Status)
	}
	resp.apiErr = &apierror.Error{
		Code:       errorBody.Code,
		Detail:     errorBody.Detail,
		RetryAfter: time.Duration(errorBody.RetryAfterMS) * time.Millisecond,
	}
	return resp, nil
}

// get makes a read-only call, decodes the body of the response into into unless
// that is nil, and returns the body. After an error with a result code, it retries
// the call at the next node, unless the retry advice of the code is RetryNo.
func (c *fleetClient) get(ctx context.Context, path string, into any) ([]byte, error) {
	nodes, err := c.addresses()
	if err != nil {
		return nil, err
	}
	var lastErr *apierror.Error
	for i := range nodes {
		resp, err := c.call(ctx, i, http.MethodGet, path, nil)
		if unreachable := asUnreachable(err); unreachable != nil {
			return nil, unreachable.apiError()
		}
		if err != nil {
			return nil, err
		}
		if resp.apiErr == nil {
			if into != nil {
				if err := resp.decode(into); err != nil {
					return nil, err
				}
			}
			return resp.body, nil
		}
		lastErr = resp.apiErr
		if lastErr.Code.Info().Retry == apierror.RetryNo {
			break
		}
	}
	return nil, lastErr
}
