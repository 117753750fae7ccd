package loadgen

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
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
	Deadline      time.Duration
	Home          string
	history.Allowance
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
		{Name: "press", Key: "key-of-press", Service: "digest", Kind: "stream", PerSecond: 45, Prefixes: 30, PrefixTokens: 2000, SessionTokens: 150, MaxTokens: 48, Deadline: 8 * time.Second, Allowance: history.Allowance{Rate: 160000, Burst: 200000}},
		{Name: "helpdesk", Key: "key-of-helpdesk", Service: "helpline", Kind: "stream", PerSecond: 45, Prefixes: 20, PrefixTokens: 1200, SessionTokens: 200, MaxTokens: 40, Deadline: 8 * time.Second, Home: "lagos", Allowance: history.Allowance{Rate: 110000, Burst: 150000}},
		{Name: "desk", Key: "key-of-desk", Service: "headline", Kind: "stream", PerSecond: 40, Prefixes: 10, PrefixTokens: 600, SessionTokens: 60, MaxTokens: 12, Deadline: 6 * time.Second, Allowance: history.Allowance{Rate: 50000, Burst: 60000}},
		{Name: "grid", Key: "key-of-grid", Service: "outage", Kind: "get", PerSecond: 25, Deadline: 3 * time.Second, Allowance: history.Allowance{Rate: 2500, Burst: 4000}},
		{Name: "crews", Key: "key-of-crews", Service: "repairs", Kind: "post", PerSecond: 15, Deadline: 3 * time.Second, Allowance: history.Allowance{Rate: 1500, Burst: 3000}},
	}
}

// Crowd is the callers of all tenants.
type Crowd struct {
	Fleet   *fleet.Fleet
	Book    *history.Recorder
	Tenants []Tenant
	Mood    Mood

	lines    *lines
	factors  []atomic.Uint64 // load of each tenant, in thousandths
	from     atomic.Pointer[map[string]float64]
	serial   atomic.Int64
	inflight atomic.Int64
	Skipped  atomic.Int64 // not sent since too many were open
	bad      *owner.Owner[map[string]history.Instant]
	near     *owner.Owner[map[string][]string]
	seed     uint64
	places   []fleet.Place
	tally    *owner.Owner[Tally]
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
		bad: owner.New(map[string]history.Instant{}), near: owner.New(map[string][]string{}), seed: seed, tally: owner.New(Tally{})}
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
	allowances := map[string]history.Allowance{}
	for _, t := range tenants {
		allowances[t.Name] = t.Allowance
	}
	f.Book.Update(func(l *history.Recording) {
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

// From sets the share of callers in each zone; nil means evenly.
func (c *Crowd) From(shares map[string]float64) {
	if shares == nil {
		c.from.Store(nil)
		return
	}
	c.from.Store(&shares)
}

// Tally returns the counts so far.
func (c *Crowd) Tally() (t Tally) { c.tally.Do(func(all *Tally) { t = *all }); return }

// Run sends load until ctx ends, then waits for what is open.
func (c *Crowd) Run(ctx context.Context) {
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
		owner.Sleep(context.Background(), 50*time.Millisecond)
	}
}

// Close drops the callers' connections.
func (c *Crowd) Close() { c.lines.close(); c.bad.Close(); c.near.Close(); c.tally.Close() }

func (c *Crowd) tenant(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(i)+1000))
	t := c.Tenants[i]
	next := c.Book.Now()
	for {
		rate := t.PerSecond * float64(c.factors[i].Load()) / 1000
		if rate <= 0 {
			if !owner.Sleep(ctx, 50*time.Millisecond) {
				return
			}
			next = c.Book.Now()
			continue
		}
		next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if wait := next - c.Book.Now(); wait > 0 && !owner.Sleep(ctx, wait) {
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
			if at -= (*shares)[p.ZoneName()]; at < 0 {
				return p
			}
		}
	}
	return c.places[random.IntN(len(c.places))]
}

// connect keeps asking where callers of one place should connect.
func (c *Crowd) connect(ctx context.Context, place fleet.Place) {
	random := rand.New(rand.NewPCG(c.seed, uint64(len(place.ZoneName()))))
	for {
		node := c.Fleet.Nodes[random.IntN(len(c.Fleet.Nodes))]
		req, _ := http.NewRequest(http.MethodGet, "http://"+node.Caller+"/v1/connect?service="+c.Tenants[0].Service+"&region="+place.Region+"&zone="+place.Zone, nil)
		req.Header.Set("Authorization", "Bearer "+c.Tenants[0].Key)
		var body struct {
			Nodes []struct{ Name, Address, Region, Zone string }
		}
		wait := time.Second
		if status, data, err := Ask(req, node.Caller, 2*time.Second); err == nil && status == http.StatusOK && json.Unmarshal(data, &body) == nil && len(body.Nodes) > 0 {
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
			c.near.Do(func(all *map[string][]string) { (*all)[place.ZoneName()] = list })
		} else {
			wait = 200 * time.Millisecond
		}
		if !owner.Sleep(ctx, wait) {
			return
		}
	}
}

// front picks where to send: among the nearest that have not just failed.
func (c *Crowd) front(place fleet.Place, pick uint64, tried map[string]bool) string {
	var list []string
	c.near.Do(func(all *map[string][]string) { list = (*all)[place.ZoneName()] })
	var every []string
	for _, n := range c.Fleet.Nodes {
		every = append(every, n.Caller)
	}
	now, chosen := c.Book.Now(), ""
	c.bad.Do(func(bad *map[string]history.Instant) {
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

func (c *Crowd) shun(address string, d time.Duration) {
	until := c.Book.Now() + d
	c.bad.Post(func(bad *map[string]history.Instant) { (*bad)[address] = until })
}
