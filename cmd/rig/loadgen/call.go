package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

const (
	requestIDHeader = "Stepwick-Request-Id"
	deadlineHeader  = "Stepwick-Deadline-Ms"
	codeHeader      = "Stepwick-Code"

	// minAttemptTime is the minimum time for an attempt, even after the deadline.
	minAttemptTime = 50 * time.Millisecond
	// answerGrace is the time for which a caller waits beyond the deadline.
	answerGrace = 1500 * time.Millisecond

	avoidUnreachable = 2 * time.Second // after a failed connection attempt
	avoidFailed      = time.Second     // after a timeout, a broken connection or a rejection by the node
)

// Call is one request of a caller, which may take several attempts.
type Call struct {
	Tenant       Tenant
	Location     fleet.Location // of the caller
	Prefix       int            // index of the prompt prefix, from 0
	BehaviorDraw float64        // random number, 0 to 1, that decides whether the caller abandons a stream or reads it slowly
	FrontIndex   uint64         // selects one of the usable fronts
	FrontAddress string         // if set, the call uses only this front and is not retried
}

// Do makes attempts until one was or may have been executed or no retries are left, and
// returns the last attempt.
func (c *Callers) Do(ctx context.Context, call Call) history.Attempt {
	tried := map[string]bool{}
	deadline := c.Recorder.Now() + call.Tenant.Deadline
	for retry := 0; ; retry++ {
		address := call.FrontAddress
		if address == "" {
			address = c.fronts.choose(call.Location, c.nodeAddresses(), call.FrontIndex+uint64(retry), tried)
		}
		attempt := c.sendAttempt(call, address, deadline)
		c.Recorder.AddAttempt(attempt)
		c.counts.Post(func(counts *Counts) { counts.count(attempt) })
		retriable := c.avoidFailedFront(attempt, address)
		if !retriable || retry >= c.Behavior.Retries || call.FrontAddress != "" || ctx.Err() != nil {
			return attempt
		}
		tried[address] = true
	}
}

// avoidFailedFront makes callers avoid the front of a failed attempt for a while. It
// reports whether the request was certainly not executed, so that it may be retried
// through another front.
func (c *Callers) avoidFailedFront(attempt history.Attempt, address string) (retriable bool) {
	switch {
	case attempt.Outcome == history.Unsent:
		c.fronts.avoidFor(address, avoidUnreachable)
		return true
	case attempt.Outcome == history.TimedOut, attempt.Outcome == history.ConnectionBroken:
		c.fronts.avoidFor(address, avoidFailed)
		return false
	case attempt.Code == int(apierror.NoAuthority), attempt.Code == int(apierror.FrontDraining):
		c.fronts.avoidFor(address, avoidFailed)
		return true
	}
	return false
}

// nodeAt returns the name of the node at an address, or the address if there is none.
func (c *Callers) nodeAt(address string) string {
	for _, node := range c.Fleet.Nodes {
		if node.CallerAddress == address {
			return node.Name
		}
	}
	return address
}

// sendAttempt sends a call once, through the front at an address.
func (c *Callers) sendAttempt(call Call, address string, deadline history.Instant) history.Attempt {
	attempt := c.newAttempt(call, address, deadline)
	remaining := remainingTime(attempt)
	req := callRequest(call, address, attempt.Token, remaining)
	c.perform(&attempt, req, address, remaining+answerGrace, call.BehaviorDraw)
	attempt.Done = c.Recorder.Now()
	return attempt
}

// remainingTime returns the time from the sending of an attempt to its deadline, but at
// least minAttemptTime.
func remainingTime(attempt history.Attempt) time.Duration {
	return max(attempt.Deadline-attempt.Sent, minAttemptTime)
}

// newAttempt returns an attempt with a new token that is to be sent now.
func (c *Callers) newAttempt(call Call, address string, deadline history.Instant) history.Attempt {
	tenant := call.Tenant
	return history.Attempt{
		Token:    fmt.Sprintf("t%d-%d", c.seed, c.serial.Add(1)),
		Kind:     tenant.Kind,
		Tenant:   tenant.Name,
		Service:  tenant.Service,
		Front:    c.nodeAt(address),
		Region:   call.Location.Region,
		Tokens:   tenant.Tokens(),
		Sent:     c.Recorder.Now(),
		Deadline: deadline,
	}
}

