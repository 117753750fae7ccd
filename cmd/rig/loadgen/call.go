package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// Call is one wish of a caller; it may take several attempts.
type Call struct {
	Tenant Tenant
	Place  fleet.Place
	Prefix int
	Draw   float64
	Pick   uint64
	Front  string // set to send to this address only
}

// Call makes attempts until one ran or may have run.
func (c *Crowd) Call(ctx context.Context, call Call) history.Attempt {
	tried := map[string]bool{}
	until := c.Book.Now() + call.Tenant.Deadline
	for try := 0; ; try++ {
		address := call.Front
		if address == "" {
			address = c.front(call.Place, call.Pick+uint64(try), tried)
		}
		a := c.attempt(call, address, until)
		c.Book.AddAttempt(a)
		c.tally.Post(func(t *Tally) { t.count(a) })
		again := false
		switch {
		case a.Outcome == history.Unsent:
			c.shun(address, 2*time.Second)
			again = true
		case a.Outcome == history.TimedOut, a.Outcome == history.ConnectionBroken:
			c.shun(address, time.Second)
		case a.Code == int(apierror.NotRuling), a.Code == int(apierror.FrontLeaving):
			c.shun(address, time.Second)
			again = true
		}
		if !again || try >= c.Mood.Retries || call.Front != "" || ctx.Err() != nil {
			return a
		}
		tried[address] = true
	}
}

func (t *Tally) count(a history.Attempt) {
	switch a.Outcome {
	case history.Served, history.Abandoned:
		t.Served++
	case history.Rejected:
		t.Refused++
	case history.Unsent:
		t.Unsent++
	default:
		t.Failed++
	}
}

func (c *Crowd) nodeAt(address string) string {
	for _, n := range c.Fleet.Nodes {
		if n.Caller == address {
			return n.Name
		}
	}
	return address
}

