package control

import (
	"context"
	"fmt"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/journal"
	"stepwick/internal/wire"
)

// maxFeedBatch bounds the number of changes in one response.
const maxFeedBatch = 512

// feed is the numbered log of changes that fronts follow. Its id changes whenever
// the numbering restarts, so that an offset of one numbering is never used with
// another. It is accessed only by the controller's owner.
//
// The feed never waits for a follower. A follower that is behind by more than the
// capacity gets a snapshot instead of the changes (Controller.snapshotAnswer). If
// the changes that it misses include a new version, it loses its lease meanwhile,
// because cores renew only members that have confirmed the newest version.
type feed struct {
	self        string
	incarnation uint64
	// generation is the number of restarts of the numbering in this incarnation.
	generation int
	capacity   int
	changes    *journal.Journal[*wire.Change]
	waiters    []*feedWaiter
	// hasUndelivered is set when changes have been published without answering the
	// waiting followers. The next tick answers them.
	hasUndelivered bool
	// snapshot is the state most recently encoded for followers, or nil.
	snapshot *encodedState
}

// feedWaiter is a request of a follower that waits for the next change.
type feedWaiter struct {
	ctx   context.Context
	req   *wire.FollowRequest
	reply chan *feedAnswer
}

// feedAnswer is an answer to a follower. If its snapshot is to include the state,
// awaitState waits until the state is encoded and returns it; otherwise awaitState
// is nil. The owner must not call awaitState.
type feedAnswer struct {
	resp       *wire.FollowResponse
	awaitState func() []byte
}

func newFeed(self string, incarnation uint64, capacity int) *feed {
	return &feed{
		self:        self,
		incarnation: incarnation,
		capacity:    capacity,
		changes:     journal.New[*wire.Change](capacity),
	}
}

func (f *feed) id() string { return fmt.Sprintf("%s/%d/%d", f.self, f.incarnation, f.generation) }

// restart drops all changes and starts a new numbering.
func (f *feed) restart() {
	f.generation++
	f.changes = journal.New[*wire.Change](f.capacity)
}

func (f *feed) publish(change *wire.Change) { f.changes.Append(change) }

// read returns the changes after the offset of a request. ok is false if the
// follower needs a snapshot.
func (f *feed) read(req *wire.FollowRequest) (resp *wire.FollowResponse, ok bool) {
	if req.Feed != f.id() {
		return nil, false
	}
	entries, complete := f.changes.EntriesAfter(req.Place, maxFeedBatch)
	if !complete {
		return nil, false
	}
	resp = &wire.FollowResponse{Feed: req.Feed, Place: req.Place}
	for _, entry := range entries {
		resp.Changes = append(resp.Changes, &wire.Change{Place: entry.Sequence, What: entry.Event.What})
		resp.Place = entry.Sequence
	}
	return resp, true
}

// dropEndedWaiters drops the waiters whose context has ended.
func (f *feed) dropEndedWaiters() {
	f.retainWaiters(func(waiter *feedWaiter) bool { return waiter.ctx.Err() == nil })
}

// retainWaiters drops the waiters for which keep returns false.
func (f *feed) retainWaiters(keep func(*feedWaiter) bool) {
	remaining := f.waiters[:0]
	for _, waiter := range f.waiters {
		if keep(waiter) {
			remaining = append(remaining, waiter)
		}
	}
	clear(f.waiters[len(remaining):])
	f.waiters = remaining
}

// encodedState is the encoding of a state, shared by all followers that need it.
type encodedState struct {
	version uint64
	ready   chan struct{} // closed once data is set
	data    []byte
}

// startEncoding encodes a state in another goroutine, unless the state is already
// encoded or being encoded, and returns a function that waits for the result.
func (f *feed) startEncoding(state statemachine.State) (await func() []byte) {
	snapshot := f.snapshot
	if snapshot == nil || snapshot.version != state.Version {
		snapshot = &encodedState{version: state.Version, ready: make(chan struct{})}
		f.snapshot = snapshot
		go func() {
			snapshot.data = state.Encode()
			close(snapshot.ready)
		}()
	}
	return func() []byte {
		<-snapshot.ready
		return snapshot.data
	}
}