// promptRequest is the body of POST /v1/prompt.
type promptRequest struct {
	DeadlineMs    int64  `json:"deadline_ms"`
	Home          string `json:"home,omitempty"`
	MaxTokens     int    `json:"max_tokens"`
	Prefix        string `json:"prefix"`
	PrefixTokens  int    `json:"prefix_tokens"`
	Region        string `json:"region"`
	Service       string `json:"service"`
	Session       string `json:"session"`
	SessionTokens int    `json:"session_tokens"`
}

// callRequest returns the HTTP request of an attempt through a front.
func callRequest(call Call, address, token string, remaining time.Duration) *http.Request {
	tenant := call.Tenant
	var req *http.Request
	switch tenant.Kind {
	case history.KindStream:
		req = newJSONRequest(address, "/v1/prompt", promptRequest{
			DeadlineMs:    remaining.Milliseconds(),
			Home:          tenant.Home,
			MaxTokens:     tenant.MaxTokens,
			Prefix:        call.prefix(),
			PrefixTokens:  tenant.PrefixTokens,
			Region:        call.Location.Region,
			Service:       tenant.Service,
			Session:       session(token),
			SessionTokens: tenant.SessionTokens,
		})
	case history.KindPost:
		body := strings.NewReader(`{"order":"token=` + token + `"}`)
		req = newRequest(http.MethodPost, address, "/v1/call/"+tenant.Service+"/orders", body)
		req.Header.Set("Content-Type", "application/json")
	default:
		req = newRequest(http.MethodGet, address, "/v1/call/"+tenant.Service+"/map?token="+token, nil)
	}
	req.Header.Set("Authorization", "Bearer "+tenant.Key)
	req.Header.Set(requestIDHeader, token)
	req.Header.Set(deadlineHeader, strconv.FormatInt(remaining.Milliseconds(), 10))
	return req
}

func (c Call) prefix() string { return fmt.Sprintf("%s prefix %d", c.Tenant.Name, c.Prefix) }

// session returns the session text of a prompt, which contains the attempt's token.
func session(token string) string { return "token=" + token }

func newJSONRequest(address, path string, body any) *http.Request {
	data, _ := json.Marshal(body)
	req := newRequest(http.MethodPost, address, path, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	return req
}

// generateRequest is the body of POST /v1/generate at a model server.
type generateRequest struct {
	ID            string `json:"id"`
	MaxTokens     int    `json:"max_tokens"`
	Prefix        string `json:"prefix"`
	PrefixTokens  int    `json:"prefix_tokens"`
	Service       string `json:"service"`
	Session       string `json:"session"`
	SessionTokens int    `json:"session_tokens"`
}

// DoAtServer sends a call directly to a server, in the servers' protocol and over pooled
// connections. The attempt is not recorded.
func (c *Callers) DoAtServer(call Call, address string) history.Attempt {
	tenant := call.Tenant
	attempt := history.Attempt{
		Token:   fmt.Sprintf("d%d-%d", c.seed, c.serial.Add(1)),
		Kind:    tenant.Kind,
		Tenant:  tenant.Name,
		Service: tenant.Service,
		Sent:    c.Recorder.Now(),
	}
	attempt.Deadline = attempt.Sent + tenant.Deadline
	req := serverRequest(call, address, attempt.Token)
	c.perform(&attempt, req, address, tenant.Deadline, neutralBehaviorDraw)
	attempt.Done = c.Recorder.Now()
	return attempt
}

// neutralBehaviorDraw is a Chance at which a caller neither abandons a stream nor reads slowly.
const neutralBehaviorDraw = 0.5

func serverRequest(call Call, address, token string) *http.Request {
	tenant := call.Tenant
	var req *http.Request
	if tenant.Kind == history.KindStream {
		data, _ := json.Marshal(generateRequest{
			ID:            token,
			MaxTokens:     tenant.MaxTokens,
			Prefix:        call.prefix(),
			PrefixTokens:  tenant.PrefixTokens,
			Service:       tenant.Service,
			Session:       session(token),
			SessionTokens: tenant.SessionTokens,
		})
		req = newRequest(http.MethodPost, address, "/v1/generate", bytes.NewReader(data))
	} else {
		req = newRequest(http.MethodGet, address, "/map?token="+token, nil)
	}
	req.Header.Set(requestIDHeader, token)
	return req
}
