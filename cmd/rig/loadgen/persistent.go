package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
)

const (
	persistentRandomStreams = 5000 // first PCG stream of the random numbers of persistent callers
	reconnectInterval       = 20 * time.Millisecond

	// persistentAllowance is far above the demand of persistent callers.
	persistentAllowance = 1e7 // tokens a second
	persistentDeadline  = 3 * time.Second
)

// PersistentTenants returns the tenants of persistent callers, one for each kind of
// request. Only RunPersistent sends requests of these tenants.
func PersistentTenants() []Tenant {
	allowance := history.Allowance{Rate: persistentAllowance, Burst: persistentAllowance}
	return []Tenant{
		{
			Name:      "kept-gets",
			Key:       "key-of-kept-gets",
			Service:   "outage",
			Kind:      history.KindGet,
			Deadline:  persistentDeadline,
			Allowance: allowance,
		},
		{
			Name:      "kept-posts",
			Key:       "key-of-kept-posts",
			Service:   "repairs",
			Kind:      history.KindPost,
			Deadline:  persistentDeadline,
			Allowance: allowance,
		},
		{
			Name:          "kept-streams",
			Key:           "key-of-kept-streams",
			Service:       "headline",
			Kind:          history.KindStream,
			Prefixes:      10,
			PrefixTokens:  600,
			SessionTokens: 60,
			MaxTokens:     12,
			Deadline:      persistentDeadline,
			Allowance:     allowance,
		},
	}
}

// RunPersistent runs count callers, distributed over all nodes, until ctx ends. Each
// caller uses one node and one connection. It keeps sending after errors until the node
// closes the connection, and then reconnects. Interval is the time from an answer to the
// next request.
func (c *Callers) RunPersistent(ctx context.Context, count int, interval time.Duration) {
	tenants := PersistentTenants()
	var running sync.WaitGroup
	for i := range count {
		tenant := tenants[(i+i/len(c.Fleet.Nodes))%len(tenants)]
		caller := &persistentCaller{
			callers:  c,
			address:  c.Fleet.Nodes[i%len(c.Fleet.Nodes)].CallerAddress,
			random:   rand.New(rand.NewPCG(c.seed, persistentRandomStreams+uint64(i))),
			tenant:   tenant,
			interval: interval,
		}
		running.Go(func() { caller.run(ctx) })
	}
	running.Wait()
}

// persistentCaller sends requests to one node over one connection.
type persistentCaller struct {
	callers  *Callers
	address  string
	random   *rand.Rand
	tenant   Tenant
	interval time.Duration // from an answer to the next request
}

func (p *persistentCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := dial(p.address)
		if err == nil {
			p.sendUntilClosed(ctx, conn)
			conn.close()
		}
		owner.Sleep(ctx, reconnectInterval)
	}
}

// sendUntilClosed sends one request after another until the connection can't be reused
// or ctx ends.
func (p *persistentCaller) sendUntilClosed(ctx context.Context, conn *connection) {
	for ctx.Err() == nil {
		call := p.callers.drawCall(p.random, p.tenant)
		attempt := p.callers.newAttempt(call, p.address, p.callers.Recorder.Now()+p.tenant.Deadline)
		remaining := remainingTime(attempt)
		req := callRequest(call, p.address, attempt.Token, remaining)
		reusable := p.callers.exchangeOn(conn, &attempt, req, remaining+answerGrace, neutralBehaviorDraw)
		attempt.Done = p.callers.Recorder.Now()
		p.callers.Recorder.AddAttempt(attempt)
		if !reusable {
			return
		}
		conn.reused = true
		owner.Sleep(ctx, p.interval)
	}
}
