package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"stepwick/internal/kernel"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/ledger"
	"stepwick/cmd/rig/own"
	"stepwick/cmd/rig/standin"
)

// Tenant is one tenant's load and allowance.
type Tenant struct {
	Name          string
	Key           string
	Service       string
	Kind          string // stream, get, post
	PerSecond     float64
	Prefixes      int
	PrefixTokens  int
	SessionTokens int
	MaxTokens     int
	Deadline      kernel.Duration
	Home          string
	ledger.Allowance
}

// Tokens is what one request costs.
func (t Tenant) Tokens() float64 {
	if t.Kind != "stream" {
		return 50
	}
	return float64(t.PrefixTokens + t.SessionTokens + t.MaxTokens)
}

// FirstTenants are the five tenants of the first deployment: about 170 requests a second.
func FirstTenants() []Tenant {
	return []Tenant{
		{Name: "press", Key: "key-of-press", Service: "digest", Kind: "stream", PerSecond: 45, Prefixes: 30, PrefixTokens: 2000, SessionTokens: 150, MaxTokens: 48, Deadline: 8 * kernel.Second, Allowance: ledger.Allowance{Rate: 160000, Burst: 200000}},
		{Name: "helpdesk", Key: "key-of-helpdesk", Service: "helpline", Kind: "stream", PerSecond: 45, Prefixes: 20, PrefixTokens: 1200, SessionTokens: 200, MaxTokens: 40, Deadline: 8 * kernel.Second, Home: "lagos", Allowance: ledger.Allowance{Rate: 110000, Burst: 150000}},
		{Name: "desk", Key: "key-of-desk", Service: "headline", Kind: "stream", PerSecond: 40, Prefixes: 10, PrefixTokens: 600, SessionTokens: 60, MaxTokens: 12, Deadline: 6 * kernel.Second, Allowance: ledger.Allowance{Rate: 50000, Burst: 60000}},
		{Name: "grid", Key: "key-of-grid", Service: "outage", Kind: "get", PerSecond: 25, Deadline: 3 * kernel.Second, Allowance: ledger.Allowance{Rate: 2500, Burst: 4000}},
		{Name: "crews", Key: "key-of-crews", Service: "repairs", Kind: "post", PerSecond: 15, Deadline: 3 * kernel.Second, Allowance: ledger.Allowance{Rate: 1500, Burst: 3000}},
	}
}

// Crowd is the callers of all tenants.
type Crowd struct {
	Fleet   *fleet.Fleet
	Book    *ledger.Book
	Tenants []Tenant
	Mood    Mood

	lines    *lines
	factors  []atomic.Uint64 // load of each tenant, in thousandths
	from     atomic.Pointer[map[string]float64]
	serial   atomic.Int64
	inflight atomic.Int64
	Skipped  atomic.Int64 // not sent since too many were open
	bad      *own.Owner[map[string]ledger.At]
	near     *own.Owner[map[string][]string]
	seed     uint64
	places   []fleet.Place
	tally    *own.Owner[Tally]
}

// Mood is how callers behave.
type Mood struct {
	GoneOdds float64 // leaves after the first event
	SlowOdds float64 // takes its time for each event
	Retries  int     // attempts after one that did not run
}

// Tally counts attempts as they end, for the table while a run lasts.
type Tally struct{ Served, Refused, Failed, Unsent int }

const openMost = 3000

// NewCrowd returns callers that are silent until Run.
func NewCrowd(f *fleet.Fleet, tenants []Tenant, seed uint64) *Crowd {
	c := &Crowd{Fleet: f, Book: f.Book, Tenants: tenants, Mood: Mood{Retries: 2}, lines: newLines(64), factors: make([]atomic.Uint64, len(tenants)),
		bad: own.New(map[string]ledger.At{}), near: own.New(map[string][]string{}), seed: seed, tally: own.New(Tally{})}
	seen := map[fleet.Place]bool{}
	for _, n := range f.Nodes {
		if !seen[n.Place] {
			seen[n.Place] = true
			c.places = append(c.places, n.Place)
		}
	}
	for i := range c.factors {
		c.factors[i].Store(1000)
	}
	allowances := map[string]ledger.Allowance{}
	for _, t := range tenants {
		allowances[t.Name] = t.Allowance
	}
	f.Book.Write(func(l *ledger.Ledger) {
		for name, a := range allowances {
			l.Allowances[name] = a
		}
	})
	return c
}

// Scale multiplies the load of one tenant, or of all when the name is empty.
func (c *Crowd) Scale(tenant string, factor float64) {
	for i, t := range c.Tenants {
		if tenant == "" || t.Name == tenant {
			c.factors[i].Store(uint64(factor * 1000))
		}
	}
}

// From sets the share of callers in each locality; nil means evenly.
func (c *Crowd) From(shares map[string]float64) {
	if shares == nil {
		c.from.Store(nil)
		return
	}
	c.from.Store(&shares)
}

// Tally returns the counts so far.
func (c *Crowd) Tally() (t Tally) { c.tally.Ask(func(all *Tally) { t = *all }); return }

