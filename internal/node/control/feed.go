package control

import (
	"context"
	"fmt"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/journal"
	"stepwick/internal/wire"
)

// maxFeedBatch bounds the changes in one answer.
const maxFeedBatch = 512

// feed is the numbered log of changes that fronts follow. Its id changes whenever
// the numbering restarts, so that a follower's offset is never taken for one of
// another numbering. It belongs to the controller's owner, the goroutine of
// Controller.Serve.
//
// The feed never waits for a follower. One that is behind by more than the capacity
// gets a snapshot in place of the changes (Controller.snapshotAnswer). Meanwhile it
// loses its lease where a change was a version, as a core renews only members that
// have confirmed the newest.
type feed struct {
	self        string
	incarnation uint64
	// generation counts the restarts within this incarnation.
	generation int
	capacity   int
	changes    *journal.Journal[*wire.Change]
	waiters    []*feedWaiter
	// unanswered is set while there are changes that no waiter was answered with;
	// the next tick does it.
	unanswered bool
	// snapshot is the newest state that was encoded for followers, or nil.
	snapshot *encodedState
}

// feedWaiter is a follower whose request waits for the next change.
type feedWaiter struct {
	ctx   context.Context
	req   *wire.FollowRequest
	reply chan *feedAnswer
}

// feedAnswer is an answer to a follower. Where it holds a snapshot that needs the
// state, awaitState returns that once it is encoded; it must not be called by the
// owner.
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

// restart drops all changes and begins a new numbering.
func (f *feed) restart() {
	f.generation++
	f.changes = journal.New[*wire.Change](f.capacity)
}

func (f *feed) publish(change *wire.Change) { f.changes.Append(change) }

// read returns what follows the offset of a request; ok is false when the follower
// needs a snapshot.
func (f *feed) read(req *wire.FollowRequest) (resp *wire.FollowResponse, ok bool) {
	if req.Feed != f.id() {
		return nil, false
	}
	entries, complete := f.changes.After(req.Place, maxFeedBatch)
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

// dropEndedWaiters drops the followers that no longer wait.
func (f *feed) dropEndedWaiters() {
	f.retainWaiters(func(waiter *feedWaiter) bool { return waiter.ctx.Err() == nil })
}

// retainWaiters drops the waiters for which waits returns false.
func (f *feed) retainWaiters(waits func(*feedWaiter) bool) {
	remaining := f.waiters[:0]
	for _, waiter := range f.waiters {
		if waits(waiter) {
			remaining = append(remaining, waiter)
		}
	}
	clear(f.waiters[len(remaining):])
	f.waiters = remaining
}

// encodedState is a state that is encoded once for all followers that need it.
type encodedState struct {
	version uint64
	ready   chan struct{} // closed once data is set
	data    []byte
}

// encode starts to encode a state outside the owner, unless that is done or under
// way, and returns the function that waits for the result.
func (f *feed) encode(state statemachine.State) (await func() []byte) {
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
