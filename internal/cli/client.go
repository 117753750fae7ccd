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

	"github.com/pkg/errors"
	"github.com/spf13/pflag"

	"stepwick/internal/apierror"
	"stepwick/internal/port"
)

const (
	answerMax   = 64 << 20
	resendAfter = 200 * time.Millisecond
)

func transport() http.RoundTripper {
	return &http.Transport{DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, DisableKeepAlives: true}
}

// link is how an operator's command reaches the fleet.
type link struct {
	app     *App
	nodes   []string
	keyFile string
	timeout time.Duration
}

func (l *link) register(flags *pflag.FlagSet) {
	flags.StringSliceVar(&l.nodes, "node", nil, "caller addresses of nodes, tried in turn (default $STEPWICK_NODE)")
	flags.StringVar(&l.keyFile, "key-file", "", "a file with the operator's key (default $STEPWICK_OPERATOR_KEY)")
	flags.DurationVar(&l.timeout, "timeout", 10*time.Second, "how long one node may take to answer")
}

func (l *link) addresses() ([]string, error) {
	nodes := l.nodes
	if len(nodes) == 0 {
		for _, node := range strings.Split(l.app.Env("STEPWICK_NODE"), ",") {
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

func (l *link) key() (string, error) {
	if l.keyFile != "" {
		data, err := os.ReadFile(l.keyFile)
		if err != nil {
			return "", err
		}
		return strings.TrimSpace(string(data)), nil
	}
	if key := strings.TrimSpace(l.app.Env("STEPWICK_OPERATOR_KEY")); key != "" {
		return key, nil
	}
	return "", errors.New("no operator's key: set STEPWICK_OPERATOR_KEY or give --key-file")
}

type answer struct {
	node   string
	status int
	body   []byte
	apiErr *apierror.Error
}

// unreachable says why no node answered; maybe is set when one may have got the
// call although no answer came.
type unreachable struct {
	lines []string
	maybe bool
}

func (u *unreachable) Error() string { return strings.Join(u.lines, "\n") }

func (u *unreachable) fault() *apierror.Error {
	return &apierror.Error{Code: apierror.CoreUnreachable, Detail: u.Error()}
}

// ask sends one call to the nodes in turn, from the one numbered first on, and
// returns the first answer.
func (l *link) ask(ctx context.Context, first int, method, path string, body []byte) (*answer, error) {
	nodes, err := l.addresses()
	if err != nil {
		return nil, err
	}
	key, err := l.key()
	if err != nil {
		return nil, err
	}
	failed := &unreachable{}
	for i := range nodes {
		at := (first + i) % len(nodes)
		got, err := l.send(ctx, nodes[at], key, method, path, body)
		if err == nil {
			return got, nil
		}
		if ctx.Err() != nil {
			return nil, errors.New("interrupted")
		}
		failed.maybe = failed.maybe || !port.Refused(err)
		failed.lines = append(failed.lines, fmt.Sprintf("node %d of %d (%s) unreachable: %s", at+1, len(nodes), nodes[at], reason(err)))
	}
	return nil, failed
}

func reason(err error) string {
	var timeout net.Error
	switch {
	case port.Refused(err):
		return "refused"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "silent"
	}
	var inner *url.Error
	if errors.As(err, &inner) {
		return inner.Err.Error()
	}
	return err.Error()
}

func (l *link) send(ctx context.Context, node, key, method, path string, body []byte) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := l.app.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerMax))
	if err != nil {
		return nil, errors.Wrap(err, "its answer broke off")
	}
	got := &answer{node: node, status: resp.StatusCode, body: data}
	if resp.StatusCode == http.StatusOK {
		return got, nil
	}
	var told apierror.ErrorBody
	if err := json.Unmarshal(data, &told); err != nil || told.Code == apierror.OK {
		return nil, errors.Errorf("answered %s without a result code", resp.Status)
	}
	got.apiErr = &apierror.Error{Code: told.Code, Detail: told.Detail, RetryAfter: time.Duration(told.RetryAfterMS) * time.Millisecond}
	return got, nil
}

// get asks for something that changes nothing.
func (l *link) get(ctx context.Context, path string, into any) ([]byte, error) {
	nodes, err := l.addresses()
	if err != nil {
		return nil, err
	}
	var last *apierror.Error
	for i := range nodes {
		got, err := l.ask(ctx, i, http.MethodGet, path, nil)
		if failed, ok := err.(*unreachable); ok {
			return nil, failed.fault()
		}
		if err != nil {
			return nil, err
		}
		if got.apiErr == nil {
			if into != nil {
				if err := json.Unmarshal(got.body, into); err != nil {
					return nil, apierror.Errorf(apierror.BadAnswer, "%s: %v", got.node, err)
				}
			}
			return got.body, nil
		}
		last = got.apiErr
		if advice := last.Code.Info().Retry; advice == apierror.RetryNo {
			break
		}
	}
	return nil, last
}

// outcome is the answer to an order that is in force.
type outcome struct {
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	InForce      bool   `json:"in_force"`
	Confirmed    int    `json:"confirmed"`
	Roster       int    `json:"roster"`
	OrderID      string `json:"order_id"`
}

// order sends an order and, while its outcome is pending, sends it again with
// the same id, to the next node each time, until the wait ends.
func (l *link) order(ctx context.Context, method, path, orderID string, body any, wait time.Duration) (*outcome, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	until := l.app.Clock.Now().Add(wait)
	reached := false
	for attempt := 0; ; attempt++ {
		got, err := l.ask(ctx, attempt, method, path, data)
		if ctx.Err() != nil {
			return nil, apierror.Errorf(apierror.OutcomePending, "interrupted\nsend it again with --order-id %s", orderID)
		}
		failed, missed := err.(*unreachable)
		if err != nil && !missed {
			return nil, err
		}
		var apiErr *apierror.Error
		pause := resendAfter
		switch {
		case missed:
			reached = reached || failed.maybe
			apiErr = failed.fault()
			if !reached {
				return nil, apiErr
			}
		case got.apiErr == nil:
			var done outcome
			if err := json.Unmarshal(got.body, &done); err != nil {
				return nil, apierror.Errorf(apierror.BadAnswer, "%s: %v", got.node, err)
			}
			return &done, nil
		default:
			apiErr = got.apiErr
			if apiErr.Code.Info().Retry != apierror.RetrySame {
				return nil, apiErr
			}
			reached = reached || apiErr.Code == apierror.OutcomePending
			pause = max(pause, min(apiErr.RetryAfter, time.Second))
		}
		if l.app.Clock.Now().Add(pause).After(until) {
			if !reached {
				return nil, apiErr
			}
			return nil, apierror.Errorf(apierror.OutcomePending, "%s\nsend it again with --order-id %s", told(apiErr), orderID)
		}
		fmt.Fprintf(l.app.Err, "pending: %s; sending order %s again\n", strings.ReplaceAll(told(apiErr), "\n", "; "), orderID)
		select {
		case <-l.app.Clock.After(pause):
		case <-ctx.Done():
			return nil, apierror.Errorf(apierror.OutcomePending, "interrupted\nsend it again with --order-id %s", orderID)
		}
	}
}