// Run sends load until ctx ends, then waits for what is open.
func (c *Crowd) Run(ctx kernel.Context) {
	stopped := make(chan struct{}, len(c.Tenants)+len(c.places))
	for i := range c.Tenants {
		go func() { c.tenant(ctx, i); stopped <- struct{}{} }()
	}
	for i := range c.places {
		go func() { c.connect(ctx, c.places[i]); stopped <- struct{}{} }()
	}
	for range len(c.Tenants) + len(c.places) {
		<-stopped
	}
	for i := 0; i < 300 && c.inflight.Load() > 0; i++ {
		own.Wait(kernel.Background(), 50*kernel.Millisecond)
	}
}

// Close drops the callers' connections.
func (c *Crowd) Close() { c.lines.close(); c.bad.End(); c.near.End(); c.tally.End() }

func (c *Crowd) tenant(ctx kernel.Context, i int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(i)+1000))
	t := c.Tenants[i]
	next := c.Book.Now()
	for {
		rate := t.PerSecond * float64(c.factors[i].Load()) / 1000
		if rate <= 0 {
			if !own.Wait(ctx, 50*kernel.Millisecond) {
				return
			}
			next = c.Book.Now()
			continue
		}
		next += kernel.Duration(random.ExpFloat64() / rate * float64(kernel.Second))
		if wait := next - c.Book.Now(); wait > 0 && !own.Wait(ctx, wait) {
			return
		}
		select {
		case <-ctx.Done():
			return
		default:
		}
		if c.inflight.Load() >= openMost {
			c.Skipped.Add(1)
			continue
		}
		place := c.pick(random)
		call := Call{Tenant: t, Place: place, Prefix: random.IntN(max(1, t.Prefixes)), Draw: random.Float64(), Pick: random.Uint64()}
		c.inflight.Add(1)
		go func() {
			defer c.inflight.Add(-1)
			c.Call(ctx, call)
		}()
	}
}

func (c *Crowd) pick(random *rand.Rand) fleet.Place {
	if shares := c.from.Load(); shares != nil {
		at := random.Float64()
		for _, p := range c.places {
			if at -= (*shares)[p.Locality()]; at < 0 {
				return p
			}
		}
	}
	return c.places[random.IntN(len(c.places))]
}

// connect keeps asking where callers of one place should connect.
func (c *Crowd) connect(ctx kernel.Context, place fleet.Place) {
	random := rand.New(rand.NewPCG(c.seed, uint64(len(place.Locality()))))
	for {
		node := c.Fleet.Nodes[random.IntN(len(c.Fleet.Nodes))]
		req, _ := http.NewRequest(http.MethodGet, "http://"+node.Caller+"/v1/connect?service="+c.Tenants[0].Service+"&region="+place.Region+"&zone="+place.Zone, nil)
		req.Header.Set("Authorization", "Bearer "+c.Tenants[0].Key)
		var body struct {
			Nodes []struct{ Name, Address, Region, Zone string }
		}
		wait := kernel.Second
		if status, data, err := Ask(req, node.Caller, 2*kernel.Second); err == nil && status == http.StatusOK && json.Unmarshal(data, &body) == nil && len(body.Nodes) > 0 {
			var list []string
			for _, n := range body.Nodes {
				if n.Region == place.Region && n.Zone == place.Zone {
					list = append(list, n.Address)
				}
			}
			if len(list) == 0 {
				for _, n := range body.Nodes[:min(3, len(body.Nodes))] {
					list = append(list, n.Address)
				}
			}
			c.near.Ask(func(all *map[string][]string) { (*all)[place.Locality()] = list })
		} else {
			wait = 200 * kernel.Millisecond
		}
		if !own.Wait(ctx, wait) {
			return
		}
	}
}

// front picks where to send: among the nearest that have not just failed.
func (c *Crowd) front(place fleet.Place, pick uint64, tried map[string]bool) string {
	var list []string
	c.near.Ask(func(all *map[string][]string) { list = (*all)[place.Locality()] })
	var every []string
	for _, n := range c.Fleet.Nodes {
		every = append(every, n.Caller)
	}
	now, chosen := c.Book.Now(), ""
	c.bad.Ask(func(bad *map[string]ledger.At) {
		for _, group := range [][]string{list, every} {
			var good []string
			for _, address := range group {
				if !tried[address] && (*bad)[address] <= now {
					good = append(good, address)
				}
			}
			if len(good) > 0 {
				chosen = good[pick%uint64(len(good))]
				return
			}
		}
	})
	if chosen == "" {
		chosen = every[pick%uint64(len(every))]
	}
	return chosen
}