func (c *Crowd) attempt(call Call, address string, until history.Instant) history.Attempt {
	t := call.Tenant
	token := fmt.Sprintf("t%d-%d", c.seed, c.serial.Add(1))
	a := history.Attempt{Token: token, Kind: t.Kind, Tenant: t.Name, Service: t.Service, Front: c.nodeAt(address), Region: call.Place.Region,
		Tokens: t.Tokens(), Sent: c.Book.Now(), Deadline: until}
	left := max(until-a.Sent, 50*time.Millisecond)
	var req *http.Request
	switch t.Kind {
	case "stream":
		fields := map[string]any{"service": t.Service, "prefix": fmt.Sprintf("%s prefix %d", t.Name, call.Prefix), "session": "token=" + token,
			"prefix_tokens": t.PrefixTokens, "session_tokens": t.SessionTokens, "max_tokens": t.MaxTokens, "deadline_ms": left.Milliseconds(), "region": call.Place.Region}
		if t.Home != "" {
			fields["home"] = t.Home
		}
		body, _ := json.Marshal(fields)
		req, _ = http.NewRequest(http.MethodPost, "http://"+address+"/v1/prompt", bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
	case "post":
		req, _ = http.NewRequest(http.MethodPost, "http://"+address+"/v1/call/"+t.Service+"/orders", strings.NewReader(`{"order":"token=`+token+`"}`))
		req.Header.Set("Content-Type", "application/json")
	default:
		req, _ = http.NewRequest(http.MethodGet, "http://"+address+"/v1/call/"+t.Service+"/map?token="+token, nil)
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	req.Header.Set("Stepwick-Request-Id", token)
	req.Header.Set("Stepwick-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	c.perform(&a, req, address, left+1500*time.Millisecond, call.Draw)
	a.Done = c.Book.Now()
	return a
}

// Direct sends a call to a server itself, by the servers' protocol and over
// kept-alive connections, and leaves it out of the ledger's attempts.
func (c *Crowd) Direct(call Call, address string) history.Attempt {
	t := call.Tenant
	a := history.Attempt{Token: fmt.Sprintf("d%d-%d", c.seed, c.serial.Add(1)), Kind: t.Kind, Tenant: t.Name, Service: t.Service, Sent: c.Book.Now()}
	a.Deadline = a.Sent + t.Deadline
	req, _ := http.NewRequest(http.MethodGet, "http://"+address+"/map?token="+a.Token, nil)
	if t.Kind == "stream" {
		body, _ := json.Marshal(map[string]any{"id": a.Token, "service": t.Service, "prefix": fmt.Sprintf("%s prefix %d", t.Name, call.Prefix), "session": "token=" + a.Token,
			"prefix_tokens": t.PrefixTokens, "session_tokens": t.SessionTokens, "max_tokens": t.MaxTokens})
		req, _ = http.NewRequest(http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	}
	req.Header.Set("Stepwick-Request-Id", a.Token)
	c.perform(&a, req, address, t.Deadline, 0.5)
	a.Done = c.Book.Now()
	return a
}

func (c *Crowd) perform(a *history.Attempt, req *http.Request, address string, most time.Duration, draw float64) {
	l, err := c.lines.take(address)
	if err != nil {
		a.Outcome = history.Unsent
		return
	}
	clean := false
	defer func() {
		if clean {
			c.lines.give(address, l)
		} else {
			l.conn.Close()
		}
	}()
	resp, err := l.send(req, clock.System().Now().Add(most))
	if err != nil {
		a.Outcome = history.ConnectionBroken
		if timedOut(err) {
			a.Outcome = history.TimedOut
		}
		return
	}
	a.Status, a.AnswerID = resp.StatusCode, resp.Header.Get("Stepwick-Request-Id")
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") && resp.StatusCode == http.StatusOK {
		clean = c.stream(a, resp.Body, draw) && !resp.Close
		return
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
	a.First = c.Book.Now()
	if err != nil {
		a.Outcome = history.ConnectionBroken
		if timedOut(err) {
			a.Outcome = history.TimedOut
		}
		return
	}
	clean = !resp.Close
	fault := resp.Header.Get("Stepwick-Code")
	if a.Kind != "stream" && fault == "" && resp.StatusCode/100 == 2 {
		a.Outcome = history.Served
		a.BodyToken, a.BodyIntact = emulator.VerifyBody(string(data))
		return
	}
	var body apierror.ErrorBody
	_ = json.Unmarshal(data, &body)
	a.Code, a.RetryAdvice, a.Outcome = int(body.Code), string(body.Retry), history.Rejected
	if body.Code == apierror.OutcomeUnknown || body.Code == apierror.BadAnswer {
		a.Outcome = history.EndedByError
	}
	if a.Code == 0 {
		a.Outcome = history.Malformed
	}
}

// stream reads events; true when the connection may be used again.
func (c *Crowd) stream(a *history.Attempt, in io.Reader, draw float64) bool {
	scan := bufio.NewScanner(in)
	scan.Buffer(make([]byte, 4096), 1<<20)
	isError := false
	for scan.Scan() {
		text := scan.Text()
		if strings.HasPrefix(text, "event: error") {
			isError = true
			continue
		}
		data, ok := strings.CutPrefix(text, "data: ")
		if !ok {
			continue
		}
		if a.First == 0 {
			a.First = c.Book.Now()
		}
		if isError {
			var body apierror.ErrorBody
			_ = json.Unmarshal([]byte(data), &body)
			a.Code, a.RetryAdvice, a.Outcome = int(body.Code), string(body.Retry), history.EndedByError
			continue
		}
		var event struct {
			ID    string `json:"id"`
			Seq   int    `json:"seq"`
			Text  string `json:"text"`
			Final bool   `json:"final"`
			Count int    `json:"count"`
		}
		if json.Unmarshal([]byte(data), &event) != nil {
			a.Outcome = history.Malformed
			return false
		}
		if event.Final {
			a.Final, a.EventCount = true, event.Count
			continue
		}
		e := history.Event{ID: event.ID, Seq: event.Seq}
		_, _ = fmt.Sscanf(event.Text, "%s %s %d", &e.Token, &e.Run, &e.Index)
		a.Events = append(a.Events, e)
		if draw < c.Mood.GoneOdds {
			a.Outcome = history.Abandoned
			return false
		}
		if draw > 1-c.Mood.SlowOdds {
			owner.Sleep(context.Background(), 60*time.Millisecond)
		}
	}
	switch err := scan.Err(); {
	case a.Outcome == history.EndedByError:
		return false
	case err != nil && timedOut(err):
		a.Outcome = history.TimedOut
	case err != nil:
		a.Outcome = history.ConnectionBroken
	case a.Final:
		a.Outcome = history.Served
		return true
	default:
		a.Outcome = history.EndedWithoutFinal
	}
	return false
}

// Ask sends one request on a connection of its own and reads the whole answer.
func Ask(req *http.Request, address string, most time.Duration) (int, []byte, error) {
	l := &lines{owner.New(map[string][]*line{}), 0}
	defer l.idle.Close()
	c, err := l.take(address)
	if err != nil {
		return 0, nil, err
	}
	defer c.conn.Close()
	resp, err := c.send(req, clock.System().Now().Add(most))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read answer")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	return resp.StatusCode, data, errors.Wrap(err, "read body")
}
