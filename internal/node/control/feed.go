package control

import (
	"context"
	"fmt"
	"time"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/journal"
	"stepwick/internal/wire"
)

const feedBatch = 512

// feed is the numbered journal of changes and those who wait for more. Its id
// changes whenever its numbers begin anew.
type feed struct {
	self        string
	incarnation uint64
	life        int
	bound       int
	changes     *journal.Journal[*wire.Change]
	waiters     []*waiter
}

type waiter struct {
	ctx   context.Context
	req   *wire.FollowRequest
	reply chan *pulled
}

// pulled is a part of the feed; one that needs a snapshot has the state to be
// encoded outside the owner.
type pulled struct {
	resp  *wire.FollowResponse
	state func() []byte
}

func newFeed(self string, incarnation uint64, bound int) *feed {
	return &feed{self: self, incarnation: incarnation, bound: bound, changes: journal.New[*wire.Change](bound)}
}

func (f *feed) id() string { return fmt.Sprintf("%s/%d/%d", f.self, f.incarnation, f.life) }

func (f *feed) restart() {
	f.life++
	f.changes = journal.New[*wire.Change](f.bound)
}

func (f *feed) publish(change *wire.Change) { f.changes.Append(change) }

// read returns what comes after the place of a request; ok is false when it
// needs a snapshot.
func (f *feed) read(req *wire.FollowRequest) (resp *wire.FollowResponse, ok bool) {
	if req.Feed != f.id() {
		return nil, false
	}
	entries, whole := f.changes.After(req.Place, feedBatch)
	if !whole {
		return nil, false
	}
	resp = &wire.FollowResponse{Feed: req.Feed, Place: req.Place}
	for _, entry := range entries {
		resp.Changes = append(resp.Changes, &wire.Change{Place: entry.Number, What: entry.Event.What})
		resp.Place = entry.Number
	}
	return resp, true
}

// prune forgets those who no longer wait.
func (f *feed) prune() {
	kept := f.waiters[:0]
	for _, w := range f.waiters {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
		}
	}
	clear(f.waiters[len(kept):])
	f.waiters = kept
}

// Follow returns the changes after a place, or a snapshot where they are no
// longer kept or the feed is another one. With nothing new it waits, at most
// wait_ms.
func (c *Core) Follow(ctx context.Context, req *wire.FollowRequest) (*wire.FollowResponse, error) {
	wait := max(min(time.Duration(req.WaitMs)*time.Millisecond, c.config.FeedWait), tickEvery)
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := make(chan *pulled, 1)
	posted := c.post(ctx, func() {
		if got := c.pull(req); got != nil {
			reply <- got
			return
		}
		c.feed.waiters = append(c.feed.waiters, &waiter{ctx: waiting, req: req, reply: reply})
	})
	if !posted {
		return nil, ctx.Err()
	}
	select {
	case got := <-reply:
		if got.state != nil {
			got.resp.Snapshot.State = got.state()
		}
		return got.resp, nil
	case <-waiting.Done():
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return &wire.FollowResponse{Feed: req.Feed, Place: req.Place, Learned: c.agreement.Current().Version}, nil
	}
}

// pull returns what a request may have now, nil when it has to wait.
func (c *Core) pull(req *wire.FollowRequest) *pulled {
	resp, ok := c.feed.read(req)
	if ok {
		if len(resp.Changes) == 0 {
			return nil
		}
		resp.Learned = c.state.Version
		return &pulled{resp: resp}
	}
	state := c.state
	snapshot := &wire.Snapshot{Epoch: state.Version, Plan: c.plan, Reports: c.reports.snapshot()}
	resp = &wire.FollowResponse{Feed: c.feed.id(), Place: c.feed.changes.Last(), Learned: state.Version, Snapshot: snapshot}
	snapshot.Sights = c.processes.Told()
	if state.Version == 0 || req.Epoch >= state.Version {
		return &pulled{resp: resp}
	}
	return &pulled{resp: resp, state: c.encodedOf(state)}
}

// encodedState is a state encoded once for all who start from it.
type encodedState struct {
	version uint64
	ready   chan struct{}
	data    []byte
}

// encodedOf begins to encode a state outside the owner, unless that is done or
// under way, and returns what waits for it.
func (c *Core) encodedOf(state statemachine.State) func() []byte {
	held := c.encoded
	if held == nil || held.version != state.Version {
		held = &encodedState{version: state.Version, ready: make(chan struct{})}
		c.encoded = held
		go func() {
			held.data = state.Encode()
			close(held.ready)
		}()
	}
	return func() []byte {
		<-held.ready
		return held.data
	}
}

// answerWaiters answers those for whom there is something new.
func (c *Core) answerWaiters() {
	c.untold = false
	kept := c.feed.waiters[:0]
	for _, w := range c.feed.waiters {
		if w.ctx.Err() != nil {
			continue
		}
		if got := c.pull(w.req); got != nil {
			w.reply <- got
			continue
		}
		kept = append(kept, w)
	}
	clear(c.feed.waiters[len(kept):])
	c.feed.waiters = kept
}