func (c *Crowd) shun(address string, d kernel.Duration) {
	until := c.Book.Now() + d
	c.bad.Tell(func(bad *map[string]ledger.At) { (*bad)[address] = until })
}

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
func (c *Crowd) Call(ctx kernel.Context, call Call) ledger.Attempt {
	tried := map[string]bool{}
	until := c.Book.Now() + call.Tenant.Deadline
	for try := 0; ; try++ {
		address := call.Front
		if address == "" {
			address = c.front(call.Place, call.Pick+uint64(try), tried)
		}
		a := c.attempt(call, address, until)
		c.Book.Attempt(a)
		c.tally.Tell(func(t *Tally) { t.count(a) })
		again := false
		switch {
		case a.End == ledger.Unsent:
			c.shun(address, 2*kernel.Second)
			again = true
		case a.End == ledger.TimedOut, a.End == ledger.CutAbort:
			c.shun(address, kernel.Second)
		case a.Code == int(kernel.NotRuling), a.Code == int(kernel.FrontLeaving):
			c.shun(address, kernel.Second)
			again = true
		}
		if !again || try >= c.Mood.Retries || call.Front != "" || ctx.Err() != nil {
			return a
		}
		tried[address] = true
	}
}

func (t *Tally) count(a ledger.Attempt) {
	switch a.End {
	case ledger.Served, ledger.GaveUp:
		t.Served++
	case ledger.Refused:
		t.Refused++
	case ledger.Unsent:
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

func (c *Crowd) attempt(call Call, address string, until ledger.At) ledger.Attempt {
	t := call.Tenant
	token := fmt.Sprintf("t%d-%d", c.seed, c.serial.Add(1))
	a := ledger.Attempt{Token: token, Kind: t.Kind, Tenant: t.Name, Service: t.Service, Front: c.nodeAt(address), Region: call.Place.Region,
		Tokens: t.Tokens(), Sent: c.Book.Now(), Deadline: until}
	left := max(until-a.Sent, 50*kernel.Millisecond)
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
	c.perform(&a, req, address, left+1500*kernel.Millisecond, call.Draw)
	a.Done = c.Book.Now()
	return a
}

// Direct sends a call to a server itself, by the servers' protocol and over
// kept-alive connections, and leaves it out of the ledger's attempts.
func (c *Crowd) Direct(call Call, address string) ledger.Attempt {
	t := call.Tenant
	a := ledger.Attempt{Token: fmt.Sprintf("d%d-%d", c.seed, c.serial.Add(1)), Kind: t.Kind, Tenant: t.Name, Service: t.Service, Sent: c.Book.Now()}
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

func (c *Crowd) perform(a *ledger.Attempt, req *http.Request, address string, most kernel.Duration, draw float64) {
	l, err := c.lines.take(address)
	if err != nil {
		a.End = ledger.Unsent
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
	resp, err := l.send(req, kernel.System().Now().Add(most))
	if err != nil {
		a.End = ledger.CutAbort
		if timedOut(err) {
			a.End = ledger.TimedOut
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
		a.End = ledger.CutAbort
		if timedOut(err) {
			a.End = ledger.TimedOut
		}
		return
	}
	clean = !resp.Close
	fault := resp.Header.Get("Stepwick-Code")
	if a.Kind != "stream" && fault == "" && resp.StatusCode/100 == 2 {
		a.End = ledger.Served
		a.Body, a.Whole = standin.CheckBody(string(data))
		return
	}
	var body kernel.FaultBody
	_ = json.Unmarshal(data, &body)
	a.Code, a.Retry, a.End = int(body.Code), string(body.Retry), ledger.Refused
	if body.Code == kernel.OutcomeUnknown || body.Code == kernel.BadAnswer {
		a.End = ledger.CutError
	}
	if a.Code == 0 {
		a.End = ledger.Malformed
	}
}

// stream reads events; true when the connection may be used again.
func (c *Crowd) stream(a *ledger.Attempt, in io.Reader, draw float64) bool {
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
			var body kernel.FaultBody
			_ = json.Unmarshal([]byte(data), &body)
			a.Code, a.Retry, a.End = int(body.Code), string(body.Retry), ledger.CutError
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
			a.End = ledger.Malformed
			return false
		}
		if event.Final {
			a.Final, a.Count = true, event.Count
			continue
		}
		e := ledger.Event{ID: event.ID, Seq: event.Seq}
		_, _ = fmt.Sscanf(event.Text, "%s %s %d", &e.Token, &e.Run, &e.Index)
		a.Events = append(a.Events, e)
		if draw < c.Mood.GoneOdds {
			a.End = ledger.GaveUp
			return false
		}
		if draw > 1-c.Mood.SlowOdds {
			own.Wait(kernel.Background(), 60*kernel.Millisecond)
		}
	}
	switch err := scan.Err(); {
	case a.End == ledger.CutError:
		return false
	case err != nil && timedOut(err):
		a.End = ledger.TimedOut
	case err != nil:
		a.End = ledger.CutAbort
	case a.Final:
		a.End = ledger.Served
		return true
	default:
		a.End = ledger.CleanEnd
	}
	return false
}

// Ask sends one request on a connection of its own and reads the whole answer.
func Ask(req *http.Request, address string, most kernel.Duration) (int, []byte, error) {
	l := &lines{own.New(map[string][]*line{}), 0}
	defer l.idle.End()
	c, err := l.take(address)
	if err != nil {
		return 0, nil, err
	}
	defer c.conn.Close()
	resp, err := c.send(req, kernel.System().Now().Add(most))
	if err != nil {
		return 0, nil, errors.Wrap(err, "read answer")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	return resp.StatusCode, data, errors.Wrap(err, "read body")
}
